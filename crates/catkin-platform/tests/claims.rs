//! Guards against a request that runs twice, or whose key stays blocked, when a router dies or is
//! paused, or when a write to the platform is lost or delayed, at each step of a claim.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId, VmId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimMode, ClaimOptions, ClaimOutcome, ClaimTicket, ClaimTime,
    MAX_RECORDED_BYTES, MarkError, RecordOutcome, RecordedAnswer, RecordedBody, derive_process_id,
};
use common::{MemoryStore, WriteFault};

const BODY: &str = "digest-of-body";

fn key(name: &str) -> ClaimKey {
    let team = TeamId::from_name("foundry");
    ClaimKey { team, service: "quotes".to_owned(), key: name.to_owned() }
}

fn at(seconds: u64) -> ClaimTime {
    ClaimTime { now: ClockTime::from_millis(seconds * 1000), unix_seconds: 1_000_000 + seconds }
}

fn book(store: &Arc<MemoryStore>, process: u64) -> ClaimBook<MemoryStore> {
    ClaimBook::new(Arc::clone(store), ClaimOptions::new(process))
}

fn single_book(store: &Arc<MemoryStore>, process: u64) -> ClaimBook<MemoryStore> {
    let options = ClaimOptions { mode: ClaimMode::Single, ..ClaimOptions::new(process) };
    ClaimBook::new(Arc::clone(store), options)
}

fn answer() -> RecordedAnswer {
    RecordedAnswer::new(200, "application/json", b"{\"quote\":7}")
}

async fn claim(book: &ClaimBook<MemoryStore>, name: &str, seconds: u64) -> ClaimOutcome {
    book.claim(&key(name), BODY, at(seconds)).await
}

/// Name of the outcome in assertions.
fn outcome_name(outcome: &ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Fresh(_) => "fresh",
        ClaimOutcome::Recorded(_) => "recorded",
        ClaimOutcome::InProgress { .. } => "in-progress",
        ClaimOutcome::KeyReused => "key-reused",
        ClaimOutcome::PlatformDown => "platform-down",
        ClaimOutcome::Unconfirmed => "unconfirmed",
        ClaimOutcome::Unknown(_) => "unknown",
    }
}

async fn claim_fresh(book: &ClaimBook<MemoryStore>, name: &str, seconds: u64) -> ClaimTicket {
    match claim(book, name, seconds).await {
        ClaimOutcome::Fresh(ticket) => ticket,
        other => panic!("expected a fresh claim, got {}", outcome_name(&other)),
    }
}

async fn claim_and_mark(book: &ClaimBook<MemoryStore>, name: &str, seconds: u64) -> ClaimTicket {
    let mut ticket = claim_fresh(book, name, seconds).await;
    book.mark_sent(&mut ticket).await.expect("marked");
    ticket
}

#[tokio::test(start_paused = true)]
async fn answer_is_recorded_and_replayed_to_another_router() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));

    let ticket = claim_and_mark(&first, "k", 0).await;
    let end = first.record(ticket, &answer()).await;
    let replayed = claim(&second, "k", 1).await;

    assert_eq!(end, RecordOutcome::Recorded);
    assert!(matches!(replayed, ClaimOutcome::Recorded(recorded) if recorded == answer()));
}

#[tokio::test(start_paused = true)]
async fn keys_of_other_teams_and_services_are_independent() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let other_team = ClaimKey { team: TeamId::from_name("other"), ..key("k") };
    let other_service = ClaimKey { service: "ledger".to_owned(), ..key("k") };

    let _ticket = claim_fresh(&book, "k", 0).await;

    assert_eq!(outcome_name(&book.claim(&other_team, BODY, at(0)).await), "fresh");
    assert_eq!(outcome_name(&book.claim(&other_service, BODY, at(0)).await), "fresh");
}

#[tokio::test(start_paused = true)]
async fn platform_down_before_the_claim_writes_nothing() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    store.set_down(true);

    let outcome = claim(&book, "k", 0).await;
    store.set_down(false);

    assert_eq!(outcome_name(&outcome), "platform-down");
    assert_eq!(store.object_count(), 0);
    assert_eq!(book.pending_count(), 0);
    assert_eq!(outcome_name(&claim(&book, "k", 1).await), "fresh");
}

