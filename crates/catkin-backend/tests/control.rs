//! Guards against probes, look-ups and orders that are sent wrongly, or whose malformed or missing
//! answers pass for valid ones.

mod support;

use catkin_backend::{BackendErrorKind, BackendLink, CacheEvent, HttpLink};
use catkin_base::{ChatId, RunVerdict};
use support::{NEVER, SHORT, ServerStep, error, json_answer, start_server};

const PROBE: &str = r#"{"incarnation":9,"open":2,"leaving":true,"models":["m"],"event_sequence":4,
    "events":[{"sequence":4,"chat":"00000000000000ff","cached":true}],"fence":3}"#;

#[tokio::test]
async fn probe_answer_is_parsed() {
    let server = start_server(vec![json_answer("200 OK", "", PROBE)]).await;

    let probe = HttpLink.probe(server.address, 3, NEVER).await.unwrap();

    assert_eq!((probe.incarnation, probe.open, probe.leaving), (9, 2, true));
    assert_eq!((probe.event_sequence, probe.fence), (4, 3));
    assert_eq!(probe.models, ["m"]);
    assert_eq!(probe.events, [CacheEvent { sequence: 4, chat: ChatId(255), cached: true }]);
    assert!(server.serving.await.unwrap().starts_with("GET /probe?after=3 HTTP/1.1\r\n"));
}

#[tokio::test]
async fn malformed_probe_answer_is_an_error() {
    for body in ["", "{}", "[]", &PROBE.replace("00ff", "+0ff"), &PROBE.replace(":9", ":-9")] {
        let server = start_server(vec![json_answer("200 OK", "", body)]).await;

        let result = HttpLink.probe(server.address, 0, NEVER).await;

        assert_eq!(result.unwrap_err().kind, BackendErrorKind::Failed);
    }
}

#[tokio::test]
async fn unanswered_probe_times_out() {
    let server = start_server(vec![ServerStep::AwaitClose]).await;

    let result = HttpLink.probe(server.address, 0, SHORT).await;

    assert_eq!(result.unwrap_err(), error(BackendErrorKind::TimedOut, RunVerdict::MayHaveRun));
    server.serving.await.unwrap();
}

#[tokio::test]
async fn look_up_distinguishes_recorded_from_unknown_keys() {
    let recorded = start_server(vec![json_answer("200 OK", "", r#"{"n":1}"#)]).await;
    let unknown = start_server(vec![json_answer("404 Not Found", "", "{}")]).await;
    let failing = start_server(vec![json_answer("500 Internal Server Error", "", "{}")]).await;

    let found = HttpLink.look_up(recorded.address, "/status", "a b&c", NEVER).await;
    let missing = HttpLink.look_up(unknown.address, "/status", "k", NEVER).await;
    let failed = HttpLink.look_up(failing.address, "/status", "k", NEVER).await;

    assert_eq!(found.unwrap().as_deref(), Some(&br#"{"n":1}"#[..]));
    assert_eq!(missing.unwrap(), None);
    assert_eq!(failed.unwrap_err(), error(BackendErrorKind::Failed, RunVerdict::MayHaveRun));
    assert!(recorded.serving.await.unwrap().starts_with("GET /status?key=a%20b%26c HTTP/1.1\r\n"));
}

#[tokio::test]
async fn order_returns_the_highest_fencing_number() {
    let answer = r#"{"fence":8,"accepted":false}"#;
    let server = start_server(vec![json_answer("200 OK", "", answer)]).await;

    let fence = HttpLink.order(server.address, 7, 2, "roles", NEVER).await;

    assert_eq!(fence.unwrap(), 8);
    let request = server.serving.await.unwrap();
    assert!(request.starts_with("POST /orders HTTP/1.1\r\n"));
    assert!(request.ends_with(r#"{"fence":7,"generation":2,"desired":"roles"}"#));
}
