//! Trials of `tiny_http` and the listener with idle connections, long heads and accept errors.

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
const WRITE_BYTES: usize = 64 << 10;
const SETTLE_DELAY: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs all trials against both servers and prints their results.
pub fn run() {
    println!("tiny_http");
    run_trials(start_tiny_http);
    println!("CallerListener over hyper");
    run_trials(start_listener);
}

fn run_trials(start: fn() -> SocketAddr) {
    println!("  {IDLE_CONNECTIONS} idle connections: {}", measure_idle(start()));
    println!("  a header line of 64 MiB: {}", measure_long_head(start()));
    println!("  after running out of descriptors: {}", exhaust_descriptors(start()));
}

fn start_tiny_http() -> SocketAddr {
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
    let (address_sender, address) = flume::bounded(1);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            let ids = RequestIds::from_seed(1);
            let any_port = "127.0.0.1:0".parse().expect("an address");
            let service = Arc::new(PendingService);
            let listener = CallerListener::bind(any_port, CallerLimits::default(), ids, service);
            let listener = listener.await.expect("binds");
            address_sender.send(listener.local_address().expect("is bound")).expect("is awaited");
            listener.serve().await;
        });
    });
    address.recv().expect("is bound")
}

/// Service that never answers; no trial calls it.
struct PendingService;

/// Answer that never has a part.
struct PendingAnswer(AnswerStart);

impl CallService for PendingService {
    type Answer = PendingAnswer;

    async fn call(&self, _: CallRequest) -> Result<PendingAnswer, CallRefusal> {
        pending().await
    }
}

impl CallAnswer for PendingAnswer {
    fn start(&self) -> &AnswerStart {
        &self.0
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        pending().await
    }
}

fn measure_idle(address: SocketAddr) -> String {
    let threads = crate::read_status_value("Threads:");
    let memory = crate::read_status_value("VmRSS:");
    let idle: Vec<_> = (0..IDLE_CONNECTIONS).filter_map(|_| open_connection(address)).collect();
    thread::sleep(SETTLE_DELAY);
    let threads = crate::read_status_value("Threads:").saturating_sub(threads);
    let memory = crate::read_status_value("VmRSS:").saturating_sub(memory);
    format!("{} open, {threads} more threads, {memory} KiB more memory", idle.len())
}

fn open_connection(address: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(address).ok()
}

fn measure_long_head(address: SocketAddr) -> String {
    let memory = crate::read_status_value("VmRSS:");
    let mut stream = open_connection(address).expect("connects");
    let mut sent = stream.write(b"GET / HTTP/1.1\r\nx-long: ").unwrap_or(0);
    let filler = vec![b'a'; WRITE_BYTES];
    while sent < HEAD_LINE_BYTES {
        match stream.write(&filler) {
            Ok(count) => sent += count,
            Err(_) => break,
        }
    }
    thread::sleep(SETTLE_DELAY);
    let memory = crate::read_status_value("VmRSS:").saturating_sub(memory);
    format!("{} KiB taken by the socket, {memory} KiB more memory", sent >> 10)
}

fn exhaust_descriptors(address: SocketAddr) -> String {
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    files.pop();
    let waiting = open_connection(address);
    thread::sleep(SETTLE_DELAY);
    drop(files);
    drop(waiting);
    thread::sleep(SETTLE_DELAY);
    if is_answering(address) { "answers again".to_owned() } else { "answers no more".to_owned() }
}

fn is_answering(address: SocketAddr) -> bool {
    let Some(mut stream) = open_connection(address) else { return false };
    let written = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n").is_ok();
    let has_timeout = stream.set_read_timeout(Some(ANSWER_TIMEOUT)).is_ok();
    let mut buffer = [0; 64];
    written && has_timeout && stream.read(&mut buffer).is_ok_and(|count| count > 0)
}
