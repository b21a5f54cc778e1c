//! Answers that callers get from a router while its engine fails.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use catkin_standin::EngineOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use common::{TOKEN, send_turn, start_changed_fleet};

/// Length of the engine's outage, and the wait between two calls.
const PAUSE: Duration = Duration::from_millis(20);
/// Token interval of a stream that is long enough for its test to interrupt.
const TOKEN_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of calls until one must be refused.
const MAX_SENDS: usize = 100;
/// Number of bytes that hold several tokens of a stream.
const FIRST_BYTES: usize = 2048;

/// Serves an engine that answers probes as healthy and each call with status 400 and a JSON error.
async fn serve_rejecting_engine(socket: TcpListener) {
    loop {
        let (stream, _) = socket.accept().await.expect("accepts");
        tokio::spawn(reject_call(stream));
    }
}

async fn reject_call(mut stream: TcpStream) {
    let mut buffer = vec![0; 1 << 16];
    let count = stream.read(&mut buffer).await.expect("reads");
    let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
    let probe = r#"{"incarnation":1,"open":0,"leaving":false,"models":["estimator"],
        "event_sequence":0,"events":[],"fence":0}"#;
    let (status, body) = match text.starts_with("GET /probe") {
        true => ("200 OK", probe),
        false => ("400 Bad Request", r#"{"error":"context too long"}"#),
    };
    let attempt = text.split("x-attempt-id: ").nth(1).and_then(|rest| rest.lines().next());
    let answer = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        attempt.unwrap_or_default(),
        body.len()
    );
    stream.write_all(answer.as_bytes()).await.expect("writes");
}

/// Guards against a router that drops the JSON error answer to a streamed call because the answer
/// is not an event stream.
#[tokio::test(flavor = "multi_thread")]
async fn engine_error_reaches_the_caller_of_a_streamed_call() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = socket.local_addr().expect("is bound");
    let engine = tokio::spawn(serve_rejecting_engine(socket));
    let fleet = start_changed_fleet(EngineOptions::default(), |declarations| {
        declarations.servers.get_mut("e1").expect("is declared").address = address;
    })
    .await;

    let answer = send_turn(fleet.router.caller_address(), "too long", true).await;

    assert_eq!(answer.status, 400);
    assert_eq!(answer.body, r#"{"error":"context too long"}"#);
    assert!(fleet.router.shut_down().await);
    engine.abort();
}

/// Guards against crashes that are not counted when the caller already has part of the answer: the
/// engine goes down in the middle of a stream, and the same request must then be refused.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_an_engine_in_mid_stream_is_quarantined() {
    let options = EngineOptions { token_interval: TOKEN_INTERVAL, ..EngineOptions::default() };
    let fleet = start_changed_fleet(options, |declarations| {
        declarations.limits.crash_strikes = 1;
        declarations.servers.get_mut("e1").expect("is declared").resumes = false;
    })
    .await;
    let router = fleet.router.caller_address();

    let mut stream = start_stream(router).await;
    let mut first = vec![0; FIRST_BYTES];
    stream.read_exact(&mut first).await.expect("reads");
    fleet.engine.crash_for(PAUSE);
    let first = read_rest(stream).await;
    let mut second = String::new();
    for _ in 0..MAX_SENDS {
        second = read_rest(start_stream(router).await).await;
        if second.contains(" 422 ") {
            break;
        }
        sleep(PAUSE).await;
    }

    assert!(first.contains("event: error"), "{first}");
    assert!(second.starts_with("HTTP/1.1 422 "), "{second}");
    assert!(fleet.router.shut_down().await);
}

/// Sends a call for a stream of 500 tokens.
async fn start_stream(router: SocketAddr) -> TcpStream {
    let body = r#"{"model":"estimator","messages":[{"role":"user","content":"poison"}],
        "stream":true,"max_tokens":500}"#;
    let call = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(router).await.expect("connects");
    stream.write_all(call.as_bytes()).await.expect("writes");
    stream
}

async fn read_rest(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("reads");
    String::from_utf8(answer).expect("is text")
}
