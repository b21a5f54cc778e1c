//! Latency and throughput cost of the listener for callers together with the link to servers.
//!
//! Without arguments everything runs in one process:
//!
//! ```text
//! cargo bench -p catkin-caller --bench passthrough
//! ```
//!
//! To measure the memory of the router alone, run the router and the load in two processes. The
//! router prints its memory and processor time each second:
//!
//! ```text
//! passthrough router 127.0.0.1:7001 127.0.0.1:7002
//! passthrough load 127.0.0.1:7001 127.0.0.1:7002
//! ```

mod engine;
mod load;
mod router;

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

use load::{TokenTimes, run_short_calls, run_streams};

const STREAM_COUNTS: [usize; 4] = [100, 500, 1000, 2000];
const CALLER_COUNTS: [usize; 4] = [1, 8, 64, 256];
const DIRECT_STREAMS: usize = 100;
const RAMP: Duration = Duration::from_secs(1);
const SHORT_CALLS_DURATION: Duration = Duration::from_secs(3);
const ENGINE_THREADS: usize = 2;
const LOAD_THREADS: usize = 2;
const ROUTER_THREADS: usize = 2;
/// Index of the user time among the fields after the command's closing parenthesis. The system time
/// is the next field.
const USER_TIME_FIELD: usize = 11;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["router", router, engine, ..] => run_router(parse_address(router), parse_address(engine)),
        ["load", router, engine, ..] => run_load(parse_address(router), parse_address(engine)),
        _ => run_all(),
    }
}

fn parse_address(address: &str) -> SocketAddr {
    address.parse().expect("an address and a port")
}

fn build_runtime(threads: usize) -> Runtime {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build().expect("runtime")
}

fn run_all() {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let start = Instant::now();
    let engines = build_runtime(ENGINE_THREADS);
    let routers = build_runtime(ROUTER_THREADS);
    let engine = start_engine(&engines, any_port, start);
    let listener = routers.block_on(router::bind(any_port, engine));
    let router = listener.local_address().expect("bound");
    routers.spawn(listener.serve());
    measure(router, engine, start);
}

fn run_load(router: SocketAddr, engine: SocketAddr) {
    let start = Instant::now();
    let engines = build_runtime(ENGINE_THREADS);
    let engine = start_engine(&engines, engine, start);
    measure(router, engine, start);
}

fn start_engine(runtime: &Runtime, address: SocketAddr, start: Instant) -> SocketAddr {
    let socket = runtime.block_on(TcpListener::bind(address)).expect("bind");
    let address = socket.local_addr().expect("bound");
    runtime.spawn(engine::serve(socket, start));
    address
}

fn run_router(router: SocketAddr, engine: SocketAddr) {
    let runtime = build_runtime(ROUTER_THREADS);
    runtime.block_on(async {
        let listener = router::bind(router, engine).await;
        tokio::spawn(listener.serve());
        loop {
            sleep(REPORT_INTERVAL).await;
            println!("{}, {} ticks of 10 ms", read_memory(), read_ticks());
        }
    });
}

fn read_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let wanted = |line: &&str| line.starts_with("VmRSS") || line.starts_with("VmHWM");
    status.lines().filter(wanted).collect::<Vec<_>>().join(" ")
}

fn read_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(USER_TIME_FIELD).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn measure(router: SocketAddr, engine: SocketAddr, start: Instant) {
    build_runtime(LOAD_THREADS).block_on(async {
        for streams in STREAM_COUNTS {
            measure_streams(router, engine, streams, start).await;
        }
        for callers in CALLER_COUNTS {
            let direct = run_short_calls(engine, callers, SHORT_CALLS_DURATION).await;
            let routed = run_short_calls(router, callers, SHORT_CALLS_DURATION).await;
            println!("{callers} callers: direct {direct:.0}/s, routed {routed:.0}/s");
        }
    });
}

async fn measure_streams(router: SocketAddr, engine: SocketAddr, streams: usize, start: Instant) {
    let (routed, direct) = tokio::join!(
        run_streams(router, streams, RAMP, start),
        run_streams(engine, DIRECT_STREAMS, RAMP, start)
    );
    println!("{streams} routed streams beside {DIRECT_STREAMS} direct ones, microseconds:");
    print_line("direct", &direct);
    print_line("routed", &routed);
    let first = compute_added(&routed.first, &direct.first);
    let later = compute_added(&routed.later, &direct.later);
    println!("  added at p95: first token {first}, later tokens {later}");
}

fn compute_added(routed: &Histogram<u64>, direct: &Histogram<u64>) -> i64 {
    routed.value_at_quantile(0.95) as i64 - direct.value_at_quantile(0.95) as i64
}

fn print_line(name: &str, times: &TokenTimes) {
    let first = format_times(&times.first);
    let later = format_times(&times.later);
    println!("  {name}: first token {first}; later tokens {later}; broken {}", times.broken);
}

fn format_times(times: &Histogram<u64>) -> String {
    let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile));
    format!("p50 {p50} p95 {p95} p99 {p99} of {}", times.len())
}
