//! Random schedules of routers, faults and pauses: no key ever runs twice.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimMode, ClaimMoment, ClaimOptions, ClaimOutcome, ClaimTicket,
    GroupOptions, GroupStore, ObjectStore, RecordedAnswer,
};
use common::{MemoryStore, WriteFault};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ROUTERS: usize = 3;
const KEYS: usize = 2;

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum ScheduleStep {
    /// A router claims a key and keeps the ticket, if it gets one.
    Claim { router: usize, key: usize },
    /// A router marks the ticket that it keeps and, if it may, sends.
    Send { router: usize, key: usize },
    /// A router records the answer to what it sent.
    Record { router: usize, key: usize },
    /// A call is cancelled.
    Cancel { router: usize, key: usize },
    /// A router writes what it owes.
    Flush { router: usize },
    /// A router dies and another takes its place.
    Replace { router: usize },
    /// Time passes.
    Wait { seconds: u64 },
    /// The next writes fail.
    Fail { fault: WriteFault },
    /// The platform goes down or comes back.
    SetDown { down: bool },
    /// Late writes arrive.
    DeliverLate,
}

fn any_fault() -> impl Strategy<Value = WriteFault> {
    prop_oneof![
        Just(WriteFault::Refused),
        Just(WriteFault::Lost),
        Just(WriteFault::AnswerLost),
        Just(WriteFault::Late),
    ]
}

fn any_step() -> impl Strategy<Value = ScheduleStep> {
    let place = || (0..ROUTERS, 0..KEYS);
    prop_oneof![
        6 => place().prop_map(|(router, key)| ScheduleStep::Claim { router, key }),
        6 => place().prop_map(|(router, key)| ScheduleStep::Send { router, key }),
        3 => place().prop_map(|(router, key)| ScheduleStep::Record { router, key }),
        1 => place().prop_map(|(router, key)| ScheduleStep::Cancel { router, key }),
        2 => (0..ROUTERS).prop_map(|router| ScheduleStep::Flush { router }),
        1 => (0..ROUTERS).prop_map(|router| ScheduleStep::Replace { router }),
        3 => (1_u64..20).prop_map(|seconds| ScheduleStep::Wait { seconds }),
        4 => any_fault().prop_map(|fault| ScheduleStep::Fail { fault }),
        1 => any::<bool>().prop_map(|down| ScheduleStep::SetDown { down }),
        2 => Just(ScheduleStep::DeliverLate),
    ]
}

/// A router with the tickets that it keeps, as if it were paused between two steps.
struct ScheduledRouter<Store: ObjectStore> {
    book: ClaimBook<Store>,
    tickets: BTreeMap<usize, ClaimTicket>,
}

/// Routers before one platform, and what ran.
struct ScheduleWorld<Store: ObjectStore> {
    platform: Arc<MemoryStore>,
    routers: Vec<ScheduledRouter<Store>>,
    stores: Vec<Arc<Store>>,
    mode: ClaimMode,
    processes: u64,
    now: ClockTime,
    runs: BTreeMap<usize, u32>,
}

impl<Store: ObjectStore> ScheduleWorld<Store> {
    fn new(platform: Arc<MemoryStore>, stores: Vec<Arc<Store>>, mode: ClaimMode) -> Self {
        let mut world = Self {
            platform,
            routers: Vec::new(),
            stores,
            mode,
            processes: 0,
            now: ClockTime::ZERO,
            runs: BTreeMap::new(),
        };
        for router in 0..ROUTERS {
            let started = world.start_router(router);
            world.routers.push(started);
        }
        world
    }

    fn start_router(&mut self, router: usize) -> ScheduledRouter<Store> {
        self.processes += 1;
        let options = ClaimOptions { mode: self.mode, ..ClaimOptions::new(self.processes) };
        let book = ClaimBook::new(Arc::clone(&self.stores[router]), options);
        ScheduledRouter { book, tickets: BTreeMap::new() }
    }

