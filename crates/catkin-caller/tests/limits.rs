//! Callers that are slow, large, many or silent cannot exhaust the listener.

mod support;

use std::time::Duration;

use bytes::Bytes;
use catkin_caller::{CallerLimits, parse_descriptor_limit, read_descriptor_limit};
use support::{
    AnswerStep, CHAT_BODY, RawCaller, ServiceScript, chat_call, data, event_script, json_script,
    start_listener,
};

/// A limit that a test waits for, because its caller stays silent.
const SHORT: Duration = Duration::from_millis(20);
const IDLE_CONNECTIONS: usize = 2000;
const BIG_PART_BYTES: usize = 1 << 20;
const BIG_PARTS: usize = 64;

fn whole_json() -> ServiceScript {
    json_script(vec![data("{}"), AnswerStep::End])
}

fn limits(change: impl FnOnce(&mut CallerLimits)) -> CallerLimits {
    let mut limits = CallerLimits::default();
    change(&mut limits);
    limits
}

#[tokio::test]
async fn slow_head_is_closed() {
    let bounds = limits(|limits| limits.header_timeout = SHORT);
    let listener = start_listener(whole_json(), bounds).await;

    let mut caller = RawCaller::send(listener.address, "POST /v1/chat").await;

    assert_eq!(caller.read_to_end().await, "");
}