#[tokio::test(start_paused = true)]
async fn claim_whose_response_is_lost_is_confirmed_by_reading_back() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    store.fail_next(&[WriteFault::ResponseLost]);

    let outcome = claim(&book, "k", 0).await;

    assert_eq!(outcome_name(&outcome), "fresh");
    assert_eq!(store.object_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn delayed_claim_write_is_retried() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    store.fail_next(&[WriteFault::Late]);

    let mut ticket = claim_fresh(&book, "k", 0).await;
    store.deliver_late();

    assert!(book.mark_sent(&mut ticket).await.is_ok());
    assert_eq!(store.object_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_claim_never_runs_and_is_withdrawn() {
    let store = MemoryStore::shared();
    let book = single_book(&store, 1);
    store.fail_next(&[
        WriteFault::ResponseLost,
        WriteFault::Lost,
        WriteFault::Lost,
        WriteFault::Lost,
    ]);

    let outcome = claim(&book, "k", 0).await;
    let pending = book.pending_count();
    let pending_after = book.flush(at(1).now).await;

    assert_eq!(outcome_name(&outcome), "unconfirmed");
    assert_eq!((pending, pending_after), (1, 0));
    assert_eq!(store.object_count(), 0);
    assert_eq!(outcome_name(&claim(&book, "k", 2).await), "fresh");
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_claim_that_takes_effect_late_is_withdrawn() {
    let store = MemoryStore::shared();
    let book = single_book(&store, 1);
    store.fail_next(&[WriteFault::Late, WriteFault::Lost, WriteFault::Lost, WriteFault::Lost]);

    let outcome = claim(&book, "k", 0).await;
    let before = book.flush(at(1).now).await;
    store.deliver_late();
    let after = book.flush(at(2).now).await;

    assert_eq!(outcome_name(&outcome), "unconfirmed");
    assert_eq!((before, after), (1, 0));
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn router_with_a_pending_withdrawal_claims_the_key_again() {
    let store = MemoryStore::shared();
    let book = single_book(&store, 1);
    store.fail_next(&[
        WriteFault::ResponseLost,
        WriteFault::Lost,
        WriteFault::Lost,
        WriteFault::Lost,
    ]);

    let first = claim(&book, "k", 0).await;
    let retry = claim(&book, "k", 1).await;
    book.flush(at(2).now).await;

    assert_eq!(outcome_name(&first), "unconfirmed");
    assert_eq!(outcome_name(&retry), "fresh");
    assert_eq!(store.object_count(), 1);
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_router_that_died_before_sending_is_taken_over() {
    let store = MemoryStore::shared();
    let (dead, alive) = (book(&store, 1), book(&store, 2));
    let _ticket = claim_fresh(&dead, "k", 0).await;

    let early = claim(&alive, "k", 1).await;
    let late = claim(&alive, "k", 10).await;

    assert_eq!(outcome_name(&early), "in-progress");
    assert_eq!(outcome_name(&late), "fresh");
}

#[tokio::test(start_paused = true)]
async fn holder_paused_during_a_takeover_cannot_mark_its_claim() {
    let store = MemoryStore::shared();
    let (paused, other) = (book(&store, 1), book(&store, 2));
    let mut old_ticket = claim_fresh(&paused, "k", 0).await;
    claim(&other, "k", 1).await;
    let mut new_ticket = claim_fresh(&other, "k", 10).await;

    let old_mark = paused.mark_sent(&mut old_ticket).await;
    let new_mark = other.mark_sent(&mut new_ticket).await;

    assert_eq!(old_mark, Err(MarkError::NotHeld));
    assert_eq!(new_mark, Ok(()));
}

#[tokio::test(start_paused = true)]
async fn claim_marked_as_sent_is_never_taken_over() {
    let store = MemoryStore::shared();
    let (paused, other) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&paused, "k", 0).await;
    claim(&other, "k", 1).await;

    let late = claim(&other, "k", 100).await;
    let recorded = paused.record(ticket, &answer()).await;
    let after = claim(&other, "k", 101).await;

    assert_eq!(outcome_name(&late), "unknown");
    assert_eq!(recorded, RecordOutcome::Recorded);
    assert_eq!(outcome_name(&after), "recorded");
}

#[tokio::test(start_paused = true)]
async fn mark_whose_response_is_lost_is_confirmed() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let mut ticket = claim_fresh(&book, "k", 0).await;
    store.fail_next(&[WriteFault::ResponseLost]);

    let marked = book.mark_sent(&mut ticket).await;

    assert_eq!(marked, Ok(()));
    assert_eq!(book.record(ticket, &answer()).await, RecordOutcome::Recorded);
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_mark_forbids_sending_and_frees_the_key() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let mut ticket = claim_fresh(&book, "k", 0).await;
    store.fail_next(&[
        WriteFault::ResponseLost,
        WriteFault::Lost,
        WriteFault::Lost,
        WriteFault::Lost,
    ]);

    let marked = book.mark_sent(&mut ticket).await;
    drop(ticket);
    book.flush(at(1).now).await;

    assert_eq!(marked, Err(MarkError::PlatformDown));
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn retry_of_a_request_sent_without_an_answer_is_unknown() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&first, "k", 0).await;

    first.record_unknown(ticket).await;
    let retry = claim(&second, "k", 1).await;

    assert_eq!(outcome_name(&retry), "unknown");
}

#[tokio::test(start_paused = true)]
async fn unknown_claim_is_resolved_by_the_answer_from_the_service() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&first, "k", 0).await;
    first.record_unknown(ticket).await;
    let ClaimOutcome::Unknown(unknown) = claim(&second, "k", 1).await else {
        panic!("expected an unknown claim");
    };

    let resolved = second.resolve(unknown, &answer()).await;

    assert_eq!(resolved, RecordOutcome::Recorded);
    assert_eq!(outcome_name(&claim(&first, "k", 2).await), "recorded");
}

