//! Runs a scenario on a paused clock and judges its expectations.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::callers::{run_load, run_poison};
use crate::parse::grace_of;
use crate::report::{FailedExpectation, ScenarioReport};
use crate::script::{
    NodeKind, NodeName, ScenarioMeasure, ScenarioScript, ScenarioStep, ScriptExpectation,
};
use crate::tally::{CallEnd, ScenarioClass, TallyCounts};
use crate::world::{FleetWorld, address_of, router_address};

const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_CHECK: Duration = Duration::from_millis(100);
/// Time that routers get to know each other before the run.
const SETTLE_TIME: Duration = Duration::from_secs(10);
const REVISION_CHECK: Duration = Duration::from_millis(250);
const FIRST_REVISION_ATTEMPTS: u32 = 5;

/// Runs a scenario on a runtime of its own, whose clock is paused.
pub fn run_script(script: &ScenarioScript) -> ScenarioReport {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without input and output starts");
    runtime.block_on(run_on_clock(script))
}

async fn run_on_clock(script: &ScenarioScript) -> ScenarioReport {
    let world = Arc::new(FleetWorld::new(&script.setup));
    start_fleet(&world).await;
    let runner = ScenarioRunner {
        world: Arc::clone(&world),
        calls: TaskTracker::new(),
        steps: TaskTracker::new(),
        failed: Arc::default(),
    };
    let stop = CancellationToken::new();
    let watch = tokio::spawn(watch_revisions(Arc::clone(&world), stop.clone()));
    runner.run(script).await;
    let values = runner.measure_all();
    runner.judge_end(script, &values);
    let failed = std::mem::take(&mut *runner.failed.lock().unwrap_or_else(PoisonError::into_inner));
    stop.cancel();
    // The task only watches and ends when told.
    let _ = watch.await;
    world.close().await;
    ScenarioReport { name: script.name.clone(), seed: script.setup.seed, values, failed }
}

async fn start_fleet(world: &Arc<FleetWorld>) {
    for _ in 0..FIRST_REVISION_ATTEMPTS {
        if world.apply(world.setup.bound_percent, None).await.is_ok() {
            break;
        }
    }
    for number in 1..=world.setup.routers {
        world.start_router(number);
    }
    let started = Instant::now();
    while !world.all_ready() && started.elapsed() < READY_LIMIT {
        sleep(READY_CHECK).await;
    }
    sleep(SETTLE_TIME).await;
}

async fn watch_revisions(world: Arc<FleetWorld>, stop: CancellationToken) {
    let mut ticks = interval(REVISION_CHECK);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        world.check_revisions();
    }
}

/// A scenario while it runs.
struct ScenarioRunner {
    world: Arc<FleetWorld>,
    calls: TaskTracker,
    steps: TaskTracker,
    failed: Arc<Mutex<Vec<FailedExpectation>>>,
}

impl ScenarioRunner {
    async fn run(&self, script: &ScenarioScript) {
        let start = Instant::now();
        for load in &script.loads {
            let load = run_load(Arc::clone(&self.world), load.clone(), self.calls.clone());
            self.steps.spawn(load);
        }
        for step in &script.steps {
            sleep_until(start + step.at).await;
            self.do_step(&step.step).await;
        }
        sleep_until(start + script.setup.run).await;
        self.steps.close();
        let grace = grace_of(&script.setup);
        let ends = async {
            self.steps.wait().await;
            self.calls.close();
            self.calls.wait().await;
        };
        if timeout(grace, ends).await.is_err() {
            log::warn!("runner: Calls are still open at the end.");
        }
    }

