//! Claims are kept for their retention and no longer.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimMoment, ClaimOptions, ClaimOutcome, ClaimRetention, ClaimSweeper,
    RecordedAnswer,
};
use common::{MemoryStore, WriteFault};

const START: u64 = 1_000_000;
const RETENTION: ClaimRetention =
    ClaimRetention { answered: Duration::from_secs(100), open: Duration::from_secs(1000) };

async fn add_claim(store: &Arc<MemoryStore>, name: &str, answered: bool) {
    let book = ClaimBook::new(Arc::clone(store), ClaimOptions::new(1));
    let team = TeamId::from_name("foundry");
    let key = ClaimKey { team, service: "quotes".to_owned(), key: name.to_owned() };
    let moment = ClaimMoment { now: ClockTime::ZERO, unix_seconds: START };
    let ClaimOutcome::Fresh(mut ticket) = book.claim(&key, "digest", moment).await else {
        panic!("expected a fresh claim");
    };
    book.mark_sent(&mut ticket).await.expect("marked");
    if answered {
        book.record(ticket, &RecordedAnswer::new(200, "text/plain", b"")).await;
    } else {
        book.record_unknown(ticket).await;
    }
}

fn sweeper(store: &Arc<MemoryStore>) -> ClaimSweeper<MemoryStore> {
    ClaimSweeper::new(Arc::clone(store), RETENTION)
}

#[tokio::test(start_paused = true)]
async fn claims_within_the_retention_stay() {
    let store = MemoryStore::shared();
    add_claim(&store, "k", true).await;

    let counts = sweeper(&store).step(10, START + 100).await.expect("swept");

    assert_eq!((counts.read, counts.deleted, counts.is_round_done), (1, 0, true));
}

#[tokio::test(start_paused = true)]
async fn claims_without_an_answer_stay_longer() {
    let store = MemoryStore::shared();
    add_claim(&store, "answered", true).await;
    add_claim(&store, "unknown", false).await;

    let soon = sweeper(&store).step(10, START + 101).await.expect("swept");
    let late = sweeper(&store).step(10, START + 1001).await.expect("swept");

    assert_eq!((soon.deleted, late.deleted), (1, 1));
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn steps_cover_all_claims_once_in_a_round() {
    let store = MemoryStore::shared();
    for index in 0..25 {
        add_claim(&store, &index.to_string(), true).await;
    }
    let mut sweeper = sweeper(&store);
    let mut reads = Vec::new();

    for _ in 0..3 {
        reads.push(sweeper.step(10, START).await.expect("swept").read);
    }

    assert_eq!(reads, [10, 10, 5]);
}

#[tokio::test(start_paused = true)]
async fn failed_step_goes_on_where_it_stopped() {
    let store = MemoryStore::shared();
    add_claim(&store, "k", true).await;
    let mut sweeper = sweeper(&store);
    store.fail_next(&[WriteFault::Refused]);

    let failed = sweeper.step(10, START + 101).await;
    let again = sweeper.step(10, START + 101).await.expect("swept");

    assert!(failed.is_err());
    assert_eq!(again.deleted, 1);
}
