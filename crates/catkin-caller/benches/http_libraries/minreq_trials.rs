//! Trials of `minreq` as a client of streams: idle timeout, cancellation and error reporting.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use tokio::time::Instant;

/// Time between two tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(300);
const TOKENS: usize = 10;
const TIMEOUT_SECONDS: u64 = 1;
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Runs all trials and prints their results.
pub fn run() {
    println!("minreq");
    println!(
        "  refused connection: {}",
        describe_result(build_request(&find_unused_address()).send().map(|_| ()))
    );
    println!(
        "  reset before the head: {}",
        describe_result(
            build_request_to(reset_connection).with_body("a".repeat(1 << 16)).send().map(|_| ())
        )
    );
    println!("  body of 9 bytes cut after 2: {}", describe_response(truncate_body));
    println!("  chunked body without its last chunk: {}", describe_response(truncate_chunks));
    println!(
        "  tokens {TOKEN_INTERVAL:?} apart, timeout {TIMEOUT_SECONDS} s: {}",
        measure_tokens()
    );
    println!("  dropped after the first token: {}", measure_cancel());
    println!("  threads while 100 answers are awaited with a timeout: {}", count_threads());
}

fn find_unused_address() -> String {
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    socket.local_addr().expect("is bound").to_string()
}

fn build_request(address: &str) -> minreq::Request {
    minreq::get(format!("http://{address}/"))
}

/// Creates a request to a server that handles its only connection with `serve`.
fn build_request_to(serve: fn(TcpStream)) -> minreq::Request {
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = socket.accept().expect("accepts");
        read_request(&mut stream);
        serve(stream);
    });
    build_request(&address)
}

fn read_request(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
}

fn describe_result(result: Result<(), minreq::Error>) -> String {
    match result {
        Ok(()) => "no error".to_owned(),
        Err(minreq::Error::IoError(error)) => format!("IoError, kind {:?}", error.kind()),
        Err(error) => format!("{error:?}"),
    }
}

/// Closes the connection while part of the request is unread, which resets it.
fn reset_connection(_stream: TcpStream) {}

fn truncate_body(mut stream: TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}");
}

fn truncate_chunks(mut stream: TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n");
}

fn describe_response(serve: fn(TcpStream)) -> String {
    match build_request_to(serve).send() {
        Ok(response) => format!("taken as whole, {} bytes", response.as_bytes().len()),
        Err(error) => describe_result(Err(error)),
    }
}

fn send_tokens(mut stream: TcpStream) {
    let _ = stream.write_all(STREAM_HEAD.as_bytes());
    for _ in 0..TOKENS {
        if stream.write_all(b"data: 1\n\n").is_err() {
            return;
        }
        thread::sleep(TOKEN_INTERVAL);
    }
}

fn measure_tokens() -> String {
    let started = Instant::now();
    let mut response = build_request_to(send_tokens)
        .with_timeout(TIMEOUT_SECONDS)
        .send_lazy()
        .expect("has a head");
    let mut buffer = [0; 64];
    let mut reads = 0;
    loop {
        match response.read(&mut buffer) {
            Ok(0) => return format!("whole after {reads} reads"),
            Ok(_) => reads += 1,
            Err(error) => {
                let millis = started.elapsed().as_millis();
                return format!("{:?} after {reads} reads and {millis} ms", error.kind());
            }
        }
    }
}

fn measure_cancel() -> String {
    let (close_sender, closed) = flume::bounded(1);
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = socket.accept().expect("accepts");
        read_request(&mut stream);
        let _ = stream.write_all(format!("{STREAM_HEAD}data: 1\n\n").as_bytes());
        read_request(&mut stream);
        let _ = close_sender.send(Instant::now());
    });
    let mut response = build_request(&address).send_lazy().expect("has a head");
    let _ = response.read(&mut [0; 64]);
    let dropped = Instant::now();
    drop(response);
    match closed.recv_timeout(Duration::from_secs(5)) {
        Ok(closed) => format!("server saw the close after {:?}", closed.duration_since(dropped)),
        Err(_) => "server saw no close within 5 s".to_owned(),
    }
}

fn count_threads() -> usize {
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("is bound").to_string();
    let before = crate::read_status_value("Threads:");
    let callers: Vec<_> = (0..100)
        .map(|_| {
            let request = build_request(&address).with_timeout(TIMEOUT_SECONDS);
            thread::spawn(move || request.send().is_ok())
        })
        .collect();
    thread::sleep(TOKEN_INTERVAL);
    let during = crate::read_status_value("Threads:");
    for caller in callers {
        let _ = caller.join();
    }
    during.saturating_sub(before)
}