    async fn do_step(&self, step: &ScenarioStep) {
        let world = Arc::clone(&self.world);
        match step {
            ScenarioStep::Crash(node) => crash_node(&world, *node).await,
            ScenarioStep::Start(node) => {
                let node = *node;
                self.steps.spawn(async move { start_node(&world, node).await });
            }
            ScenarioStep::Leave(node) => world.servers.leave(address_of(*node)),
            ScenarioStep::Stop(number) => {
                let number = *number;
                self.steps.spawn(async move { world.stop_router(number).await });
            }
            ScenarioStep::Pause(number, duration) => world.pause_router(*number, *duration),
            ScenarioStep::Flap(node, interval, duration) => {
                self.steps.spawn(flap_node(world, *node, *interval, *duration));
            }
            ScenarioStep::Split(apart) => {
                world.network.split(apart.iter().map(|&number| router_address(number)).collect());
            }
            ScenarioStep::Heal => world.network.heal(),
            ScenarioStep::Poison(team, times) => {
                self.steps.spawn(run_poison(world, *team, *times));
            }
            ScenarioStep::Apply(bound) => {
                let bound = *bound;
                self.steps.spawn(async move { log_apply(world.apply(bound, None).await) });
            }
            ScenarioStep::ApplyBoth(one, other) => self.apply_both(*one, *other),
            ScenarioStep::Expect(expectation) => {
                let value = self.measure(expectation.measure);
                self.judge(expectation, value);
            }
            rule => change_rules(&world, rule),
        }
    }

    fn apply_both(&self, one: u32, other: u32) {
        let base = self.world.revisions().into_iter().max();
        for bound in [one, other] {
            let world = Arc::clone(&self.world);
            self.steps.spawn(async move { log_apply(world.apply(bound, base).await) });
        }
    }

    fn judge_end(&self, script: &ScenarioScript, values: &BTreeMap<ScenarioMeasure, u64>) {
        for measure in ScenarioMeasure::MUST_BE_ZERO {
            let value = values.get(&measure).copied().unwrap_or(0);
            if value != 0 {
                self.fail(FailedExpectation { measure, value, expectation: None });
            }
        }
        for expectation in &script.expectations {
            let value = values.get(&expectation.measure).copied().unwrap_or(0);
            self.judge(expectation, value);
        }
    }

    fn judge(&self, expectation: &ScriptExpectation, value: u64) {
        if !expectation.compare.holds(value, expectation.limit) {
            let expectation = expectation.clone();
            let measure = expectation.measure;
            self.fail(FailedExpectation { measure, value, expectation: Some(expectation) });
        }
    }

    fn fail(&self, failed: FailedExpectation) {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner).push(failed);
    }

    fn measure_all(&self) -> BTreeMap<ScenarioMeasure, u64> {
        ScenarioMeasure::ALL.iter().map(|(measure, _)| (*measure, self.measure(*measure))).collect()
    }

    fn measure(&self, measure: ScenarioMeasure) -> u64 {
        let world = &self.world;
        match measure {
            ScenarioMeasure::LowestRevision => world.revisions().into_iter().min().unwrap_or(0),
            ScenarioMeasure::HighestRevision => world.revisions().into_iter().max().unwrap_or(0),
            ScenarioMeasure::LiveRouters => world.least_live(),
            ScenarioMeasure::ControlBytes => world.most_control_bytes(),
            ScenarioMeasure::PlatformCalls => world.platform.calls(),
            counted => world.tally.read(|counts| read_count(counts, counted)),
        }
    }
}