#[tokio::test]
async fn idle_connection_is_closed() {
    let bounds = limits(|limits| limits.header_timeout = SHORT);
    let listener = start_listener(whole_json(), bounds).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    let seen = caller.read_to_end().await;

    assert!(seen.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn endless_head_is_cut_off_at_its_limit() {
    let listener = start_listener(whole_json(), CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, "POST / HTTP/1.1\r\nx-a: ").await;
    let line = "a".repeat(CallerLimits::default().max_header_bytes);

    caller.write(&line).await;
    let seen = caller.read_to_end().await;

    assert!(seen.starts_with("HTTP/1.1 431 "), "{seen:?}");
}

#[tokio::test]
async fn slow_body_is_refused_as_not_run() {
    let bounds = limits(|limits| limits.body_timeout = SHORT);
    let listener = start_listener(whole_json(), bounds).await;
    let call = chat_call("", CHAT_BODY);

    let mut caller = RawCaller::send(listener.address, &call[..call.len() - 1]).await;
    let seen = caller.read_to_end().await;

    assert!(seen.starts_with("HTTP/1.1 408 "), "{seen:?}");
    assert!(seen.contains(r#""ran":"no""#));
    assert!(listener.calls.is_empty());
}

#[tokio::test]
async fn large_body_is_refused_before_it_is_sent() {
    let bounds = limits(|limits| limits.max_body_bytes = 64);
    let listener = start_listener(whole_json(), bounds).await;
    let call = chat_call("", &" ".repeat(65));
    let head = call.trim_end_matches(' ');

    let mut caller = RawCaller::send(listener.address, head).await;

    assert!(caller.read_until("}").await.starts_with("HTTP/1.1 413 "));
}

#[tokio::test]
async fn large_chunked_body_is_refused() {
    let bounds = limits(|limits| limits.max_body_bytes = 64);
    let listener = start_listener(whole_json(), bounds).await;
    let chunk = " ".repeat(65);
    let call = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer t\r\n\
         transfer-encoding: chunked\r\n\r\n41\r\n{chunk}\r\n"
    );

    let mut caller = RawCaller::send(listener.address, &call).await;

    assert!(caller.read_until("}").await.starts_with("HTTP/1.1 413 "));
}

#[tokio::test]
async fn bodies_of_open_calls_share_a_budget() {
    let bounds = limits(|limits| limits.max_buffered_bytes = CHAT_BODY.len());
    let steps = vec![data("data: 1\n\n"), AnswerStep::AwaitGo, AnswerStep::End];
    let listener = start_listener(event_script(steps), bounds).await;
    let call = chat_call("", CHAT_BODY);
    let mut first = RawCaller::send(listener.address, &call).await;
    first.read_until("data: 1").await;

    let mut second = RawCaller::send(listener.address, &call).await;
    let refused = second.read_until("}").await.to_owned();
    listener.goes.send(()).unwrap();
    first.read_until("0\r\n\r\n").await;
    let mut third = RawCaller::send(listener.address, &call).await;
    let served = third.read_until("data: 1").await;

    assert!(refused.starts_with("HTTP/1.1 503 "));
    assert!(refused.contains(r#""reason":"overloaded""#));
    assert!(served.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn connection_over_the_bound_is_told_to_come_back() {
    let bounds = limits(|limits| limits.max_connections = 1);
    let listener = start_listener(ServiceScript::HangBeforeHead, bounds).await;
    let call = chat_call("", CHAT_BODY);
    let busy = RawCaller::send(listener.address, &call).await;
    listener.calls.recv_async().await.unwrap();

    let mut caller = RawCaller::send(listener.address, &call).await;
    let seen = caller.read_to_end().await;

    assert!(seen.starts_with("HTTP/1.1 503 "));
    assert!(seen.contains("retry-after: 1\r\n"));
    assert!(seen.contains(r#""ran":"no""#));
    drop(busy);
}

#[tokio::test]
async fn idle_connections_make_room_for_a_call() {
    let bounds = limits(|limits| limits.max_connections = 16);
    let listener = start_listener(whole_json(), bounds).await;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(RawCaller::connect(listener.address).await);
    }

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let seen = caller.read_until("0\r\n\r\n").await;

    assert!(seen.starts_with("HTTP/1.1 200 "));
    assert_eq!(idle[0].read_to_end().await, "");
}

#[tokio::test]
async fn half_sent_heads_make_room_for_a_call() {
    let bounds = limits(|limits| limits.max_connections = 4);
    let listener = start_listener(whole_json(), bounds).await;
    let mut slow = Vec::new();
    for _ in 0..16 {
        slow.push(RawCaller::send(listener.address, "POST /v1/chat").await);
    }

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    assert!(caller.read_until("0\r\n\r\n").await.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn caller_that_takes_nothing_is_dropped() {
    let bounds = limits(|limits| limits.write_timeout = SHORT);
    let part = AnswerStep::Data(Bytes::from(vec![b'a'; BIG_PART_BYTES]));
    let mut steps = vec![part; BIG_PARTS];
    steps.push(AnswerStep::Hang);
    let listener = start_listener(json_script(steps), bounds).await;

    let caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;

    listener.drops.recv_async().await.unwrap();
    drop(caller);
}

#[tokio::test]
async fn large_body_that_is_sent_anyway_gets_its_refusal() {
    let listener = start_listener(whole_json(), CallerLimits::default()).await;
    let body = " ".repeat(8 * BIG_PART_BYTES);

    let mut caller = RawCaller::send(listener.address, &chat_call("", &body)).await;
    let seen = caller.read_to_end().await;

    assert!(seen.starts_with("HTTP/1.1 413 "), "{seen:?}");
    assert!(seen.ends_with('}'), "{seen:?}");
}

#[test]
fn connections_fit_into_the_descriptors() {
    let bounds = CallerLimits::default();

    assert_eq!(bounds.clone().limit_to_descriptors(1024).max_connections, 352);
    assert_eq!(bounds.clone().limit_to_descriptors(10).max_connections, 1);
    assert_eq!(bounds.clone().limit_to_descriptors(usize::MAX), bounds);
}

#[test]
fn descriptor_limit_is_read() {
    let line = "Max open files            1024                 524288               files     \n";

    assert_eq!(parse_descriptor_limit(&format!("Limit\n{line}")), Some(1024));
    assert_eq!(parse_descriptor_limit(&line.replace("1024  ", "unlimited")), Some(usize::MAX));
    assert_eq!(parse_descriptor_limit("Max processes 1 1\n"), None);
    assert!(read_descriptor_limit().is_some_and(|limit| limit > 0));
}
