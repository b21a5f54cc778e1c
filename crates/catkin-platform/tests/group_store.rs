//! Guards against writes that lose their conditional semantics when they share a segment: between
//! writes of one batch, between writers of one log, and after lost responses or long pauses.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, RunVerdict, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimOptions, ClaimOutcome, ClaimTime, GroupOptions, GroupStore,
    ObjectStore, RecordOutcome, RecordedAnswer, StoreError, StoreErrorKind, WriteCondition,
};
use common::{MemoryStore, WriteFault};
use tokio::task::JoinSet;

const UNIX_AT_START: u64 = 1_000_000;

fn group(store: &Arc<MemoryStore>, writer: u64) -> GroupStore {
    GroupStore::start(Arc::clone(store), GroupOptions::for_shard(0, writer, UNIX_AT_START))
}

fn conflict_error() -> StoreError {
    StoreError { kind: StoreErrorKind::Conflict, ran: RunVerdict::NotRun }
}

async fn create(group: &GroupStore, key: &str, value: &[u8]) -> Result<u64, StoreError> {
    group.put(key, value, WriteCondition::Absent).await
}

#[tokio::test(start_paused = true)]
async fn write_conditions_are_checked_as_for_single_objects() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);

    let first = create(&group, "a", b"one").await.expect("written");
    let again = create(&group, "a", b"two").await;
    let second = group.put("a", b"two", WriteCondition::Version(first)).await.expect("written");
    let stale = group.put("a", b"three", WriteCondition::Version(first)).await;
    let read = group.get("a").await.expect("read").expect("present");
    group.delete("a", second).await.expect("deleted");
    let absent = group.get("a").await;

    assert_eq!((again, stale), (Err(conflict_error()), Err(conflict_error())));
    assert_eq!((read.version, read.value.as_slice()), (second, b"two".as_slice()));
    assert_eq!(absent, Ok(None));
    group.stop().await;
}

#[tokio::test(start_paused = true)]
async fn concurrent_writes_share_one_segment() {
    let store = MemoryStore::shared();
    let group = Arc::new(group(&store, 1));
    let mut writers = JoinSet::new();

    for index in 0..100 {
        let group = Arc::clone(&group);
        writers.spawn(async move { create(&group, &format!("key/{index}"), b"").await });
    }
    let results = writers.join_all().await;

    assert!(results.iter().all(Result::is_ok));
    assert!(store.writes() <= 2, "{} writes", store.writes());
}

#[tokio::test(start_paused = true)]
async fn one_of_two_creates_in_one_batch_takes_effect() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);

    let (one, two) = tokio::join!(create(&group, "a", b"one"), create(&group, "a", b"two"));

    assert!(one.is_ok());
    assert_eq!(two, Err(conflict_error()));
}

#[tokio::test(start_paused = true)]
async fn two_writers_of_one_log_read_each_other() {
    let store = MemoryStore::shared();
    let (one, two) = (group(&store, 1), group(&store, 2));
    create(&one, "a", b"one").await.expect("written");
    create(&two, "b", b"two").await.expect("written");

    let taken = create(&one, "b", b"other").await;
    let read = one.get("b").await.expect("read").expect("present");
    let both = two.list("", "", 10).await;

    assert_eq!(taken, Err(conflict_error()));
    assert_eq!(read.value, b"two");
    assert_eq!(both, Ok(vec!["a".to_owned(), "b".to_owned()]));
}

#[tokio::test(start_paused = true)]
async fn segment_write_whose_response_is_lost_is_confirmed() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);
    store.fail_next(&[WriteFault::ResponseLost]);

    let written = create(&group, "a", b"one").await;

    assert!(written.is_ok());
    assert_eq!(create(&group, "a", b"two").await, Err(conflict_error()));
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_segment_is_reported_and_read_later() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);
    store.fail_next(&[WriteFault::Late, WriteFault::Lost, WriteFault::Lost, WriteFault::Lost]);

    let unconfirmed = create(&group, "a", b"one").await;
    store.deliver_late();
    let next = create(&group, "b", b"two").await;
    let read = group.get("a").await.expect("read");

    assert_eq!(unconfirmed.map_err(|error| error.ran), Err(RunVerdict::MayHaveRun));
    assert!(next.is_ok());
    assert_eq!(read.map(|object| object.value), Some(b"one".to_vec()));
}

