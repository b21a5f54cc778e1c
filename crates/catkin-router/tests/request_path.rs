//! Calls through one router to stand-ins of its platform, engine and service, over real sockets.

mod common;

use catkin_standin::{OutageKind, build_answer_token, build_service_answer};

use common::{
    OTHER_TOKEN, TOKEN, seen_key, send_record, send_record_as, send_to_path, send_turn, start_fleet,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_arrives_complete() {
    let fleet = start_fleet().await;

    let answer = send_turn(fleet.router.caller_address(), "slide core", true).await;

    assert_eq!(answer.status, 200);
    assert!(answer.body.contains(&build_answer_token("slide core", 4)), "{}", answer.body);
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_buffered_answer_arrives_complete() {
    let fleet = start_fleet().await;

    let answer = send_turn(fleet.router.caller_address(), "mould cost", false).await;

    assert_eq!(answer.status, 200);
    assert!(
        answer.body.contains(build_answer_token("mould cost", 4).trim_end()),
        "{}",
        answer.body
    );
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_sent_twice_with_one_key_runs_once() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();

    let first = send_record(router, "k1", "{}").await;
    let second = send_record(router, "k1", "{}").await;

    assert_eq!(first.body.as_bytes(), build_service_answer(&seen_key("k1"), b"{}"));
    assert_eq!(second.body, first.body);
    assert!(second.replayed && !first.replayed);
    assert_eq!(fleet.service.counts().runs_by_key.get(&seen_key("k1")), Some(&1));
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_with_another_body_is_refused() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();

    send_record(router, "k1", "{}").await;
    let other = send_record(router, "k1", "[]").await;

    assert_eq!(other.status, 422, "{}", other.body);
    assert!(other.body.contains(r#""ran":"no""#), "{}", other.body);
    assert_eq!(fleet.service.counts().runs, 1);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_with_another_path_is_refused() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();

    send_to_path(router, "record", "k1", "{}").await;
    let other = send_to_path(router, "withdraw", "k1", "{}").await;

    assert_eq!(other.status, 422, "{}", other.body);
    assert_eq!(fleet.service.counts().runs, 1);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_the_order_path_is_refused() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();
    let order = r#"{"fence":18446744073709551615,"generation":1,"desired":"none"}"#;

    for path in ["orders", "Orders", "orders/", "orders;a"] {
        let answer = send_to_path(router, path, "k1", order).await;
        assert!(matches!(answer.status, 400 | 403), "{path}: {}", answer.body);
    }

    assert!(fleet.service.accepted_orders().iter().all(|order| order.fence < u64::MAX));
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_found_by_look_up() {
    let fleet = start_fleet().await;
    fleet.service.lose_next_answers(1);

    let answer = send_record(fleet.router.caller_address(), "k1", "{}").await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body.as_bytes(), build_service_answer(&seen_key("k1"), b"{}"));
    assert_eq!(fleet.service.counts().runs, 1);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_cannot_be_claimed_is_not_run() {
    let fleet = start_fleet().await;
    fleet.platform.set_outage(OutageKind::Failing);

    let answer = send_record(fleet.router.caller_address(), "k1", "{}").await;

    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.body.contains(r#""ran":"no""#), "{}", answer.body);
    assert_eq!(fleet.service.counts().runs, 0);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn equal_keys_of_two_teams_run_separately() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();

    let first = send_record_as(TOKEN, router, "k1", "{}").await;
    let other = send_record_as(OTHER_TOKEN, router, "k1", "{}").await;

    assert_eq!((first.status, other.status), (200, 200));
    assert_ne!(first.body, other.body);
    let counts = fleet.service.counts();
    assert_eq!((counts.runs, counts.runs_by_key.len()), (2, 2));
    assert!(fleet.router.shut_down().await);
}

/// A call that is repeated during a platform outage must not be answered with "not run" if the call
/// with its key ran before the outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ran_before_an_outage_is_reported_as_maybe_run() {
    let fleet = start_fleet().await;
    let router = fleet.router.caller_address();
    send_record(router, "k1", "{}").await;
    fleet.platform.set_outage(OutageKind::Failing);

    let again = send_record(router, "k1", "{}").await;

    assert_eq!(again.status, 503, "{}", again.body);
    assert!(again.body.contains(r#""ran":"maybe""#), "{}", again.body);
    assert_eq!(fleet.service.counts().runs, 1);
    assert!(fleet.router.shut_down().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed() {
    let fleet = start_fleet().await;
    fleet.engine.cut_next_streams(1, 2);

    let answer = send_turn(fleet.router.caller_address(), "resumed", true).await;

    assert!(answer.body.contains(&build_answer_token("resumed", 4)), "{}", answer.body);
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
    assert_eq!(answer.body.matches("\"delta\"").count(), 5, "{}", answer.body);
    assert!(fleet.router.shut_down().await);
}
