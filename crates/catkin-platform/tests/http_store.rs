//! The HTTP client against the platform's stand-in.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use catkin_base::RunVerdict;
use catkin_platform::{
    GuardLimits, HttpStore, HttpStoreOptions, ObjectStore, PlatformHealth, PlatformRates,
    StoreError, StoreErrorKind, VmDirectory, WriteCondition,
};
use catkin_standin::{OutageKind, PlatformOptions, PlatformStandin, VmEntry};

fn start() -> (PlatformStandin, HttpStore) {
    let platform = PlatformStandin::start(&PlatformOptions::default()).expect("it starts");
    let store = HttpStore::new(HttpStoreOptions::new(platform.address(), 1));
    (platform, store)
}

/// An address on which nothing listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    listener.local_addr().expect("an address")
}

fn error(kind: StoreErrorKind, ran: RunVerdict) -> StoreError {
    StoreError { kind, ran }
}

#[tokio::test]
async fn objects_are_written_read_listed_and_deleted() {
    let (_platform, store) = start();

    let first = store.put("a/1", b"one", WriteCondition::Absent).await.expect("written");
    let second = store.put("a/1", b"two", WriteCondition::Version(first)).await.expect("written");
    let read = store.get("a/1").await.expect("read").expect("present");
    let listed = store.list("a/", "", 10).await.expect("listed");
    let stale = store.delete("a/1", first).await;
    store.delete("a/1", second).await.expect("deleted");
    let absent = store.get("a/1").await.expect("read");

    assert!(second > first);
    assert_eq!((read.version, read.value.as_slice()), (second, b"two".as_slice()));
    assert_eq!(listed, ["a/1"]);
    assert_eq!(stale, Err(error(StoreErrorKind::Conflict, RunVerdict::NotRun)));
    assert_eq!(absent, None);
}

#[tokio::test]
async fn conflict_is_told_from_failure() {
    let (_platform, store) = start();
    store.put("key", b"one", WriteCondition::Absent).await.expect("written");

    let conflict = store.put("key", b"two", WriteCondition::Absent).await;

    assert_eq!(conflict, Err(error(StoreErrorKind::Conflict, RunVerdict::NotRun)));
    assert_eq!(store.counts().failures, 0);
}

#[tokio::test]
async fn closed_connection_without_an_answer_is_no_refusal() {
    let (platform, store) = start();
    platform.lose_next_answers(1);

    let lost = store.put("key", b"value", WriteCondition::Absent).await;

    assert_eq!(lost, Err(error(StoreErrorKind::Unavailable, RunVerdict::MayHaveRun)));
    assert_eq!(platform.objects("key").len(), 1);
}

#[tokio::test]
async fn refused_connection_means_that_nothing_was_written() {
    let store = HttpStore::new(HttpStoreOptions::new(closed_address(), 1));

    let refused = store.put("key", b"value", WriteCondition::Absent).await;

    assert_eq!(refused, Err(error(StoreErrorKind::Unavailable, RunVerdict::NotRun)));
}

#[tokio::test]
async fn timeout_of_a_write_means_that_it_may_have_run() {
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let address = silent.local_addr().expect("an address");
    let options = HttpStoreOptions { call_timeout_seconds: 1, ..HttpStoreOptions::new(address, 1) };
    let store = HttpStore::new(options);

    let write = store.put("key", b"value", WriteCondition::Absent).await;
    let read = store.get("key").await;

    assert_eq!(write, Err(error(StoreErrorKind::Unavailable, RunVerdict::MayHaveRun)));
    assert_eq!(read, Err(error(StoreErrorKind::Unavailable, RunVerdict::NotRun)));
}

#[tokio::test]
async fn too_large_a_value_is_refused() {
    let (_platform, store) = start();
    let value = vec![0; (1 << 20) + 1];

    let refused = store.put("key", &value, WriteCondition::Absent).await;

    assert_eq!(refused, Err(error(StoreErrorKind::Invalid, RunVerdict::NotRun)));
}

#[tokio::test]
async fn rate_limit_is_reported() {
    let options = PlatformOptions { writes_per_second: 0, ..PlatformOptions::default() };
    let platform = PlatformStandin::start(&options).expect("it starts");
    let store = HttpStore::new(HttpStoreOptions::new(platform.address(), 1));

    let limited = store.put("key", b"value", WriteCondition::Absent).await;

    assert_eq!(limited, Err(error(StoreErrorKind::RateLimited, RunVerdict::NotRun)));
}

