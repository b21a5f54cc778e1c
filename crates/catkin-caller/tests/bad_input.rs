//! Malformed calls are refused with a status and detail, and never reach the service.
//!
//! Guards against calls that the router and a server could interpret differently.

mod support;

use catkin_caller::CallerLimits;
use proptest::prelude::*;
use support::{
    AnswerStep, CHAT_BODY, RawCaller, ServiceScript, chat_call, data, json_script, start_listener,
};

fn build_json_script() -> ServiceScript {
    json_script(vec![data("{}"), AnswerStep::End])
}

fn build_call_with_request_line(line: &str) -> String {
    chat_call("", CHAT_BODY).replace("POST /v1/chat/completions HTTP/1.1", line)
}

async fn assert_refused(call: &str, status: u16, detail: &str) {
    let listener = start_listener(build_json_script(), CallerLimits::default()).await;
    let mut caller = RawCaller::send(listener.address, call).await;
    let received = caller.read_until("}").await;
    assert!(received.contains(&format!(" {status} ")), "{call:?} gave {received:?}");
    assert!(received.contains(detail), "{call:?} gave {received:?}");
    assert!(received.contains(r#""ran":"no""#));
    assert!(listener.calls.is_empty());
}

#[tokio::test]
async fn invalid_routes_are_refused() {
    assert_refused(
        &build_call_with_request_line("GET /v1/chat/completions HTTP/1.1"),
        405,
        "allow: POST",
    )
    .await;
    assert_refused(&build_call_with_request_line("POST /healthz HTTP/1.1"), 405, "allow: GET")
        .await;
    assert_refused(&build_call_with_request_line("POST /v1/other HTTP/1.1"), 404, "not-found")
        .await;
    assert_refused(&build_call_with_request_line("POST /services/a HTTP/1.1"), 404, "not-found")
        .await;
    assert_refused(
        &build_call_with_request_line("POST /services/a%2f/b HTTP/1.1"),
        404,
        "not-found",
    )
    .await;
    assert_refused(
        &build_call_with_request_line("POST /services/a/../b HTTP/1.1"),
        400,
        "dot segments",
    )
    .await;
    assert_refused(
        &build_call_with_request_line("POST /services/a/%2E%2e/b HTTP/1.1"),
        400,
        "dot segments",
    )
    .await;
    assert_refused(
        &build_call_with_request_line("POST /services/a/%6Frders HTTP/1.1"),
        400,
        "escapes",
    )
    .await;
    assert_refused(&build_call_with_request_line("POST /services/a/b%2 HTTP/1.1"), 400, "escapes")
        .await;
    assert_refused(&build_call_with_request_line("POST /services/a/b?c=d HTTP/1.1"), 400, "query")
        .await;
    assert_refused(
        &build_call_with_request_line("POST /v1/chat/completions HTTP/1.0"),
        505,
        "HTTP/1.1",
    )
    .await;
}

#[tokio::test]
async fn invalid_headers_are_refused() {
    for deadline in ["0", "-1", "+5", "0x10", "1e3", "5.0", "86400001", "99999999999999999999"] {
        let call = chat_call(&format!("x-catkin-deadline-ms: {deadline}\r\n"), CHAT_BODY);
        assert_refused(&call, 400, "x-catkin-deadline-ms").await;
    }
    let long_chat = format!("x-catkin-chat: {}\r\n", "a".repeat(257));
    let cases = [
        ("x-catkin-class: a b\r\n", "x-catkin-class"),
        ("x-catkin-class: a\r\nx-catkin-class: a\r\n", "more than once"),
        ("x-catkin-chat: \r\n", "x-catkin-chat"),
        (&long_chat, "x-catkin-chat"),
        ("idempotency-key: a b\r\n", "idempotency-key"),
        ("idempotency-key: a\r\nIdempotency-Key: b\r\n", "more than once"),
        ("content-type: text/plain\r\n", "content-type"),
        ("content-encoding: gzip\r\n", "content-encoding"),
    ];
    for (headers, detail) in cases {
        assert_refused(&chat_call(headers, CHAT_BODY), 400, detail).await;
    }
}

#[tokio::test]
async fn invalid_tokens_are_refused() {
    let call = chat_call("", CHAT_BODY);
    for line in ["", "authorization: Basic dDp0\r\n", "authorization: Bearer\r\n"] {
        let call = call.replace("authorization: Bearer t\r\n", line);
        assert_refused(&call, 401, "authorization").await;
    }
    let twice = chat_call("authorization: Bearer u\r\n", CHAT_BODY);
    assert_refused(&twice, 400, "more than once").await;
}

#[tokio::test]
async fn invalid_bodies_are_refused() {
    let bodies = [
        "",
        "{",
        "[]",
        r#"{"messages":[]}"#,
        r#"{"model":"m"}"#,
        r#"{"model":"m","messages":{}}"#,
        r#"{"model":1,"messages":[]}"#,
        r#"{"model":"m","model":"n","messages":[]}"#,
        r#"{"model":"m","messages":[],"stream":"yes"}"#,
        r#"{"model":"m","messages":[],"max_tokens":-1}"#,
        r#"{"model":"m","messages":[]} {}"#,
    ];
    for body in bodies {
        assert_refused(&chat_call("", body), 400, "bad-request").await;
    }
    let service = chat_call("", "{,}").replace("/v1/chat/completions", "/services/a/b");
    assert_refused(&service, 400, "bad-request").await;
}

fn send_request(request: &[u8]) -> (String, Option<catkin_caller::CallRequest>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = start_listener(build_json_script(), CallerLimits::default()).await;
        let mut caller = RawCaller::connect(listener.address).await;
        tokio::io::AsyncWriteExt::write_all(&mut caller.stream, request).await.unwrap();
        tokio::io::AsyncWriteExt::shutdown(&mut caller.stream).await.unwrap();
        let received = caller.read_to_end().await.to_owned();
        let health = RawCaller::send(listener.address, "GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n")
            .await
            .read_until("ok\n")
            .await
            .starts_with("HTTP/1.1 200 ");
        assert!(health, "listener stopped serving");
        (received, listener.calls.try_recv().ok())
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn random_bytes_never_become_a_call(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let (received, call) = send_request(&bytes);
        prop_assert!(received.is_empty() || received.starts_with("HTTP/1.1 4"));
        prop_assert_eq!(call, None);
    }

    #[test]
    fn any_deadline_is_parsed_exactly_or_refused(deadline in "[ -~]{0,24}|[0-9]{1,9}") {
        let headers = format!("x-catkin-deadline-ms: {deadline}\r\n");
        let (_, call) = send_request(chat_call(&headers, CHAT_BODY).as_bytes());
        let exact = deadline.trim().parse::<u64>().ok();
        let digits = deadline.trim().bytes().all(|byte| byte.is_ascii_digit());
        let allowed = exact.filter(|millis| digits && (1..=86_400_000).contains(millis));
        prop_assert_eq!(call.and_then(|call| call.deadline_millis), allowed);
    }

    #[test]
    fn any_body_is_forwarded_unchanged_or_refused(
        body in proptest::collection::vec(any::<u8>(), 0..40),
        model in "[a-z]{1,8}",
        quoted in any::<bool>(),
    ) {
        let inner = String::from_utf8_lossy(&body).into_owned();
        let text = serde_json::json!({"model": model, "messages": [inner]}).to_string();
        let body = if quoted { text.into_bytes() } else { body };
        let head = chat_call("", "").replace("length: 0", &format!("length: {}", body.len()));
        let (_, call) = send_request(&[head.as_bytes(), &body].concat());
        prop_assert_eq!(call.map(|call| call.body.to_vec()), quoted.then_some(body));
    }
}