fn read_count(counts: &TallyCounts, measure: ScenarioMeasure) -> u64 {
    match measure {
        ScenarioMeasure::Answered => counts.count_ends(|end| *end == CallEnd::Answered),
        ScenarioMeasure::Refused => counts.count_ends(|end| matches!(end, CallEnd::Refused(_))),
        ScenarioMeasure::Cut => counts.count_ends(|end| matches!(end, CallEnd::Cut(_))),
        ScenarioMeasure::Lost => counts.count_ends(|end| *end == CallEnd::Lost),
        ScenarioMeasure::Unanswered => counts.open_calls,
        ScenarioMeasure::Strangers => counts.count_ends(|end| *end == CallEnd::Stranger),
        ScenarioMeasure::Partial => counts.count_ends(|end| *end == CallEnd::Partial),
        ScenarioMeasure::FalseNotRun => counts.false_not_run(),
        ScenarioMeasure::DoubledRuns => counts.doubled_runs(),
        ScenarioMeasure::RecordedRuns => counts.effects.len() as u64,
        ScenarioMeasure::UnsettledRecords => counts.unsettled_records,
        ScenarioMeasure::LateWork => counts.late_work,
        ScenarioMeasure::OverBound => counts.over_bound,
        ScenarioMeasure::MaxSkewPercent => counts.max_skew_percent,
        ScenarioMeasure::ReusePercent => counts.reuse_percent(),
        ScenarioMeasure::PoisonCrashes => counts.poison_crashes,
        ScenarioMeasure::ConfigReverts => counts.config_reverts,
        ScenarioMeasure::Applied => counts.applied,
        ScenarioMeasure::Conflicts => counts.conflicts,
        ScenarioMeasure::StaleOrders => counts.stale_orders,
        ScenarioMeasure::CutShutdowns => counts.cut_shutdowns,
        ScenarioMeasure::QuickP95Millis => counts.p95_millis(ScenarioClass::Quick),
        ScenarioMeasure::LongP95Millis => counts.p95_millis(ScenarioClass::Long),
        ScenarioMeasure::LowestRevision
        | ScenarioMeasure::HighestRevision
        | ScenarioMeasure::LiveRouters
        | ScenarioMeasure::ControlBytes
        | ScenarioMeasure::PlatformCalls => 0,
    }
}

async fn crash_node(world: &FleetWorld, node: NodeName) {
    match node.kind {
        NodeKind::Router => world.crash_router(node.number).await,
        NodeKind::Engine | NodeKind::Service => world.servers.crash(address_of(node), None),
    }
}

async fn start_node(world: &FleetWorld, node: NodeName) {
    match node.kind {
        NodeKind::Router => world.restart_router(node.number).await,
        NodeKind::Engine | NodeKind::Service => world.servers.start(address_of(node)),
    }
}

/// Crashes a server and starts it again half an interval later, over and over.
async fn flap_node(world: Arc<FleetWorld>, node: NodeName, interval: Duration, length: Duration) {
    let start = Instant::now();
    while start.elapsed() < length {
        world.servers.crash(address_of(node), Some(interval / 2));
        sleep(interval).await;
    }
}

fn log_apply<T, E: std::fmt::Display>(result: Result<T, E>) {
    if let Err(error) = result {
        log::info!("runner: An apply did not take effect. error={error}");
    }
}

fn change_rules(world: &FleetWorld, step: &ScenarioStep) {
    match *step {
        ScenarioStep::NetworkLoss(percent) => {
            world.network.change_rules(|rules| rules.loss_percent = percent);
        }
        ScenarioStep::NetworkRepeat(percent) => {
            world.network.change_rules(|rules| rules.repeat_percent = percent);
        }
        ScenarioStep::NetworkDelay(least, most) => world.network.change_rules(|rules| {
            rules.min_delay = least;
            rules.max_delay = most;
        }),
        ScenarioStep::PlatformUp(up) => world.platform.change_rules(|rules| rules.up = up),
        ScenarioStep::PlatformSlow(latency) => {
            world.platform.change_rules(|rules| rules.latency = latency);
        }
        ScenarioStep::PlatformLoses(percent) => {
            world.platform.change_rules(|rules| rules.lost_percent = percent);
        }
        ScenarioStep::PlatformLimit(limit) => {
            world.platform.change_rules(|rules| rules.calls_per_second = limit);
        }
        ScenarioStep::EventLag(lag) => world.servers.change_rules(|rules| rules.event_lag = lag),
        ScenarioStep::EventGaps(percent) => {
            world.servers.change_rules(|rules| rules.event_gap_percent = percent);
        }
        ScenarioStep::ProbeLag(lag) => world.servers.change_rules(|rules| rules.probe_lag = lag),
        _ => {}
    }
}
