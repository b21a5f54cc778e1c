//! What idle connections, long heads and accept errors do to `tiny_http` and to the listener.

use std::fs::File;
use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use catkin_base::CallRefusal;
use catkin_caller::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallerLimits,
    CallerListener, RequestIds,
};

const IDLE_CONNECTIONS: usize = 2000;
const HEAD_LINE_BYTES: usize = 64 << 20;
const PIECE_BYTES: usize = 64 << 10;
const SETTLE_TIME: Duration = Duration::from_millis(500);
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Runs each trial against both and prints what was seen.
pub fn run() {
    println!("tiny_http");
    run_trials(start_tiny);
    println!("CallerListener over hyper");
    run_trials(start_listener);
}

fn run_trials(start: fn() -> SocketAddr) {
    println!("  {IDLE_CONNECTIONS} idle connections: {}", measure_idle(start()));
    println!("  a header line of 64 MiB: {}", measure_long_head(start()));
    println!("  after running out of descriptors: {}", try_descriptors(start()));
}

fn start_tiny() -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("binds");
    let address = server.server_addr().to_ip().expect("is TCP");
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let _ = request.respond(tiny_http::Response::from_string("ok"));
        }
    });
    address
}

fn start_listener() -> SocketAddr {
    let (address_in, address) = flume::bounded(1);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            let ids = RequestIds::from_seed(1);
            let free = "127.0.0.1:0".parse().expect("an address");
            let service = Arc::new(SilentService);
            let listener = CallerListener::bind(free, CallerLimits::default(), ids, service);
            let listener = listener.await.expect("binds");
            address_in.send(listener.local_address().expect("is bound")).expect("is awaited");
            listener.serve().await;
        });
    });
    address.recv().expect("is bound")
}

/// A service that no trial calls.
struct SilentService;

/// An answer that never comes.
struct SilentAnswer(AnswerStart);

impl CallService for SilentService {
    type Answer = SilentAnswer;

    async fn call(&self, _: CallRequest) -> Result<SilentAnswer, CallRefusal> {
        pending().await
    }
}

impl CallAnswer for SilentAnswer {
    fn start(&self) -> &AnswerStart {
        &self.0
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        pending().await
    }
}

fn measure_idle(address: SocketAddr) -> String {
    let threads = crate::read_status("Threads:");
    let memory = crate::read_status("VmRSS:");
    let idle: Vec<_> = (0..IDLE_CONNECTIONS).filter_map(|_| open(address)).collect();
    thread::sleep(SETTLE_TIME);
    let threads = crate::read_status("Threads:").saturating_sub(threads);
    let memory = crate::read_status("VmRSS:").saturating_sub(memory);
    format!("{} open, {threads} more threads, {memory} KiB more memory", idle.len())
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(address).ok()
}

fn measure_long_head(address: SocketAddr) -> String {
    let memory = crate::read_status("VmRSS:");
    let mut stream = open(address).expect("connects");
    let mut sent = stream.write(b"GET / HTTP/1.1\r\nx-long: ").unwrap_or(0);
    let piece = vec![b'a'; PIECE_BYTES];
    while sent < HEAD_LINE_BYTES {
        match stream.write(&piece) {
            Ok(count) => sent += count,
            Err(_) => break,
        }
    }
    thread::sleep(SETTLE_TIME);
    let memory = crate::read_status("VmRSS:").saturating_sub(memory);
    format!("{} KiB taken by the socket, {memory} KiB more memory", sent >> 10)
}

fn try_descriptors(address: SocketAddr) -> String {
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    files.pop();
    let waiting = open(address);
    thread::sleep(SETTLE_TIME);
    drop(files);
    drop(waiting);
    thread::sleep(SETTLE_TIME);
    if answers(address) { "answers again".to_owned() } else { "answers no more".to_owned() }
}

fn answers(address: SocketAddr) -> bool {
    let Some(mut stream) = open(address) else { return false };
    let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n").is_ok();
    let bounded = stream.set_read_timeout(Some(ANSWER_WAIT)).is_ok();
    let mut buffer = [0; 64];
    asked && bounded && stream.read(&mut buffer).is_ok_and(|count| count > 0)
}
