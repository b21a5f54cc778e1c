//! Guards against attempts whose error gives a wrong verdict on whether the request may have run,
//! against truncated answers that pass for complete ones, and against connections that stay open
//! after an attempt was dropped.

mod support;

use catkin_backend::{
    AttemptSpec, BackendError, BackendErrorKind, BackendLink, BackendStream, HttpLink, ResumePoint,
};
use catkin_base::{AttemptId, ChatId, RunVerdict};
use proptest::prelude::*;
use support::{
    NEVER, SHORT, ServerStep, attempt_spec, error, event_head, json_answer, start_server, write,
};
use tokio::net::{TcpListener, TcpSocket};

const ECHO: &str = "x-attempt-id: 00000000000000ab\r\n";

#[tokio::test]
async fn split_events_arrive_complete_and_end_at_done() {
    let steps = vec![
        event_head(),
        write("data: 1\n\ndata"),
        ServerStep::AwaitGo,
        write(": 2\n\ndata: [DONE]\n\n"),
        ServerStep::AwaitClose,
    ];
    let server = start_server(steps).await;

    let mut stream = HttpLink.send(&attempt_spec(server.address)).await.unwrap();
    let first = stream.next_part().await.unwrap();
    server.go_signals.send(()).unwrap();
    let second = stream.next_part().await.unwrap();
    let third = stream.next_part().await.unwrap();

    assert_eq!(first.as_deref(), Some(&b"data: 1\n\n"[..]));
    assert_eq!(second.as_deref(), Some(&b"data: 2\n\ndata: [DONE]\n\n"[..]));
    assert_eq!(third, None);
    assert!(stream.head().streamed);
    assert_eq!(stream.head().cached_tokens, Some(12));
}

#[tokio::test]
async fn request_carries_the_headers_of_the_attempt() {
    let server = start_server(vec![json_answer("200 OK", ECHO, "{}")]).await;
    let mut spec = attempt_spec(server.address);
    spec.chat = Some(ChatId(1));
    spec.idempotency_key = Some("k1".to_owned());
    spec.resume_point = Some(ResumePoint { attempt: AttemptId(2), events: 3 });

    HttpLink.send(&spec).await.unwrap();

    let request = server.serving.await.unwrap();
    assert!(request.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
    assert!(request.contains("x-attempt-id: 00000000000000ab\r\n"));
    assert!(request.contains("x-chat-id: 0000000000000001\r\n"));
    assert!(request.contains("x-priority: 1\r\n"));
    assert!(request.contains("idempotency-key: k1\r\n"));
    assert!(request.contains("x-resume-attempt: 0000000000000002\r\n"));
    assert!(request.contains("x-resume-after: 3\r\n"));
}

#[tokio::test]
async fn refused_connection_is_not_run() {
    let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);

    let result = HttpLink.send(&attempt_spec(address)).await;

    assert_eq!(result.unwrap_err(), error(BackendErrorKind::Unreachable, RunVerdict::NotRun));
}

/// Sends to a server that accepts no connection until its backlog is full. Returns the error of the
/// first attempt that does not time out after it connected.
async fn send_to_full_backlog(change: fn(&mut AttemptSpec)) -> BackendError {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let mut spec = attempt_spec(listener.local_addr().unwrap());
    spec.head_timeout = SHORT;
    change(&mut spec);
    loop {
        let failed = HttpLink.send(&spec).await.unwrap_err();
        if failed.kind != BackendErrorKind::TimedOut {
            return failed;
        }
    }
}

#[tokio::test]
async fn connection_that_is_not_established_is_not_run() {
    let unreachable = error(BackendErrorKind::Unreachable, RunVerdict::NotRun);

    let by_connect_timeout = send_to_full_backlog(|spec| spec.connect_timeout = SHORT).await;
    let by_head_timeout = send_to_full_backlog(|spec| spec.connect_timeout = NEVER).await;

    assert_eq!(by_connect_timeout, unreachable);
    assert_eq!(by_head_timeout, unreachable);
}

#[tokio::test]
async fn reset_before_the_head_may_have_run() {
    let server = start_server(vec![ServerStep::Reset]).await;

    let result = HttpLink.send(&attempt_spec(server.address)).await;

    assert_eq!(result.unwrap_err(), error(BackendErrorKind::Broken, RunVerdict::MayHaveRun));
}

#[tokio::test]
async fn silence_before_the_head_may_have_run() {
    let server = start_server(vec![ServerStep::AwaitClose]).await;
    let mut spec = attempt_spec(server.address);
    spec.head_timeout = SHORT;

    let result = HttpLink.send(&spec).await;

    assert_eq!(result.unwrap_err(), error(BackendErrorKind::TimedOut, RunVerdict::MayHaveRun));
    server.serving.await.unwrap();
}

async fn send_for_head(status: &str, headers: &str) -> BackendError {
    let server = start_server(vec![json_answer(status, headers, "{}")]).await;
    HttpLink.send(&attempt_spec(server.address)).await.unwrap_err()
}