    async fn run(&mut self, step: ScheduleStep) {
        match step {
            ScheduleStep::Claim { router, key } => self.claim(router, key).await,
            ScheduleStep::Send { router, key } => self.send(router, key).await,
            ScheduleStep::Record { router, key } => self.record(router, key).await,
            ScheduleStep::Cancel { router, key } => {
                self.routers[router].tickets.remove(&key);
            }
            ScheduleStep::Flush { router } => {
                self.routers[router].book.flush(self.now).await;
            }
            ScheduleStep::Replace { router } => {
                let started = self.start_router(router);
                self.routers[router] = started;
            }
            ScheduleStep::Wait { seconds } => {
                self.now = self.now.plus(Duration::from_secs(seconds));
            }
            ScheduleStep::Fail { fault } => self.platform.fail_next(&[fault]),
            ScheduleStep::SetDown { down } => self.platform.set_down(down),
            ScheduleStep::DeliverLate => self.platform.deliver_late(),
        }
    }

    async fn claim(&mut self, router: usize, key: usize) {
        let moment = ClaimMoment { now: self.now, unix_seconds: 1_000_000 };
        let router = &mut self.routers[router];
        if router.tickets.contains_key(&key) {
            return;
        }
        let outcome = router.book.claim(&claim_key(key), "digest", moment).await;
        match outcome {
            ClaimOutcome::Fresh(ticket) => {
                router.tickets.insert(key, ticket);
            }
            ClaimOutcome::Recorded(_) => {
                assert!(self.runs.contains_key(&key), "an answer is recorded of what never ran");
            }
            _ => {}
        }
    }

    async fn send(&mut self, router: usize, key: usize) {
        let router = &mut self.routers[router];
        let Some(mut ticket) = router.tickets.remove(&key) else { return };
        if !ticket.is_sent() && router.book.mark_sent(&mut ticket).await.is_ok() {
            *self.runs.entry(key).or_default() += 1;
        }
        if ticket.is_sent() {
            router.tickets.insert(key, ticket);
        }
    }

    async fn record(&mut self, router: usize, key: usize) {
        let router = &mut self.routers[router];
        let Some(ticket) = router.tickets.remove(&key) else { return };
        if ticket.is_sent() {
            router.book.record(ticket, &RecordedAnswer::new(200, "text/plain", b"done")).await;
        }
    }
}

fn claim_key(key: usize) -> ClaimKey {
    let team = TeamId::from_name("foundry");
    ClaimKey { team, service: "quotes".to_owned(), key: key.to_string() }
}

fn run_paused(schedule: impl Future<Output = BTreeMap<usize, u32>>) -> BTreeMap<usize, u32> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(schedule)
}

async fn run_single_objects(steps: &[ScheduleStep], mode: ClaimMode) -> BTreeMap<usize, u32> {
    let platform = MemoryStore::shared();
    let stores = vec![Arc::clone(&platform); ROUTERS];
    let mut world = ScheduleWorld::new(platform, stores, mode);
    for step in steps {
        world.run(*step).await;
    }
    world.runs
}

async fn run_group_log(steps: &[ScheduleStep]) -> BTreeMap<usize, u32> {
    let platform = MemoryStore::shared();
    let writers = 0..ROUTERS as u64;
    let start = |writer| {
        let options = GroupOptions::for_shard(0, writer, 1_000_000);
        Arc::new(GroupStore::start(Arc::clone(&platform), options))
    };
    let stores = writers.map(start).collect();
    let mut world = ScheduleWorld::new(Arc::clone(&platform), stores, ClaimMode::Marked);
    for step in steps {
        world.run(*step).await;
    }
    world.runs
}

/// The same schedules on each run.
fn seeded_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { cases: 512, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn no_key_runs_twice_when_claims_are_marked(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let runs = run_paused(run_single_objects(&steps, ClaimMode::Marked));
        prop_assert!(runs.values().all(|runs| *runs == 1), "{:?}", runs);
    }

    #[test]
    fn no_key_runs_twice_when_claims_are_single(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let runs = run_paused(run_single_objects(&steps, ClaimMode::Single));
        prop_assert!(runs.values().all(|runs| *runs == 1), "{:?}", runs);
    }

    #[test]
    fn no_key_runs_twice_over_a_group_log(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let runs = run_paused(run_group_log(&steps));
        prop_assert!(runs.values().all(|runs| *runs == 1), "{:?}", runs);
    }
}