#[tokio::test(start_paused = true)]
async fn call_cancelled_after_sending_leaves_an_unknown_claim() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let ticket = claim_and_mark(&book, "k", 0).await;

    drop(ticket);
    book.flush(at(1).now).await;

    assert_eq!(outcome_name(&claim(&book, "k", 2).await), "unknown");
}

#[tokio::test(start_paused = true)]
async fn call_cancelled_while_its_answer_is_recorded_keeps_the_answer() {
    for fault in [WriteFault::None, WriteFault::Lost] {
        let store = MemoryStore::shared();
        let book = book(&store, 1);
        let ticket = claim_and_mark(&book, "k", 0).await;
        store.fail_next(&[fault]);
        store.delay_next_write(Duration::from_secs(60));

        let answer = answer();
        let recording = book.record(ticket, &answer);
        let cancelled = tokio::time::timeout(Duration::from_secs(1), recording).await;
        book.flush(at(2).now).await;
        let replayed = claim(&book, "k", 3).await;

        assert!(cancelled.is_err());
        assert_eq!(outcome_name(&replayed), "recorded", "{fault:?}");
        assert_eq!(book.pending_count(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn call_cancelled_before_sending_frees_the_key() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let ticket = claim_fresh(&book, "k", 0).await;

    drop(ticket);
    book.flush(at(1).now).await;

    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn answer_that_cannot_be_recorded_stays_pending_and_is_replayed() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&first, "k", 0).await;
    store.set_down(true);

    let end = first.record(ticket, &answer()).await;
    let during = claim(&first, "k", 1).await;
    let pending_during = first.flush(at(2).now).await;
    store.set_down(false);
    let pending = first.flush(at(3).now).await;
    let after = claim(&second, "k", 4).await;

    assert_eq!(end, RecordOutcome::Owed);
    assert_eq!(outcome_name(&during), "recorded");
    assert_eq!((pending_during, pending), (1, 0));
    assert_eq!(outcome_name(&after), "recorded");
}

#[tokio::test(start_paused = true)]
async fn answer_not_recorded_before_its_router_died_is_unknown() {
    let store = MemoryStore::shared();
    let (dead, alive) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&dead, "k", 0).await;
    store.set_down(true);
    dead.record(ticket, &answer()).await;
    drop(dead);
    store.set_down(false);

    let early = claim(&alive, "k", 1).await;
    let late = claim(&alive, "k", 10).await;

    assert_eq!(outcome_name(&early), "in-progress");
    assert_eq!(outcome_name(&late), "unknown");
}

#[tokio::test(start_paused = true)]
async fn record_whose_response_is_lost_is_confirmed() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let ticket = claim_and_mark(&book, "k", 0).await;
    store.fail_next(&[WriteFault::ResponseLost]);

    let end = book.record(ticket, &answer()).await;

    assert_eq!(end, RecordOutcome::Recorded);
}