#[tokio::test]
async fn head_of_the_answer_determines_the_error() {
    let not_run = format!("{ECHO}x-not-run: true\r\n");
    let other = "x-attempt-id: 00000000000000ac\r\n";
    let twice = format!("{ECHO}{other}");
    let other_not_run = format!("{other}x-not-run: true\r\n");
    let declined = error(BackendErrorKind::Declined, RunVerdict::NotRun);
    let failed = error(BackendErrorKind::Failed, RunVerdict::MayHaveRun);
    let stranger = error(BackendErrorKind::Stranger, RunVerdict::MayHaveRun);

    assert_eq!(send_for_head("503 Service Unavailable", &not_run).await, declined);
    assert_eq!(send_for_head("503 Service Unavailable", ECHO).await, failed);
    assert_eq!(send_for_head("500 Internal Server Error", &not_run).await, failed);
    assert_eq!(send_for_head("101 Switching Protocols", ECHO).await, failed);
    assert_eq!(send_for_head("200 OK", other).await, stranger);
    assert_eq!(send_for_head("200 OK", "").await, stranger);
    assert_eq!(send_for_head("200 OK", &twice).await, stranger);
    assert_eq!(send_for_head("503 Service Unavailable", &other_not_run).await, stranger);
}

#[tokio::test]
async fn client_error_is_an_answer() {
    let server = start_server(vec![json_answer("400 Bad Request", ECHO, "{}")]).await;

    let mut stream = HttpLink.send(&attempt_spec(server.address)).await.unwrap();

    assert_eq!(stream.head().status, 400);
    assert_eq!(stream.next_part().await.unwrap().as_deref(), Some(&b"{}"[..]));
    assert_eq!(stream.next_part().await.unwrap(), None);
}

async fn read_to_error(steps: Vec<ServerStep>) -> BackendError {
    let server = start_server(steps).await;
    let mut spec = attempt_spec(server.address);
    spec.idle_timeout = SHORT;
    let mut stream = HttpLink.send(&spec).await.unwrap();
    loop {
        match stream.next_part().await {
            Ok(part) => assert!(part.is_some(), "an incomplete answer ended like a complete one"),
            Err(error) => return error,
        }
    }
}

#[tokio::test]
async fn stream_without_done_is_broken() {
    let before_event = vec![event_head(), write("data: 1\n")];
    let after_event = vec![event_head(), write("data: 1\n\ndata: 2\n")];
    let reset = vec![event_head(), write("data: 1\n\n"), ServerStep::Reset];

    let before_event = read_to_error(before_event).await;
    let after_event = read_to_error(after_event).await;
    let reset = read_to_error(reset).await;

    assert_eq!(before_event, error(BackendErrorKind::Broken, RunVerdict::MayHaveRun));
    assert_eq!(after_event, error(BackendErrorKind::Broken, RunVerdict::HasRun));
    assert_eq!(reset.kind, BackendErrorKind::Broken);
}

#[tokio::test]
async fn silence_between_parts_times_out() {
    let steps = vec![event_head(), write("data: 1\n\n"), ServerStep::AwaitClose];

    let failed = read_to_error(steps).await;

    assert_eq!(failed, error(BackendErrorKind::TimedOut, RunVerdict::HasRun));
}

#[tokio::test]
async fn short_json_answer_is_broken() {
    let head = format!("HTTP/1.1 200 OK\r\n{ECHO}content-length: 9\r\n\r\n{{}}");

    let failed = read_to_error(vec![write(&head)]).await;

    assert_eq!(failed, error(BackendErrorKind::Broken, RunVerdict::HasRun));
}

#[tokio::test]
async fn json_answer_without_a_length_is_broken() {
    let head = format!("HTTP/1.1 200 OK\r\n{ECHO}\r\n{{}}");
    let server = start_server(vec![write(&head)]).await;

    let result = HttpLink.send(&attempt_spec(server.address)).await;

    assert_eq!(result.unwrap_err(), error(BackendErrorKind::Broken, RunVerdict::MayHaveRun));
}

#[tokio::test]
async fn dropped_stream_closes_the_connection() {
    let steps = vec![event_head(), write("data: 1\n\n"), ServerStep::AwaitClose];
    let server = start_server(steps).await;
    let mut stream = HttpLink.send(&attempt_spec(server.address)).await.unwrap();
    stream.next_part().await.unwrap();

    drop(stream);

    server.serving.await.unwrap();
}

#[tokio::test]
async fn dropped_send_closes_the_connection() {
    let steps = vec![ServerStep::ReportProgress, ServerStep::AwaitClose];
    let server = start_server(steps).await;
    let spec = attempt_spec(server.address);
    let sending = tokio::spawn(async move { HttpLink.send(&spec).await.map(|_| ()) });
    server.progress.recv_async().await.unwrap();

    sending.abort();

    server.serving.await.unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn random_bytes_are_never_an_answer(bytes in proptest::collection::vec(any::<u8>(), 1..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let failed = runtime.block_on(async {
            let server = start_server(vec![ServerStep::Write(bytes)]).await;
            HttpLink.send(&attempt_spec(server.address)).await.map(|_| ())
        });
        prop_assert_eq!(failed.unwrap_err().ran, RunVerdict::MayHaveRun);
    }
}
