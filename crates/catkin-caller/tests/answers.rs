//! Delivery of answers, failures and refusals to callers.
//!
//! Guards against truncated answers that look complete to the caller, and against calls that keep
//! running after their caller disconnected.

mod support;

use catkin_base::{CallRefusal, RefusalReason};
use catkin_caller::{CallTarget, CallerLimits};
use support::{
    AnswerStep, CHAT_BODY, RawCaller, ServiceScript, chat_call, data, event_script, json_script,
    start_listener,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

#[tokio::test]
async fn complete_stream_ends_with_done_and_last_chunk() {
    let steps = vec![data("data: 1\n\n"), AnswerStep::AwaitSignal, data("data: [DONE]\n\n")];
    let listener = start_listener(event_script(steps), CallerLimits::default()).await;
    let call = chat_call("x-catkin-class: quick\r\nx-catkin-chat: c 1\r\n", CHAT_BODY);

    let mut caller = RawCaller::send(listener.address, &call).await;
    caller.read_until("data: 1\n\n").await;
    listener.signals.send(()).unwrap();
    let received = caller.read_until(LAST_CHUNK).await;

    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(received.contains("x-catkin-hint: hint-1\r\n"));
    assert!(received.contains("data: [DONE]\n\n"));
    let request = listener.calls.recv_async().await.unwrap();
    assert!(received.contains(&format!("x-catkin-request: {}\r\n", request.request)));
    assert_eq!(request.target, CallTarget::Chat { model: "m".to_owned(), streamed: true });
    assert_eq!(request.class.as_deref(), Some("quick"));
    assert_eq!(request.chat.as_deref(), Some("c 1"));
}

#[tokio::test]
async fn truncated_stream_ends_with_error_event_and_without_last_chunk() {
    let steps = vec![data("data: 1\n\n"), AnswerStep::Fail];
    let listener = start_listener(event_script(steps), CallerLimits::default()).await;

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let received = caller.read_to_end().await;

    assert!(received.contains("data: 1\n\n"));
    assert!(received.contains("event: error\ndata: {"));
    assert!(received.contains(r#""ran":"yes""#));
    assert!(received.trim_end_matches("\r\n").ends_with("}\n\n"));
    assert!(!received.contains("[DONE]"));
    assert!(!received.ends_with(LAST_CHUNK));
}

#[tokio::test]
async fn truncated_json_answer_ends_without_last_chunk() {
    let steps = vec![data(r#"{"a":"#), AnswerStep::Fail];
    let listener = start_listener(json_script(steps), CallerLimits::default()).await;

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let received = caller.read_to_end().await;

    assert!(received.contains(r#"{"a":"#));
    assert!(!received.contains("problem"));
    assert!(!received.ends_with(LAST_CHUNK));
}

#[tokio::test]
async fn failure_before_the_first_part_is_a_problem_response() {
    let listener =
        start_listener(event_script(vec![AnswerStep::Fail]), CallerLimits::default()).await;

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let received = caller.read_until(r#""request":"#).await;

    assert!(received.starts_with("HTTP/1.1 502 "));
    assert!(received.contains("content-type: application/problem+json\r\n"));
}

#[tokio::test]
async fn refusal_contains_verdict_reason_and_retry_after() {
    let refusal =
        CallRefusal::not_run(RefusalReason::Overloaded, "no server is free").with_retry_after(3);
    let listener = start_listener(ServiceScript::Refuse(refusal), CallerLimits::default()).await;

    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    let received = caller.read_until("}").await;

    assert!(received.starts_with("HTTP/1.1 503 "));
    assert!(received.contains("retry-after: 3\r\n"));
    assert!(received.contains(r#""type":"urn:catkinpitch:refusal:overloaded""#));
    assert!(received.contains(r#""ran":"no""#));
}

#[tokio::test]
async fn disconnect_before_the_head_cancels_the_call() {
    let listener = start_listener(ServiceScript::HangBeforeHead, CallerLimits::default()).await;
    let caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    listener.calls.recv_async().await.unwrap();

    drop(caller);

    listener.drops.recv_async().await.unwrap();
}

#[tokio::test]
async fn disconnect_between_parts_cancels_the_call() {
    let steps = vec![data("data: 1\n\n"), AnswerStep::Hang];
    let listener = start_listener(event_script(steps), CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    caller.read_until("data: 1\n\n").await;

    drop(caller);

    listener.drops.recv_async().await.unwrap();
}
