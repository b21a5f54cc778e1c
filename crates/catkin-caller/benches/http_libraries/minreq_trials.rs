//! What `minreq` offers for streams: idle bound, cancel, and the telling of failures.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use tokio::time::Instant;

const TOKEN_PACE: Duration = Duration::from_millis(300);
const TOKENS: usize = 10;
const TIMEOUT_SECONDS: u64 = 1;
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Runs each trial and prints what was seen.
pub fn run() {
    println!("minreq");
    println!("  refused connection: {}", describe(ask(&unused_address()).send().map(|_| ())));
    println!(
        "  reset before the head: {}",
        describe(ask_of(reset_at_once).with_body("a".repeat(1 << 16)).send().map(|_| ()))
    );
    println!("  body of 9 bytes cut after 2: {}", describe_body(cut_length));
    println!("  chunked body without its last chunk: {}", describe_body(cut_chunks));
    println!("  tokens {TOKEN_PACE:?} apart, timeout {TIMEOUT_SECONDS} s: {}", time_tokens());
    println!("  dropped after the first token: {}", time_cancel());
    println!("  threads while 100 answers are awaited with a timeout: {}", count_threads());
}

fn unused_address() -> String {
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    socket.local_addr().expect("is bound").to_string()
}

fn ask(address: &str) -> minreq::Request {
    minreq::get(format!("http://{address}/"))
}

/// A request to a server that serves its one connection by `serve`.
fn ask_of(serve: fn(TcpStream)) -> minreq::Request {
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = socket.accept().expect("accepts");
        read_request(&mut stream);
        serve(stream);
    });
    ask(&address)
}

fn read_request(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 4096]);
}

fn describe(result: Result<(), minreq::Error>) -> String {
    match result {
        Ok(()) => "no error".to_owned(),
        Err(minreq::Error::IoError(error)) => format!("IoError, kind {:?}", error.kind()),
        Err(error) => format!("{error:?}"),
    }
}

/// Closes with a part of the request unread, which resets the connection.
fn reset_at_once(_stream: TcpStream) {}

fn cut_length(mut stream: TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}");
}

fn cut_chunks(mut stream: TcpStream) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n");
}

fn describe_body(serve: fn(TcpStream)) -> String {
    match ask_of(serve).send() {
        Ok(response) => format!("taken as whole, {} bytes", response.as_bytes().len()),
        Err(error) => describe(Err(error)),
    }
}

fn send_tokens(mut stream: TcpStream) {
    let _ = stream.write_all(STREAM_HEAD.as_bytes());
    for _ in 0..TOKENS {
        if stream.write_all(b"data: 1\n\n").is_err() {
            return;
        }
        thread::sleep(TOKEN_PACE);
    }
}

fn time_tokens() -> String {
    let started = Instant::now();
    let mut response =
        ask_of(send_tokens).with_timeout(TIMEOUT_SECONDS).send_lazy().expect("has a head");
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

fn time_cancel() -> String {
    let (closed_in, closed) = flume::bounded(1);
    let socket = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = socket.local_addr().expect("is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = socket.accept().expect("accepts");
        read_request(&mut stream);
        let _ = stream.write_all(format!("{STREAM_HEAD}data: 1\n\n").as_bytes());
        read_request(&mut stream);
        let _ = closed_in.send(Instant::now());
    });
    let mut response = ask(&address).send_lazy().expect("has a head");
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
    let before = crate::read_status("Threads:");
    let callers: Vec<_> = (0..100)
        .map(|_| {
            let request = ask(&address).with_timeout(TIMEOUT_SECONDS);
            thread::spawn(move || request.send().is_ok())
        })
        .collect();
    thread::sleep(TOKEN_PACE);
    let during = crate::read_status("Threads:");
    for caller in callers {
        let _ = caller.join();
    }
    during.saturating_sub(before)
}
