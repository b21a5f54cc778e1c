//! Answers of servers that end early, as a router's callers get them. They guard against a shortened answer
//! that reaches a caller as a complete one.

mod common;

use std::net::SocketAddr;

use catkin_standin::EngineOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use common::{TOKEN, TestFleet, send_record, start_changed_fleet};

/// Answer to probes, with which the server counts as healthy.
const PROBE: &str = r#"{"incarnation":1,"open":0,"leaving":false,"models":["estimator"],
    "event_sequence":0,"events":[],"fence":0}"#;
/// End of a chunked answer.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Number of strikes that quarantine a request; no test reaches it.
const MANY_STRIKES: u32 = 10;

/// A server whose answers to calls and to look-ups are given. `ID` in them is the call's identifier.
#[derive(Clone, Copy)]
struct ServerScript {
    call: &'static str,
    look_up: &'static str,
}

async fn start_server(script: ServerScript) -> (SocketAddr, JoinHandle<()>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = socket.local_addr().expect("is bound");
    let serving = tokio::spawn(async move {
        loop {
            let (stream, _) = socket.accept().await.expect("accepts");
            tokio::spawn(answer_request(stream, script));
        }
    });
    (address, serving)
}

async fn answer_request(mut stream: TcpStream, script: ServerScript) {
    let mut buffer = vec![0; 1 << 16];
    let count = stream.read(&mut buffer).await.expect("reads");
    let text = String::from_utf8_lossy(&buffer[..count]);
    let id = text.split("x-attempt-id: ").nth(1).and_then(|rest| rest.lines().next());
    let length = PROBE.len();
    let answer = match text.split(['?', ' ']).nth(1) {
        Some("/probe") => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{PROBE}"),
        Some("/lookup") => script.look_up.to_owned(),
        _ => script.call.replace("ID", id.unwrap_or_default()),
    };
    stream.write_all(answer.as_bytes()).await.expect("writes");
}

async fn start_fleet(server: &str, address: SocketAddr) -> TestFleet {
    start_changed_fleet(EngineOptions::default(), |declarations| {
        declarations.limits.crash_strikes = MANY_STRIKES;
        let declared = declarations.servers.get_mut(server).expect("is declared");
        declared.address = address;
        declared.resumes = false;
    })
    .await
}

/// Sends a turn of a chat and reads all bytes of its answer.
async fn read_turn(router: SocketAddr, streamed: bool) -> String {
    let body = format!(
        r#"{{"model":"estimator","messages":[{{"role":"user","content":"a"}}],"stream":{streamed}}}"#
    );
    let call = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(router).await.expect("connects");
    stream.write_all(call.as_bytes()).await.expect("writes");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("reads");
    String::from_utf8(answer).expect("is text")
}

/// Whether an answer is a success that is framed as complete.
fn is_complete_success(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(LAST_CHUNK)
}

async fn send_to(call: &'static str, streamed: bool) -> String {
    let (address, serving) = start_server(ServerScript { call, look_up: "" }).await;
    let fleet = start_fleet("e1", address).await;
    let answer = read_turn(fleet.router.caller_address(), streamed).await;
    assert!(fleet.router.shut_down().await);
    serving.abort();
    answer
}

/// Sends a call to a router of its own for each of the servers' answers.
async fn send_all(calls: &[&'static str], streamed: bool) -> Vec<String> {
    let start = |call: &&'static str| tokio::spawn(send_to(call, streamed));
    let sending: Vec<JoinHandle<String>> = calls.iter().map(start).collect();
    let mut answers = Vec::new();
    for sent in sending {
        answers.push(sent.await.expect("is answered"));
    }
    answers
}

/// Shows that [`is_complete_success`] tells a whole answer from one that ended early.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_complete() {
    let document = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-length: 2\r\n\r\n{}";
    let stream = "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\r\n\
                  data: 1\n\ndata: [DONE]\n\n";

    for (call, streamed) in [(document, false), (stream, true)] {
        let answer = send_to(call, streamed).await;

        assert!(is_complete_success(&answer), "{answer}");
    }
}

/// Guards against a plain answer that ends in or behind its head, or in its body, and reaches the caller as
/// complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_ends_early_does_not_look_complete() {
    let calls = [
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\n\r\n{\"a",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ntransfer-encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ntransfer-encoding: identity\r\n\r\n{\"a",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-length: 9\r\n\r\n{\"a",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ntransfer-encoding: chunked\r\n\r\n3\r\n{\"a\r\n",
    ];
    for streamed in [false, true] {
        for (call, answer) in calls.iter().zip(send_all(&calls, streamed).await) {
            assert!(!is_complete_success(&answer), "{call:?} {answer}");
        }
    }
}

/// Guards against a stream that ends in or behind its head, inside an event or between two, and reaches the
/// caller as complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_early_does_not_look_complete() {
    let calls = [
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\r\ndata: 1\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\r\ndata: 1\n\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\
         content-length: 9\r\n\r\ndata: 1\n\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: gzip\r\n\r\ndata: 1\n\n",
    ];
    for (call, answer) in calls.iter().zip(send_all(&calls, true).await) {
        assert!(!is_complete_success(&answer), "{call:?} {answer}");
    }
}

/// Guards against a part of a recorded answer that a look-up takes for all of it: the caller got it as a
/// complete 200, and it was recorded as the outcome of the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_looked_up_answer_that_ends_early_does_not_look_complete() {
    for look_up in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"a"] {
        let (address, serving) = start_server(ServerScript { call: "", look_up }).await;
        let fleet = start_fleet("s1", address).await;
        let router = fleet.router.caller_address();

        let first = send_record(router, "k1", "{}").await;
        let second = send_record(router, "k1", "{}").await;

        assert_ne!(first.status, 200, "{look_up:?} {}", first.body);
        assert!(first.body.contains(r#""ran":"maybe""#), "{}", first.body);
        assert_ne!(second.status, 200, "{look_up:?} {}", second.body);
        assert!(fleet.router.shut_down().await);
        serving.abort();
    }
}
