//! Shutdown of a listener.
//!
//! Guards against a shutdown that truncates open answers or leaves connections open. Health checks
//! fail first, then no connection is accepted, and open answers finish.

mod support;

use catkin_caller::CallerLimits;
use support::{
    AnswerStep, CHAT_BODY, RawCaller, ServiceScript, chat_call, data, event_script, json_script,
    start_listener,
};
use tokio::net::TcpStream;

const HEALTH_CALL: &str = "GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n";

#[tokio::test]
async fn leaving_listener_fails_health_checks_but_serves_calls() {
    let script = json_script(vec![data("{}"), AnswerStep::End]);
    let listener = start_listener(script, CallerLimits::default()).await;
    let mut before = RawCaller::send(listener.address, HEALTH_CALL).await;
    assert!(before.read_until("ok\n").await.starts_with("HTTP/1.1 200 "));

    listener.shutdown.start_leaving();

    let mut after = RawCaller::send(listener.address, HEALTH_CALL).await;
    assert!(after.read_until("leaving\n").await.starts_with("HTTP/1.1 503 "));
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    assert!(caller.read_until("0\r\n\r\n").await.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn closing_finishes_open_streams() {
    let steps = vec![data("data: 1\n\n"), AnswerStep::AwaitSignal, data("data: [DONE]\n\n")];
    let listener = start_listener(event_script(steps), CallerLimits::default()).await;
    let mut idle = RawCaller::connect(listener.address).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    caller.read_until("data: 1\n\n").await;

    listener.shutdown.start_closing();
    idle.read_to_end().await;
    let refused = TcpStream::connect(listener.address).await;
    listener.signals.send(()).unwrap();
    let received = caller.read_to_end().await;

    assert!(refused.is_err());
    assert!(received.contains("data: [DONE]\n\n"));
    assert!(received.ends_with("0\r\n\r\n"));
    listener.serving.await.unwrap();
}

#[tokio::test]
async fn abort_cancels_open_calls() {
    let listener = start_listener(ServiceScript::HangBeforeHead, CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    listener.calls.recv_async().await.unwrap();

    listener.shutdown.abort();

    listener.serving.await.unwrap();
    listener.drops.recv_async().await.unwrap();
    assert_eq!(caller.read_to_end().await, "");
}

#[tokio::test]
async fn closing_ends_keep_alive_connections() {
    let script = json_script(vec![data("{}"), AnswerStep::End]);
    let listener = start_listener(script, CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, &chat_call("", CHAT_BODY)).await;
    caller.read_until("0\r\n\r\n").await;

    listener.shutdown.start_closing();

    caller.read_to_end().await;
    listener.serving.await.unwrap();
}