#[tokio::test(start_paused = true)]
async fn two_concurrent_claims_of_one_key_send_once() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));

    let (one, two) = tokio::join!(claim(&first, "k", 0), claim(&second, "k", 0));

    let mut names = [outcome_name(&one), outcome_name(&two)];
    names.sort_unstable();
    assert_eq!(names, ["fresh", "in-progress"]);
}

/// The incarnation number is the start time of a router, so two routers may have the same one.
#[tokio::test(start_paused = true)]
async fn two_routers_started_in_the_same_instant_send_once() {
    let store = MemoryStore::shared();
    let start = |name: &str| book(&store, derive_process_id(VmId::from_name(name), 1_700_000_000));
    let (first, second) = (start("vm-1"), start("vm-2"));

    let one = claim(&first, "k", 0).await;
    let two = claim(&second, "k", 0).await;

    assert_eq!((outcome_name(&one), outcome_name(&two)), ("fresh", "in-progress"));
}

#[tokio::test(start_paused = true)]
async fn key_with_a_different_body_is_refused() {
    let store = MemoryStore::shared();
    let (first, second) = (book(&store, 1), book(&store, 2));
    let ticket = claim_and_mark(&first, "k", 0).await;
    first.record(ticket, &answer()).await;

    let reused = second.claim(&key("k"), "digest-of-other-body", at(1)).await;

    assert_eq!(outcome_name(&reused), "key-reused");
}

#[tokio::test(start_paused = true)]
async fn key_of_a_withdrawn_claim_can_be_claimed_again() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let mut ticket = claim_and_mark(&book, "k", 0).await;

    ticket.mark_not_run();
    book.withdraw(ticket).await;

    assert_eq!(outcome_name(&claim(&book, "k", 1).await), "fresh");
}

#[tokio::test(start_paused = true)]
async fn withdrawn_claim_whose_response_is_lost_frees_the_key_eventually() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let ticket = claim_fresh(&book, "k", 0).await;
    store.fail_next(&[WriteFault::ResponseLost]);

    book.withdraw(ticket).await;
    let pending = book.flush(at(1).now).await;
    let later = book.flush(at(60).now).await;

    assert_eq!((pending, later), (1, 0));
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_dead_router_in_single_mode_is_unknown() {
    let store = MemoryStore::shared();
    let (dead, alive) = (single_book(&store, 1), single_book(&store, 2));
    let _ticket = claim_fresh(&dead, "k", 0).await;

    claim(&alive, "k", 1).await;
    let late = claim(&alive, "k", 10).await;

    assert_eq!(outcome_name(&late), "unknown");
}

#[tokio::test(start_paused = true)]
async fn answer_above_the_limit_is_recorded_without_its_body() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    let ticket = claim_and_mark(&book, "k", 0).await;
    let large = vec![b'x'; MAX_RECORDED_BYTES + 1];

    book.record(ticket, &RecordedAnswer::new(200, "text/plain", &large)).await;
    let replayed = claim(&book, "k", 1).await;

    let ClaimOutcome::Recorded(recorded) = replayed else { panic!("expected a recorded answer") };
    assert_eq!(recorded.body, RecordedBody::TooLarge(MAX_RECORDED_BYTES + 1));
}

#[tokio::test(start_paused = true)]
async fn platform_down_throughout_never_lets_a_request_run() {
    let store = MemoryStore::shared();
    let book = book(&store, 1);
    store.set_down(true);

    for seconds in 0..50 {
        let outcome = claim(&book, "k", seconds).await;
        assert_eq!(outcome_name(&outcome), "platform-down");
        book.flush(at(seconds).now).await;
    }

    assert_eq!(book.pending_count(), 0);
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn claims_cost_three_writes_marked_and_two_single() {
    let (marked, single) = (MemoryStore::shared(), MemoryStore::shared());
    let (marked_book, single_book) = (book(&marked, 1), single_book(&single, 1));

    for book in [&marked_book, &single_book] {
        let ticket = claim_and_mark(book, "k", 0).await;
        book.record(ticket, &answer()).await;
    }

    assert_eq!((marked.writes(), marked.reads()), (3, 0));
    assert_eq!((single.writes(), single.reads()), (2, 0));
}
