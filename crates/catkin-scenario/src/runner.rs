//! Runs a scenario on a paused clock and checks its expectations.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::{Instant, interval, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::callers::{run_load, run_poison};
use crate::fleet::{ScenarioFleet, node_address, router_address};
use crate::report::{FailedExpectation, ScenarioReport};
use crate::script::{
    NodeKind, NodeName, ScenarioMeasure, ScenarioScript, ScenarioStep, ScriptExpectation,
};
use crate::script_parser::compute_drain_limit;
use crate::tally::{CallOutcome, ScenarioClass, TallyCounts};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the run in which the membership of the routers converges.
const MEMBERSHIP_CONVERGENCE_TIME: Duration = Duration::from_secs(10);
const REVISION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const FIRST_REVISION_ATTEMPTS: u32 = 5;

/// Runs a scenario on a new single-threaded runtime whose clock advances only when all tasks wait.
///
/// The same script and seed give the same report.
pub fn run_script(script: &ScenarioScript) -> ScenarioReport {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without input and output starts");
    runtime.block_on(run_scenario(script))
}

async fn run_scenario(script: &ScenarioScript) -> ScenarioReport {
    let fleet = Arc::new(ScenarioFleet::new(&script.setup));
    start_fleet(&fleet).await;
    let runner = ScenarioRunner {
        fleet: Arc::clone(&fleet),
        calls: TaskTracker::new(),
        steps: TaskTracker::new(),
        failed: Arc::default(),
    };
    let stop = CancellationToken::new();
    let watcher = tokio::spawn(watch_revisions(Arc::clone(&fleet), stop.clone()));
    runner.run(script).await;
    let values = runner.measure_all();
    runner.check_final_expectations(script, &values);
    let failed = std::mem::take(&mut *runner.failed.lock().unwrap_or_else(PoisonError::into_inner));
    stop.cancel();
    // The task returns no value and ends at `stop`.
    let _ = watcher.await;
    fleet.close().await;
    ScenarioReport { name: script.name.clone(), seed: script.setup.seed, values, failed }
}

async fn start_fleet(fleet: &Arc<ScenarioFleet>) {
    for _ in 0..FIRST_REVISION_ATTEMPTS {
        if fleet.apply(fleet.setup.bound_percent, None).await.is_ok() {
            break;
        }
    }
    for number in 1..=fleet.setup.routers {
        fleet.start_router(number);
    }
    let started = Instant::now();
    while !fleet.all_ready() && started.elapsed() < READY_TIMEOUT {
        sleep(READY_CHECK_INTERVAL).await;
    }
    sleep(MEMBERSHIP_CONVERGENCE_TIME).await;
}

async fn watch_revisions(fleet: Arc<ScenarioFleet>, stop: CancellationToken) {
    let mut ticks = interval(REVISION_CHECK_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        fleet.check_revisions();
    }
}

/// A running scenario.
struct ScenarioRunner {
    fleet: Arc<ScenarioFleet>,
    calls: TaskTracker,
    steps: TaskTracker,
    failed: Arc<Mutex<Vec<FailedExpectation>>>,
}

impl ScenarioRunner {
    async fn run(&self, script: &ScenarioScript) {
        let start = Instant::now();
        for load in &script.loads {
            let load = run_load(Arc::clone(&self.fleet), load.clone(), self.calls.clone());
            self.steps.spawn(load);
        }
        for step in &script.steps {
            sleep_until(start + step.at).await;
            self.execute_step(&step.step).await;
        }
        sleep_until(start + script.setup.run).await;
        self.steps.close();
        let drain_limit = compute_drain_limit(&script.setup);
        let drained = async {
            self.steps.wait().await;
            self.calls.close();
            self.calls.wait().await;
        };
        if timeout(drain_limit, drained).await.is_err() {
            log::warn!("runner: calls are still open after the drain limit.");
        }
    }

    async fn execute_step(&self, step: &ScenarioStep) {
        let fleet = Arc::clone(&self.fleet);
        match step {
            ScenarioStep::Crash(node) => crash_node(&fleet, *node).await,
            ScenarioStep::Start(node) => {
                let node = *node;
                self.steps.spawn(async move { start_node(&fleet, node).await });
            }
            ScenarioStep::Leave(node) => fleet.servers.leave(node_address(*node)),
            ScenarioStep::Stop(number) => {
                let number = *number;
                self.steps.spawn(async move { fleet.stop_router(number).await });
            }
            ScenarioStep::Pause(number, duration) => fleet.pause_router(*number, *duration),
            ScenarioStep::Flap(node, interval, duration) => {
                self.steps.spawn(flap_node(fleet, *node, *interval, *duration));
            }
            ScenarioStep::Split(isolated) => {
                fleet.network.start_partition(
                    isolated.iter().map(|&number| router_address(number)).collect(),
                );
            }
            ScenarioStep::Heal => fleet.network.end_partition(),
            ScenarioStep::Poison(team, times) => {
                self.steps.spawn(run_poison(fleet, *team, *times));
            }
            ScenarioStep::Apply(bound) => {
                let bound = *bound;
                self.steps.spawn(async move { log_apply_error(fleet.apply(bound, None).await) });
            }
            ScenarioStep::ApplyBoth(first_bound, second_bound) => {
                self.apply_both(*first_bound, *second_bound)
            }
            ScenarioStep::Expect(expectation) => {
                let value = self.read_measure(expectation.measure);
                self.check_expectation(expectation, value);
            }
            rule => change_rules(&fleet, rule),
        }
    }

    fn apply_both(&self, first_bound: u32, second_bound: u32) {
        let base = self.fleet.revisions().into_iter().max();
        for bound in [first_bound, second_bound] {
            let fleet = Arc::clone(&self.fleet);
            self.steps.spawn(async move { log_apply_error(fleet.apply(bound, base).await) });
        }
    }

