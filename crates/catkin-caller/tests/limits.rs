//! Limits on time, size, memory and connections.
//!
//! Guards against callers that exhaust the listener with slow, large, many or idle requests.

mod support;

use std::time::Duration;

use bytes::Bytes;
use catkin_caller::{CallerLimits, parse_descriptor_limit, read_descriptor_limit};
use support::{
    AnswerStep, CHAT_BODY, RawCaller, ServiceScript, chat_call, data, event_script, json_script,
    start_listener,
};

/// Timeout that a test waits for because its caller sends nothing.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);
const IDLE_CONNECTIONS: usize = 2000;
const BIG_PART_BYTES: usize = 1 << 20;
const BIG_PARTS: usize = 64;

fn build_json_script() -> ServiceScript {
    json_script(vec![data("{}"), AnswerStep::End])
}

fn build_limits(change: impl FnOnce(&mut CallerLimits)) -> CallerLimits {
    let mut limits = CallerLimits::default();
    change(&mut limits);
    limits
}

#[tokio::test]
async fn connection_with_a_slow_head_is_closed() {
    let limits = build_limits(|limits| limits.header_timeout = SHORT_TIMEOUT);
    let listener = start_listener(build_json_script(), limits).await;

    let mut caller = RawCaller::send(listener.address, "POST /v1/chat").await;

    assert_eq!(caller.read_to_end().await, "");
}

