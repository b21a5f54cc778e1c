//! Guards against running a request twice: random schedules interleave the claims of several
//! routers with write faults, outages, restarts and pauses. A second run comes about if a lost or
//! delayed write lets two routers hold a claim of one key.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId};
use catkin_platform::{
    ClaimBook, ClaimKey, ClaimMode, ClaimOptions, ClaimOutcome, ClaimTicket, ClaimTime,
    GroupOptions, GroupStore, ObjectStore, RecordedAnswer,
};
use common::{MemoryStore, WriteFault};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ROUTERS: usize = 3;
const KEYS: usize = 2;

/// A step of a schedule.
#[derive(Debug, Clone, Copy)]
enum ScheduleStep {
    /// A router claims a key and keeps the ticket if it gets one.
    Claim { router: usize, key: usize },
    /// A router marks its ticket as sent and, if that succeeds, sends the request.
    Send { router: usize, key: usize },
    /// A router records the answer to the request that it sent.
    Record { router: usize, key: usize },
    /// A call is cancelled and its ticket dropped.
    Cancel { router: usize, key: usize },
    /// A router flushes its pending writes.
    Flush { router: usize },
    /// A router dies and is replaced by a new process.
    Replace { router: usize },
    /// The clock advances.
    Wait { seconds: u64 },
    /// A fault is queued for the next write.
    Fail { fault: WriteFault },
    /// The platform goes down or recovers.
    SetDown { down: bool },
    /// Delayed writes take effect.
    DeliverLate,
}

fn any_fault() -> impl Strategy<Value = WriteFault> {
    prop_oneof![
        Just(WriteFault::Refused),
        Just(WriteFault::Lost),
        Just(WriteFault::ResponseLost),
        Just(WriteFault::Late),
    ]
}

fn any_step() -> impl Strategy<Value = ScheduleStep> {
    let any_slot = || (0..ROUTERS, 0..KEYS);
    prop_oneof![
        6 => any_slot().prop_map(|(router, key)| ScheduleStep::Claim { router, key }),
        6 => any_slot().prop_map(|(router, key)| ScheduleStep::Send { router, key }),
        3 => any_slot().prop_map(|(router, key)| ScheduleStep::Record { router, key }),
        1 => any_slot().prop_map(|(router, key)| ScheduleStep::Cancel { router, key }),
        2 => (0..ROUTERS).prop_map(|router| ScheduleStep::Flush { router }),
        1 => (0..ROUTERS).prop_map(|router| ScheduleStep::Replace { router }),
        3 => (1_u64..20).prop_map(|seconds| ScheduleStep::Wait { seconds }),
        4 => any_fault().prop_map(|fault| ScheduleStep::Fail { fault }),
        1 => any::<bool>().prop_map(|down| ScheduleStep::SetDown { down }),
        2 => Just(ScheduleStep::DeliverLate),
    ]
}

/// A router and the tickets that it keeps between the steps, as if it were paused.
struct ScheduledRouter<Store: ObjectStore> {
    book: ClaimBook<Store>,
    tickets: BTreeMap<usize, ClaimTicket>,
}

/// Routers that share one platform, and the number of runs of each key.
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
        let time = ClaimTime { now: self.now, unix_seconds: 1_000_000 };
        let router = &mut self.routers[router];
        if router.tickets.contains_key(&key) {
            return;
        }
        let outcome = router.book.claim(&claim_key(key), "digest", time).await;
        match outcome {
            ClaimOutcome::Fresh(ticket) => {
                router.tickets.insert(key, ticket);
            }
            ClaimOutcome::Recorded(_) => {
                assert!(
                    self.runs.contains_key(&key),
                    "an answer is recorded for a key that never ran"
                );
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

/// A fixed seed, so that each test run uses the same schedules.
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