    fn check_final_expectations(
        &self,
        script: &ScenarioScript,
        values: &BTreeMap<ScenarioMeasure, u64>,
    ) {
        for measure in ScenarioMeasure::MUST_BE_ZERO {
            let value = values.get(&measure).copied().unwrap_or(0);
            if value != 0 {
                self.record_failure(FailedExpectation { measure, value, expectation: None });
            }
        }
        for expectation in &script.expectations {
            let value = values.get(&expectation.measure).copied().unwrap_or(0);
            self.check_expectation(expectation, value);
        }
    }

    fn check_expectation(&self, expectation: &ScriptExpectation, value: u64) {
        if !expectation.compare.holds(value, expectation.limit) {
            let expectation = expectation.clone();
            let measure = expectation.measure;
            self.record_failure(FailedExpectation {
                measure,
                value,
                expectation: Some(expectation),
            });
        }
    }

    fn record_failure(&self, failed: FailedExpectation) {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner).push(failed);
    }

    fn measure_all(&self) -> BTreeMap<ScenarioMeasure, u64> {
        ScenarioMeasure::ALL
            .iter()
            .map(|(measure, _)| (*measure, self.read_measure(*measure)))
            .collect()
    }

    fn read_measure(&self, measure: ScenarioMeasure) -> u64 {
        let fleet = &self.fleet;
        match measure {
            ScenarioMeasure::LowestRevision => fleet.revisions().into_iter().min().unwrap_or(0),
            ScenarioMeasure::HighestRevision => fleet.revisions().into_iter().max().unwrap_or(0),
            ScenarioMeasure::LiveRouters => fleet.min_live_routers(),
            ScenarioMeasure::ControlBytes => fleet.max_control_bytes(),
            ScenarioMeasure::PlatformCalls => fleet.platform.calls(),
            counted => fleet.tally.read(|counts| read_count(counts, counted)),
        }
    }
}

fn read_count(counts: &TallyCounts, measure: ScenarioMeasure) -> u64 {
    match measure {
        ScenarioMeasure::Answered => {
            counts.count_outcomes(|outcome| *outcome == CallOutcome::Answered)
        }
        ScenarioMeasure::Refused => {
            counts.count_outcomes(|outcome| matches!(outcome, CallOutcome::Refused(_)))
        }
        ScenarioMeasure::Cut => {
            counts.count_outcomes(|outcome| matches!(outcome, CallOutcome::Cut(_)))
        }
        ScenarioMeasure::Lost => counts.count_outcomes(|outcome| *outcome == CallOutcome::Lost),
        ScenarioMeasure::Unanswered => counts.open_calls,
        ScenarioMeasure::Strangers => {
            counts.count_outcomes(|outcome| *outcome == CallOutcome::Stranger)
        }
        ScenarioMeasure::Partial => {
            counts.count_outcomes(|outcome| *outcome == CallOutcome::Partial)
        }
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

async fn crash_node(fleet: &ScenarioFleet, node: NodeName) {
    match node.kind {
        NodeKind::Router => fleet.crash_router(node.number).await,
        NodeKind::Engine | NodeKind::Service => fleet.servers.crash(node_address(node), None),
    }
}

async fn start_node(fleet: &ScenarioFleet, node: NodeName) {
    match node.kind {
        NodeKind::Router => fleet.restart_router(node.number).await,
        NodeKind::Engine | NodeKind::Service => fleet.servers.start(node_address(node)),
    }
}

/// Crashes a server once per interval; it restarts half an interval after each crash.
async fn flap_node(
    fleet: Arc<ScenarioFleet>,
    node: NodeName,
    interval: Duration,
    length: Duration,
) {
    let start = Instant::now();
    while start.elapsed() < length {
        fleet.servers.crash(node_address(node), Some(interval / 2));
        sleep(interval).await;
    }
}

fn log_apply_error<T, E: std::fmt::Display>(result: Result<T, E>) {
    if let Err(error) = result {
        log::info!("runner: declarations were not applied. error={error}");
    }
}

fn change_rules(fleet: &ScenarioFleet, step: &ScenarioStep) {
    match *step {
        ScenarioStep::NetworkLoss(percent) => {
            fleet.network.change_rules(|rules| rules.loss_percent = percent);
        }
        ScenarioStep::NetworkRepeat(percent) => {
            fleet.network.change_rules(|rules| rules.repeat_percent = percent);
        }
        ScenarioStep::NetworkDelay(min_delay, max_delay) => fleet.network.change_rules(|rules| {
            rules.min_delay = min_delay;
            rules.max_delay = max_delay;
        }),
        ScenarioStep::PlatformUp(up) => fleet.platform.change_rules(|rules| rules.up = up),
        ScenarioStep::PlatformSlow(latency) => {
            fleet.platform.change_rules(|rules| rules.latency = latency);
        }
        ScenarioStep::PlatformAnswerLoss(percent) => {
            fleet.platform.change_rules(|rules| rules.lost_answer_percent = percent);
        }
        ScenarioStep::PlatformLimit(limit) => {
            fleet.platform.change_rules(|rules| rules.calls_per_second = limit);
        }
        ScenarioStep::EventLag(lag) => fleet.servers.change_rules(|rules| rules.event_lag = lag),
        ScenarioStep::EventGaps(percent) => {
            fleet.servers.change_rules(|rules| rules.event_gap_percent = percent);
        }
        ScenarioStep::ProbeLag(lag) => fleet.servers.change_rules(|rules| rules.probe_lag = lag),
        _ => {}
    }
}
