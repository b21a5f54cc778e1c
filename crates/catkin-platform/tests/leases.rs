//! One holder at a time, by each router's own clock.

mod common;

use std::sync::Arc;
use std::time::Duration;

use catkin_platform::{LeaseHolder, LeaseOptions, LeaseStep};
use common::{MemoryStore, WriteFault};

fn router(store: &Arc<MemoryStore>, incarnation: u64) -> LeaseHolder<MemoryStore> {
    let options = LeaseOptions::for_region("ch", &format!("vm-{incarnation}"), incarnation);
    LeaseHolder::new(Arc::clone(store), options)
}

async fn pass(seconds: u64) {
    tokio::time::advance(Duration::from_secs(seconds)).await;
}

/// Lets a router step once a second.
async fn run(router: &LeaseHolder<MemoryStore>, seconds: u64) {
    for _ in 0..seconds {
        router.step().await;
        pass(1).await;
    }
}

fn fence(router: &LeaseHolder<MemoryStore>) -> Option<u64> {
    router.grant().map(|grant| grant.fence)
}

#[tokio::test(start_paused = true)]
async fn first_router_takes_the_lease_and_keeps_it() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));

    for _ in 0..60 {
        first.step().await;
        second.step().await;
        pass(1).await;
    }

    assert_eq!(fence(&first), Some(1));
    assert_eq!(fence(&second), None);
}

#[tokio::test(start_paused = true)]
async fn lease_of_a_dead_router_is_taken_over_under_the_next_number() {
    let store = MemoryStore::shared();
    let (dead, alive) = (router(&store, 1), router(&store, 2));
    dead.step().await;

    run(&alive, 10).await;
    let early = fence(&alive);
    run(&alive, 1).await;

    assert_eq!(early, None);
    assert_eq!(fence(&alive), Some(2));
}

#[tokio::test(start_paused = true)]
async fn paused_holder_has_stopped_before_another_takes_over() {
    let store = MemoryStore::shared();
    let (paused, other) = (router(&store, 1), router(&store, 2));
    paused.step().await;
    let old_grant = paused.grant().expect("held");

    while fence(&other).is_none() {
        other.step().await;
        pass(1).await;
        assert!(!(paused.is_current(old_grant) && fence(&other).is_some()));
    }
    let woken = paused.step().await;

    assert_eq!(woken, LeaseStep::Waiting);
    assert_eq!(fence(&other), Some(2));
}

#[tokio::test(start_paused = true)]
async fn pause_while_a_renewal_is_sent_gives_no_right_after_it() {
    let store = MemoryStore::shared();
    let (slow, other) = (router(&store, 1), router(&store, 2));
    slow.step().await;
    pass(3).await;
    store.delay_next_write(Duration::from_secs(60));

    let step = slow.step().await;

    assert_eq!(step, LeaseStep::Waiting);
    assert_eq!(fence(&slow), None);
    run(&other, 11).await;
    assert_eq!(fence(&other), Some(2));
}

#[tokio::test(start_paused = true)]
async fn own_lease_that_lapsed_is_taken_under_the_next_number() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    pass(60).await;

    let lapsed = fence(&router);
    router.step().await;

    assert_eq!(lapsed, None);
    assert_eq!(fence(&router), Some(2));
}

#[tokio::test(start_paused = true)]
async fn lost_answer_to_a_renewal_keeps_the_lease() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    pass(2).await;
    store.fail_next(&[WriteFault::AnswerLost]);

    run(&router, 20).await;

    assert_eq!(fence(&router), Some(1));
}

#[tokio::test(start_paused = true)]
async fn lost_answer_to_the_take_over_ends_in_a_lease() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    store.fail_next(&[WriteFault::AnswerLost]);

    let lost = router.step().await;
    let settled = router.step().await;

    assert_eq!(lost, LeaseStep::PlatformDown);
    assert!(matches!(settled, LeaseStep::Held(grant) if grant.fence == 2));
}

#[tokio::test(start_paused = true)]
async fn outage_ends_the_right_of_the_holder_in_time() {
    let store = MemoryStore::shared();
    let router = router(&store, 1);
    router.step().await;
    store.set_down(true);

    let options = LeaseOptions::for_region("ch", "vm-1", 1);
    let length = (options.duration - options.margin).as_secs();
    run(&router, length - 1).await;
    let before = fence(&router);
    run(&router, 1).await;

    assert_eq!(before, Some(1));
    assert_eq!(fence(&router), None);
    assert_eq!(router.step().await, LeaseStep::PlatformDown);
}

#[tokio::test(start_paused = true)]
async fn outage_of_hours_costs_no_number_and_ends_in_one_holder() {
    let store = MemoryStore::shared();
    let (first, second) = (router(&store, 1), router(&store, 2));
    first.step().await;
    store.set_down(true);
    run(&first, 7200).await;
    store.set_down(false);

    for _ in 0..30 {
        second.step().await;
        first.step().await;
        pass(1).await;
    }

    assert_eq!((fence(&first), fence(&second)), (Some(2), None));
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_taken_at_once() {
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
