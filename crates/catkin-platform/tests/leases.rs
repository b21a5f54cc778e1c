//! Guards against two holders of a lease at once, when a router dies or is paused, the platform is
//! down, or the response to a write is lost. Each router uses its own clock.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_platform::{LeaseCandidate, LeaseOptions, LeaseStep};
use common::{MemoryStore, WriteFault};

fn router(store: &Arc<MemoryStore>, process: u64) -> LeaseCandidate<MemoryStore> {
    let options = LeaseOptions::for_region("ch", &format!("vm-{process}"), process);
    LeaseCandidate::new(Arc::clone(store), options)
}

async fn advance_clock(seconds: u64) {
    tokio::time::advance(Duration::from_secs(seconds)).await;
}

/// Runs a step of a router once a second.
async fn run_steps(router: &LeaseCandidate<MemoryStore>, seconds: u64) {
    for _ in 0..seconds {
        router.step().await;
        advance_clock(1).await;
    }
}

fn fence(router: &LeaseCandidate<MemoryStore>) -> Option<u64> {
    router.grant().map(|grant| grant.fence)
}

#[tokio::test(start_paused = true)]
async fn first_router_acquires_the_lease_and_keeps_it() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));

    for _ in 0..60 {
        first.step().await;
        second.step().await;
        advance_clock(1).await;
    }

    assert_eq!(fence(&first), Some(1));
    assert_eq!(fence(&second), None);
}

#[tokio::test(start_paused = true)]
async fn lease_of_a_dead_router_is_taken_over_with_the_next_fence() {
    let store = MemoryStore::shared();
    let (dead, alive) = (router(&store, 1), router(&store, 2));
    dead.step().await;

    run_steps(&alive, 10).await;
    let early = fence(&alive);
    run_steps(&alive, 1).await;

    assert_eq!(early, None);
    assert_eq!(fence(&alive), Some(2));
}

#[tokio::test(start_paused = true)]
async fn paused_holder_loses_its_grant_before_another_takes_over() {
    let store = MemoryStore::shared();
    let (paused, other) = (router(&store, 1), router(&store, 2));
    paused.step().await;
    let old_grant = paused.grant().expect("held");

    while fence(&other).is_none() {
        other.step().await;
        advance_clock(1).await;
        assert!(!(paused.is_current(old_grant) && fence(&other).is_some()));
    }
    let resumed = paused.step().await;

    assert_eq!(resumed, LeaseStep::Waiting);
    assert_eq!(fence(&other), Some(2));
}

#[tokio::test(start_paused = true)]
async fn holder_paused_during_a_renewal_has_no_grant_afterwards() {
    let store = MemoryStore::shared();
    let (slow, other) = (router(&store, 1), router(&store, 2));
    slow.step().await;
    advance_clock(3).await;
    store.delay_next_write(Duration::from_secs(60));

    let step = slow.step().await;

    assert_eq!(step, LeaseStep::Waiting);
    assert_eq!(fence(&slow), None);
    run_steps(&other, 11).await;
    assert_eq!(fence(&other), Some(2));
}

#[tokio::test(start_paused = true)]
async fn expired_own_lease_is_acquired_with_the_next_fence() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    advance_clock(60).await;

    let expired = fence(&router);
    router.step().await;

    assert_eq!(expired, None);
    assert_eq!(fence(&router), Some(2));
}

#[tokio::test(start_paused = true)]
async fn renewal_whose_response_is_lost_keeps_the_lease() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    advance_clock(2).await;
    store.fail_next(&[WriteFault::ResponseLost]);

    run_steps(&router, 20).await;

    assert_eq!(fence(&router), Some(1));
}

#[tokio::test(start_paused = true)]
async fn acquisition_whose_response_is_lost_ends_with_the_lease() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    store.fail_next(&[WriteFault::ResponseLost]);

    let lost = router.step().await;
    let retried = router.step().await;

    assert_eq!(lost, LeaseStep::PlatformDown);
    assert!(matches!(retried, LeaseStep::Held(grant) if grant.fence == 2));
}

#[tokio::test(start_paused = true)]
async fn outage_ends_the_grant_before_the_lease_expires() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    store.set_down(true);

    let options = LeaseOptions::for_region("ch", "vm-1", 1);
    let length = (options.duration - options.margin).as_secs();
    run_steps(&router, length - 1).await;
    let before = fence(&router);
    run_steps(&router, 1).await;

    assert_eq!(before, Some(1));
    assert_eq!(fence(&router), None);
    assert_eq!(router.step().await, LeaseStep::PlatformDown);
}

#[tokio::test(start_paused = true)]
async fn outage_of_hours_ends_with_one_holder_and_the_next_fence() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));
    first.step().await;
    store.set_down(true);
    run_steps(&first, 7200).await;
    store.set_down(false);

    for _ in 0..30 {
        second.step().await;
        first.step().await;
        advance_clock(1).await;
    }

    assert_eq!((fence(&first), fence(&second)), (Some(2), None));
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_acquired_at_once() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));
    first.step().await;

    first.release().await.expect("released");
    second.step().await;

    assert_eq!(fence(&first), None);
    assert_eq!(fence(&second), Some(2));
}

#[tokio::test(start_paused = true)]
async fn two_routers_that_take_over_at_once_end_with_one_holder() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));

    let (one, two) = tokio::join!(first.step(), second.step());

    let holders = [one, two].iter().filter(|step| matches!(step, LeaseStep::Held(_))).count();
    assert_eq!(holders, 1);
}