#[tokio::test(start_paused = true)]
async fn platform_down_means_that_nothing_was_written() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);
    create(&group, "a", b"one").await.expect("written");
    store.set_down(true);

    let down = create(&group, "b", b"two").await;

    let unavailable = StoreError { kind: StoreErrorKind::Unavailable, ran: RunVerdict::NotRun };
    assert_eq!(down, Err(unavailable));
}

#[tokio::test(start_paused = true)]
async fn segments_past_the_retention_are_deleted_with_their_keys() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);
    create(&group, "old", b"").await.expect("written");
    tokio::time::advance(Duration::from_secs(3000)).await;
    create(&group, "young", b"").await.expect("written");
    tokio::time::advance(Duration::from_secs(1000)).await;

    let trimmed = group.trim(100).await;
    let keys = group.list("", "", 10).await;

    assert_eq!(trimmed, Ok(1));
    assert_eq!(keys, Ok(vec!["young".to_owned()]));
    assert_eq!(store.object_count(), 1);
}

/// A writer that was paused while another one used and deleted its next sequence number must not
/// use that number.
#[tokio::test(start_paused = true)]
async fn writer_paused_beyond_the_retention_reloads_the_log() {
    let store = MemoryStore::shared();
    let (paused, busy) = (group(&store, 1), group(&store, 2));
    create(&paused, "first", b"").await.expect("written");
    create(&busy, "claim", b"mine").await.expect("written");
    create(&busy, "other", b"").await.expect("written");
    tokio::time::advance(Duration::from_secs(3700)).await;
    create(&busy, "claim-2", b"mine").await.expect("written");
    busy.trim(3).await.expect("trimmed");

    let taken = create(&paused, "claim-2", b"stolen").await;

    assert_eq!(taken, Err(conflict_error()));
}

/// The same failure with a writer that is paused while its write is in flight.
#[tokio::test(start_paused = true)]
async fn write_slower_than_the_read_validity_is_unconfirmed() {
    let store = MemoryStore::shared();
    let group = group(&store, 1);
    create(&group, "first", b"").await.expect("written");
    store.delay_next_write(Duration::from_secs(3700));

    let slow = create(&group, "a", b"").await;

    assert_eq!(slow.map_err(|error| error.ran), Err(RunVerdict::MayHaveRun));
}

#[tokio::test(start_paused = true)]
async fn claims_work_over_a_group_store() {
    let store = MemoryStore::shared();
    let (one, two) = (Arc::new(group(&store, 1)), Arc::new(group(&store, 2)));
    let first = ClaimBook::new(Arc::clone(&one), ClaimOptions::new(1));
    let second = ClaimBook::new(Arc::clone(&two), ClaimOptions::new(2));
    let team = TeamId::from_name("foundry");
    let key = ClaimKey { team, service: "quotes".to_owned(), key: "k".to_owned() };
    let time = ClaimTime { now: ClockTime::ZERO, unix_seconds: UNIX_AT_START };
    let answer = RecordedAnswer::new(200, "text/plain", b"done");

    let ClaimOutcome::Fresh(mut ticket) = first.claim(&key, "digest", time).await else {
        panic!("expected a fresh claim");
    };
    let during = second.claim(&key, "digest", time).await;
    first.mark_sent(&mut ticket).await.expect("marked");
    let recorded = first.record(ticket, &answer).await;
    let after = second.claim(&key, "digest", time).await;

    assert!(matches!(during, ClaimOutcome::InProgress { .. }));
    assert_eq!(recorded, RecordOutcome::Recorded);
    assert!(matches!(after, ClaimOutcome::Recorded(found) if found == answer));
}