#[tokio::test(start_paused = true)]
async fn budget_holds_calls_back_before_they_are_sent() {
    let (platform, _) = start();
    let limits = GuardLimits { writes_per_second: 0, min_burst: 3, ..GuardLimits::default() };
    let options = HttpStoreOptions { limits, ..HttpStoreOptions::new(platform.address(), 1) };
    let store = HttpStore::new(options);

    for index in 0..3 {
        let key = format!("key/{index}");
        store.put(&key, b"", WriteCondition::Absent).await.expect("within the budget");
    }
    let held_back = store.put("key/3", b"", WriteCondition::Absent).await;

    assert_eq!(held_back, Err(error(StoreErrorKind::RateLimited, RunVerdict::NotRun)));
    assert_eq!(store.counts().held_back, 1);
    assert_eq!(platform.counts().puts, 3);
}

#[tokio::test]
async fn outage_opens_the_guard_and_its_end_closes_it() {
    let (platform, _) = start();
    let limits = GuardLimits {
        failures_to_open: 2,
        first_backoff: Duration::ZERO,
        recovery: Duration::ZERO,
        ..GuardLimits::default()
    };
    let options = HttpStoreOptions { limits, ..HttpStoreOptions::new(platform.address(), 1) };
    let store = HttpStore::new(options);
    platform.set_outage(OutageKind::Failing);

    for _ in 0..2 {
        store.get("key").await.expect_err("the platform is down");
    }
    let during = store.health();
    platform.set_outage(OutageKind::None);
    let after = store.get("key").await;

    assert_eq!(during, PlatformHealth::Down);
    assert_eq!(after, Ok(None));
    assert_eq!(store.health(), PlatformHealth::Up);
}

#[tokio::test]
async fn watch_returns_a_changed_object() {
    let (platform, store) = start();
    let version = store.put("key", b"one", WriteCondition::Absent).await.expect("written");

    let (watched, written) = tokio::join!(
        store.watch("key", version, Duration::from_secs(30)),
        store.put("key", b"two", WriteCondition::Version(version)),
    );

    let changed = watched.expect("watched").expect("present");
    assert_eq!(changed.value, b"two");
    assert_eq!(written, Ok(changed.version));
    assert_eq!(platform.counts().watches, 1);
}

#[tokio::test]
async fn watch_without_a_change_returns_the_object_as_it_is() {
    let (_platform, store) = start();
    let version = store.put("key", b"one", WriteCondition::Absent).await.expect("written");

    let unchanged = store.watch("key", version, Duration::from_millis(1)).await;
    let absent = store.watch("other", 0, Duration::from_millis(1)).await;

    assert_eq!(unchanged.expect("watched").map(|object| object.version), Some(version));
    assert_eq!(absent, Ok(None));
}

#[tokio::test]
async fn vms_are_listed() {
    let (platform, store) = start();
    platform.set_vms(vec![vm_entry(1)]);

    let vms = store.list_vms().await.expect("listed");

    assert_eq!(vms.len(), 1);
    assert!(vms[0].leaving);
}

#[tokio::test]
async fn list_of_a_large_fleet_is_whole() {
    let (platform, store) = start();
    platform.set_vms((0..400).map(vm_entry).collect());

    let vms = store.list_vms().await.expect("listed");

    assert_eq!(vms.len(), 400);
}

#[tokio::test(start_paused = true)]
async fn budget_follows_the_number_of_vms() {
    let (platform, _) = start();
    let limits = GuardLimits { burst_seconds: 1, min_burst: 1, ..GuardLimits::default() };
    let rates = PlatformRates { writes_per_second: 4, reads_per_second: 1000 };
    let options = HttpStoreOptions {
        limits,
        rates: Some(rates),
        ..HttpStoreOptions::new(platform.address(), 1)
    };
    let store = HttpStore::new(options);
    platform.set_vms((0..4).map(vm_entry).collect());

    store.list_vms().await.expect("listed");
    let first = store.put("key/1", b"", WriteCondition::Absent).await;
    let second = store.put("key/2", b"", WriteCondition::Absent).await;

    assert!(first.is_ok());
    assert_eq!(second, Err(error(StoreErrorKind::RateLimited, RunVerdict::NotRun)));
}

fn vm_entry(index: u16) -> VmEntry {
    VmEntry {
        name: format!("vm-{index}"),
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7000 + index)),
        domain: "a".to_owned(),
        region: "ch".to_owned(),
        leaving: index == 1,
    }
}

#[tokio::test]
async fn own_counts_match_the_platform_s() {
    let (platform, store) = start();

    store.put("key", b"", WriteCondition::Absent).await.expect("written");
    store.get("key").await.expect("read");
    store.list("", "", 1).await.expect("listed");

    let (own, theirs) = (store.counts(), platform.counts());
    assert_eq!((own.puts, own.gets, own.lists), (theirs.puts, theirs.gets, theirs.lists));
    assert_eq!(own.sent(), theirs.total());
}