#[tokio::test]
async fn idle_connection_is_closed() {
    let limits = build_limits(|limits| limits.header_timeout = SHORT_TIMEOUT);
    let listener = start_listener(build_json_script(), limits).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    let received = caller.read_to_end().await;

    assert!(received.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn oversized_head_is_rejected_at_its_limit() {
    let listener = start_listener(build_json_script(), CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, "POST / HTTP/1.1\r\nx-a: ").await;
    let line = "a".repeat(CallerLimits::default().max_header_bytes);

    caller.write(&line).await;
    let received = caller.read_to_end().await;

    assert!(received.starts_with("HTTP/1.1 431 "), "{received:?}");
}

#[tokio::test]
async fn slow_body_is_refused_as_not_run() {
    let limits = build_limits(|limits| limits.body_timeout = SHORT_TIMEOUT);
    let listener = start_listener(build_json_script(), limits).await;
    let call = chat_call("", CHAT_BODY);

    let mut caller = RawCaller::send(listener.address, &call[..call.len() - 1]).await;
    let received = caller.read_to_end().await;

    assert!(received.starts_with("HTTP/1.1 408 "), "{received:?}");
    assert!(received.contains(r#""ran":"no""#));
    assert!(listener.calls.is_empty());
}

#[tokio::test]
async fn large_body_is_refused_before_it_is_sent() {
    let limits = build_limits(|limits| limits.max_body_bytes = 64);
    let listener = start_listener(build_json_script(), limits).await;
    let call = chat_call("", &" ".repeat(65));
    let head = call.trim_end_matches(' ');

    let mut caller = RawCaller::send(listener.address, head).await;

    assert!(caller.read_until("}").await.starts_with("HTTP/1.1 413 "));
}

#[tokio::test]
async fn large_chunked_body_is_refused() {
    let limits = build_limits(|limits| limits.max_body_bytes = 64);
    let listener = start_listener(build_json_script(), limits).await;
    let chunk = " ".repeat(65);
    let call = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer t\r\n\
         transfer-encoding: chunked\r\n\r\n41\r\n{chunk}\r\n"
    );

    let mut caller = RawCaller::send(listener.address, &call).await;

    assert!(caller.read_until("}").await.starts_with("HTTP/1.1 413 "));
}

#[tokio::test]
async fn bodies_of_open_calls_share_a_memory_budget() {
    let limits = build_limits(|limits| limits.max_buffered_bytes = CHAT_BODY.len());
    let steps = vec![data("data: 1\n\n"), AnswerStep::AwaitSignal, AnswerStep::End];
    let listener = start_listener(event_script(steps), limits).await;
    let call = chat_call("", CHAT_BODY);
    let mut first = RawCaller::send(listener.address, &call).await;
    first.read_until("data: 1").await;

    let mut second = RawCaller::send(listener.address, &call).await;
    let refused = second.read_until("}").await.to_owned();
    listener.signals.send(()).unwrap();
    first.read_until("0\r\n\r\n").await;
    let mut third = RawCaller::send(listener.address, &call).await;
    let served = third.read_until("data: 1").await;

    assert!(refused.starts_with("HTTP/1.1 503 "));
    assert!(refused.contains(r#""reason":"overloaded""#));
    assert!(served.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn connection_over_the_limit_is_refused_with_retry_after() {
    let limits = build_limits(|limits| limits.max_connections = 1);
    let listener = start_listener(ServiceScript::HangBeforeHead, limits).await;
    let call = chat_call("", CHAT_BODY);
    let busy = RawCaller::send(listener.address, &call).await;
    listener.calls.recv_async().await.unwrap();

    let mut caller = RawCaller::send(listener.address, &call).await;
    let received = caller.read_to_end().await;

    assert!(received.starts_with("HTTP/1.1 503 "));
    assert!(received.contains("retry-after: 1\r\n"));
    assert!(received.contains(r#""ran":"no""#));
    drop(busy);
}

#[tokio::test]
async fn idle_connections_are_evicted_for_a_call() {
    let limits = build_limits(|limits| limits.max_connections = 16);
    let listener = start_listener(build_json_script(), limits).await;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(RawCaller::connect(listener.address).await);
    }

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let received = caller.read_until("0\r\n\r\n").await;

    assert!(received.starts_with("HTTP/1.1 200 "));
    assert_eq!(idle[0].read_to_end().await, "");
}

#[tokio::test]
async fn connections_with_incomplete_heads_are_evicted_for_a_call() {
    let limits = build_limits(|limits| limits.max_connections = 4);
    let listener = start_listener(build_json_script(), limits).await;
    let mut slow = Vec::new();
    for _ in 0..16 {
        slow.push(RawCaller::send(listener.address, "POST /v1/chat").await);
    }

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    assert!(caller.read_until("0\r\n\r\n").await.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn caller_that_does_not_read_is_disconnected() {
    let limits = build_limits(|limits| limits.write_timeout = SHORT_TIMEOUT);
    let part = AnswerStep::Data(Bytes::from(vec![b'a'; BIG_PART_BYTES]));
    let mut steps = vec![part; BIG_PARTS];
    steps.push(AnswerStep::Hang);
    let listener = start_listener(json_script(steps), limits).await;

    let caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    listener.drops.recv_async().await.unwrap();
    drop(caller);
}

#[tokio::test]
async fn large_body_that_is_sent_anyway_receives_its_refusal() {
    let listener = start_listener(build_json_script(), CallerLimits::default()).await;
    let body = " ".repeat(8 * BIG_PART_BYTES);

    let mut caller = RawCaller::send(listener.address, &chat_call("", &body)).await;
    let received = caller.read_to_end().await;

    assert!(received.starts_with("HTTP/1.1 413 "), "{received:?}");
    assert!(received.ends_with('}'), "{received:?}");
}

#[test]
fn connection_limit_fits_the_descriptor_limit() {
    let limits = CallerLimits::default();

    assert_eq!(limits.clone().limit_to_descriptors(1024).max_connections, 352);
    assert_eq!(limits.clone().limit_to_descriptors(10).max_connections, 1);
    assert_eq!(limits.clone().limit_to_descriptors(usize::MAX), limits);
}

#[test]
fn descriptor_limit_is_parsed() {
    let line = "Max open files            1024                 524288               files     \n";

    assert_eq!(parse_descriptor_limit(&format!("Limit\n{line}")), Some(1024));
    assert_eq!(parse_descriptor_limit(&line.replace("1024  ", "unlimited")), Some(usize::MAX));
    assert_eq!(parse_descriptor_limit("Max processes 1 1\n"), None);
    assert!(read_descriptor_limit().is_some_and(|limit| limit > 0));
}
