//! Test fixtures: a server that accepts one connection and follows a script.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkin_backend::{AttemptSpec, BackendError, BackendErrorKind};
use catkin_base::{AttemptId, RunVerdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A timeout that does not expire in any test.
pub const NEVER: Duration = Duration::from_secs(3600);
/// A timeout that expires in tests whose server does not answer.
pub const SHORT: Duration = Duration::from_millis(20);

/// A step of the server's script, which starts after the request was read.
#[derive(Clone)]
pub enum ServerStep {
    Write(Vec<u8>),
    /// Signals the test that the script reached this step.
    ReportProgress,
    /// Waits for a signal of the test.
    AwaitGo,
    /// Waits until the router closes the connection.
    AwaitClose,
    /// Resets the connection.
    Reset,
}

/// A server that reads one request and follows its script.
pub struct ScriptedServer {
    pub address: SocketAddr,
    pub go_signals: flume::Sender<()>,
    pub progress: flume::Receiver<()>,
    /// Returns the text of the request after the last step of the script.
    pub serving: JoinHandle<String>,
}

pub async fn start_server(steps: Vec<ServerStep>) -> ScriptedServer {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (go_signals, go_signals_out) = flume::unbounded();
    let (progress_in, progress) = flume::unbounded();
    let serving = tokio::spawn(serve_one(socket, steps, go_signals_out, progress_in));
    ScriptedServer { address, go_signals, progress, serving }
}

async fn serve_one(
    socket: TcpListener,
    steps: Vec<ServerStep>,
    go_signals: flume::Receiver<()>,
    progress: flume::Sender<()>,
) -> String {
    let (mut stream, _) = socket.accept().await.unwrap();
    let request = read_request(&mut stream).await;
    for step in steps {
        match step {
            ServerStep::Write(bytes) => {
                let _ = stream.write_all(&bytes).await;
            }
            ServerStep::ReportProgress => progress.send(()).unwrap(),
            ServerStep::AwaitGo => go_signals.recv_async().await.unwrap(),
            ServerStep::AwaitClose => await_close(&mut stream).await,
            ServerStep::Reset => stream.set_zero_linger().unwrap(),
        }
    }
    request
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap();
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.split("content-length: ").nth(1);
        let length = length.map_or(0, |rest| rest.lines().next().unwrap().parse().unwrap());
        if body.len() >= length {
            return text;
        }
    }
}

async fn await_close(stream: &mut TcpStream) {
    let mut buffer = [0; 64];
    while stream.read(&mut buffer).await.unwrap_or(0) > 0 {}
}

pub const ATTEMPT: AttemptId = AttemptId(0xab);

pub fn attempt_spec(address: SocketAddr) -> AttemptSpec {
    AttemptSpec {
        address,
        path: "/v1/chat/completions".to_owned(),
        attempt: ATTEMPT,
        chat: None,
        idempotency_key: None,
        priority: 1,
        resume_point: None,
        body: Bytes::from_static(b"{}"),
        connect_timeout: NEVER,
        head_timeout: NEVER,
        idle_timeout: NEVER,
    }
}

pub fn write(text: &str) -> ServerStep {
    ServerStep::Write(text.as_bytes().to_vec())
}

/// Head of an event stream that ends when the connection is closed.
pub fn event_head() -> ServerStep {
    write(
        "HTTP/1.1 200 OK\r\nx-attempt-id: 00000000000000ab\r\ncontent-type: text/event-stream\r\n\
         x-cached-tokens: 12\r\nconnection: close\r\n\r\n",
    )
}

/// A complete JSON answer. Each line of `more_headers` ends with CRLF.
pub fn json_answer(status: &str, more_headers: &str, body: &str) -> ServerStep {
    write(&format!(
        "HTTP/1.1 {status}\r\n{more_headers}content-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub fn error(kind: BackendErrorKind, ran: RunVerdict) -> BackendError {
    BackendError { kind, ran }
}
