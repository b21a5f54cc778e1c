//! Guards against claims that are deleted too early, so that a retried request runs again, or that
//! are never deleted, for example because a sweep skips a shard after an error.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimOptions, ClaimOutcome, ClaimRetention, ClaimSweeper, ClaimTime,
    ObjectStore, RecordedAnswer,
};
use common::{MemoryStore, WriteFault};

const START: u64 = 1_000_000;
const RETENTION: ClaimRetention =
    ClaimRetention { answered: Duration::from_secs(100), open: Duration::from_secs(1000) };

async fn add_claim(store: &Arc<MemoryStore>, name: &str, answered: bool) {
    let book = ClaimBook::new(Arc::clone(store), ClaimOptions::new(1));
    let team = TeamId::from_name("foundry");
    let key = ClaimKey { team, service: "quotes".to_owned(), key: name.to_owned() };
    let time = ClaimTime { now: ClockTime::ZERO, unix_seconds: START };
    let ClaimOutcome::Fresh(mut ticket) = book.claim(&key, "digest", time).await else {
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

/// Sweeps all owned shards once; returns the numbers of claims read and deleted.
async fn sweep_all(store: &Arc<MemoryStore>, owns: fn(u8) -> bool, seconds: u64) -> (u32, u32) {
    let mut sweeper = sweeper(store);
    let mut totals = (0, 0);
    for _ in (0..=u8::MAX).filter(|shard| owns(*shard)) {
        let counts = sweeper.step(owns, 100, START + seconds).await.expect("swept");
        totals = (totals.0 + counts.read, totals.1 + counts.deleted);
    }
    totals
}

#[tokio::test(start_paused = true)]
async fn claims_within_the_retention_are_kept() {
    let store = MemoryStore::shared();
    add_claim(&store, "k", true).await;

    let totals = sweep_all(&store, |_| true, 100).await;

    assert_eq!(totals, (1, 0));
}

#[tokio::test(start_paused = true)]
async fn claims_without_an_answer_are_kept_longer() {
    let store = MemoryStore::shared();
    add_claim(&store, "answered", true).await;
    add_claim(&store, "unknown", false).await;

    let soon = sweep_all(&store, |_| true, 101).await;
    let late = sweep_all(&store, |_| true, 1001).await;

    assert_eq!((soon, late), ((2, 1), (1, 1)));
    assert_eq!(store.object_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn two_routers_divide_the_shards() {
    let store = MemoryStore::shared();
    for index in 0..40 {
        add_claim(&store, &index.to_string(), true).await;
    }

    let (even, _) = sweep_all(&store, |shard| shard % 2 == 0, 0).await;
    let (odd, _) = sweep_all(&store, |shard| shard % 2 == 1, 0).await;

    assert_eq!(even + odd, 40);
    assert!(even > 0 && odd > 0);
}

#[tokio::test(start_paused = true)]
async fn steps_of_one_claim_read_each_claim_once() {
    let store = MemoryStore::shared();
    for index in 0..40 {
        add_claim(&store, &index.to_string(), true).await;
    }
    let mut sweeper = sweeper(&store);
    let mut read = 0;

    // Each shard takes one step per claim and one that finds its end.
    for _ in 0..40 + 256 {
        read += sweeper.step(|_| true, 1, START).await.expect("swept").read;
    }

    assert_eq!(read, 40);
}

#[tokio::test(start_paused = true)]
async fn router_without_a_shard_makes_no_call() {
    let store = MemoryStore::shared();

    let counts = sweeper(&store).step(|_| false, 10, START).await.expect("swept");

    assert_eq!((counts.read, store.reads()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn sweep_resumes_after_a_failed_step() {
    let store = MemoryStore::shared();
    add_claim(&store, "k", true).await;
    let shard = find_claim_shard(&store).await;
    let mut sweeper = sweeper(&store);
    store.fail_next(&[WriteFault::Refused]);

    let failed = sweeper.step(|owned| owned == shard, 10, START + 101).await;
    let again = sweeper.step(|owned| owned == shard, 10, START + 101).await.expect("swept");

    assert!(failed.is_err());
    assert_eq!(again.deleted, 1);
}

/// Finds the shard of the only claim.
async fn find_claim_shard(store: &MemoryStore) -> u8 {
    let keys = store.list("claims/", "", 1).await.expect("listed");
    let digits = keys[0].split('/').nth(1).expect("a shard");
    u8::from_str_radix(digits, 16).expect("two digits")
}
