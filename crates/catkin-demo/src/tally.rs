//! The run's own count, from what callers saw and the stand-ins recorded.

use std::collections::BTreeMap;

use catkin_base::RunVerdict;
use catkin_standin::EngineCounts;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{CallEnd, CallRecord, served_key};
use crate::trace::{PlannedCall, PlannedWork, chat_contents};
use crate::world::DemoWorld;

/// Time that a leaving server may still get new work, in milliseconds.
const LEAVE_LIMIT_MILLIS: u64 = 3_000;
/// Largest time recorded, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// What one call came to in the end.
pub(crate) struct CallResult {
    pub(crate) call: PlannedCall,
    pub(crate) records: Vec<CallRecord>,
    /// Whether its last sending was open on a router when that began to shut down.
    pub(crate) on_draining_router: bool,
}

impl CallResult {
    fn last(&self) -> Option<&CallEnd> {
        self.records.last().map(|record| &record.end)
    }

    /// Whether every sending was answered "not run".
    fn said_not_run(&self) -> bool {
        !self.records.is_empty()
            && self.records.iter().all(|record| match &record.end {
                CallEnd::Refused { ran, .. } => *ran == RunVerdict::NotRun,
                CallEnd::Unreachable => true,
                _ => false,
            })
    }
}

/// One sample of the engines' open requests.
pub(crate) struct LoadSample {
    pub(crate) open: Vec<u32>,
}

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Serialize)]
pub(crate) struct TimeSummary {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// The last line of a run.
#[derive(Debug, Serialize)]
pub(crate) struct RunSummary {
    pub(crate) requests: u64,
    pub(crate) sendings: u64,
    pub(crate) whole_answers: u64,
    pub(crate) refusals: u64,
    pub(crate) cut_answers: u64,
    pub(crate) refusals_by_reason: BTreeMap<String, u64>,
    pub(crate) false_refusals: u64,
    pub(crate) doubled_runs: u64,
    pub(crate) lost_runs: u64,
    pub(crate) stranger_answers: u64,
    pub(crate) cut_off_by_shutdown: u64,
    pub(crate) new_work_after_leaving: u64,
    pub(crate) cache_reuse: f64,
    pub(crate) skew: f64,
    pub(crate) skew_p95: f64,
    pub(crate) control_bytes_per_router_second: f64,
    pub(crate) first_token_ms: TimeSummary,
    pub(crate) added_latency_ms: TimeSummary,
    pub(crate) poison_crashes: u64,
    pub(crate) drained_whole: bool,
}

impl RunSummary {
    /// Whether every promise that has no measure was kept.
    pub(crate) fn keeps_promises(&self) -> bool {
        let broken = self.false_refusals
            + self.doubled_runs
            + self.lost_runs
            + self.stranger_answers
            + self.cut_off_by_shutdown
            + self.new_work_after_leaving;
        broken == 0 && self.drained_whole
    }
}

/// What the driver measured beside the calls.
pub(crate) struct RunMeasure {
    pub(crate) samples: Vec<LoadSample>,
    pub(crate) control_bytes_per_router_second: f64,
    pub(crate) added_latency: Vec<u64>,
    pub(crate) drained_whole: bool,
}

/// Counts a finished run.
pub(crate) fn sum_up(
    world: &DemoWorld,
    results: &[CallResult],
    measure: &RunMeasure,
) -> RunSummary {
    let skews = sorted_skews(&measure.samples);
    RunSummary {
        requests: results.len() as u64,
        sendings: results.iter().map(|result| result.records.len() as u64).sum(),
        whole_answers: count_ends(results, |end| matches!(end, CallEnd::Whole)),
        refusals: count_ends(results, |end| {
            matches!(end, CallEnd::Refused { .. } | CallEnd::Unreachable)
        }),
        cut_answers: count_ends(results, |end| matches!(end, CallEnd::Cut { .. })),
        refusals_by_reason: count_reasons(results),
        false_refusals: count_false_refusals(world, results),
        doubled_runs: count_doubled_runs(world),
        lost_runs: count_lost_runs(world, results),
        stranger_answers: count_ends(results, |end| matches!(end, CallEnd::Stranger)),
        cut_off_by_shutdown: results.iter().filter(|result| is_cut_off(result)).count() as u64,
        new_work_after_leaving: count_late_work(world),
        cache_reuse: share_reused(world, results),
        skew: skews.last().copied().unwrap_or(0.0),
        skew_p95: percentile(&skews, 95),
        control_bytes_per_router_second: measure.control_bytes_per_router_second,
        first_token_ms: summarize_micros(first_byte_micros(results)),
        added_latency_ms: summarize_micros(measure.added_latency.iter().copied()),
        poison_crashes: world.engines.iter().map(|engine| engine.counts().poison_crashes).sum(),
        drained_whole: measure.drained_whole,
    }
}

fn count_ends(results: &[CallResult], wanted: impl Fn(&CallEnd) -> bool) -> u64 {
    results.iter().filter(|result| result.last().is_some_and(&wanted)).count() as u64
}

fn count_reasons(results: &[CallResult]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for result in results {
        if let Some(CallEnd::Refused { reason, .. }) = result.last() {
            *reasons.entry(reason.clone()).or_default() += 1;
        }
    }
    reasons
}

/// Calls of which every sending was said to be not run, and that ran all the same.
fn count_false_refusals(world: &DemoWorld, results: &[CallResult]) -> u64 {
    let said = results.iter().filter(|result| result.said_not_run());
    said.filter(|result| count_runs(world, &result.call) > 0).count() as u64
}

/// Runs of a chat's turn on the engines.
fn count_chat_runs(counts: &[EngineCounts], call: &PlannedCall) -> u64 {
    let PlannedWork::Turn { chat, turn, poison, .. } = &call.work else { return 0 };
    let contents = chat_contents(chat, *turn, *poison);
    let Some(content) = contents.last() else { return 0 };
    counts.iter().map(|counts| counts.runs_by_content.get(content).copied().unwrap_or(0)).sum()
}

fn count_runs(world: &DemoWorld, call: &PlannedCall) -> u64 {
    match &call.work {
        PlannedWork::Turn { .. } => {
            let counts: Vec<_> = world.engines.iter().map(|engine| engine.counts()).collect();
            count_chat_runs(&counts, call)
        }
        PlannedWork::Record { key } => {
            count_records(world).get(&served_key(call, key)).copied().unwrap_or(0)
        }
    }
}

/// Runs of each key over all servers of the service.
fn count_records(world: &DemoWorld) -> BTreeMap<String, u64> {
    let mut records = BTreeMap::new();
    for service in &world.services {
        for (key, runs) in service.counts().runs_by_key {
            *records.entry(key).or_default() += runs;
        }
    }
    records
}

fn count_doubled_runs(world: &DemoWorld) -> u64 {
    count_records(world).values().filter(|runs| **runs > 1).count() as u64
}

/// Records that were confirmed to their caller and that no server has.
fn count_lost_runs(world: &DemoWorld, results: &[CallResult]) -> u64 {
    let records = count_records(world);
    let confirmed = results.iter().filter(|result| result.last() == Some(&CallEnd::Whole));
    let lost = confirmed.filter(|result| match &result.call.work {
        PlannedWork::Record { key } => !records.contains_key(&served_key(&result.call, key)),
        PlannedWork::Turn { .. } => false,
    });
    lost.count() as u64
}

fn is_cut_off(result: &CallResult) -> bool {
    result.on_draining_router
        && matches!(result.last(), Some(CallEnd::Cut { .. } | CallEnd::Unreachable))
}

fn count_late_work(world: &DemoWorld) -> u64 {
    let engines = world.engines.iter().map(|engine| engine.counts());
    let late =
        engines.filter(|counts| counts.latest_work_after_leaving_millis > LEAVE_LIMIT_MILLIS);
    late.count() as u64
}

/// Share of the prompt tokens of returning turns that was found in a cache, over all runs.
fn share_reused(world: &DemoWorld, results: &[CallResult]) -> f64 {
    let counts: Vec<_> = world.engines.iter().map(|engine| engine.counts()).collect();
    let cached: u64 = counts.iter().map(|counts| counts.cached_tokens).sum();
    let calls = results.iter().map(|result| &result.call);
    let reusable: u64 =
        calls.map(|call| returning_tokens(call) * count_chat_runs(&counts, call)).sum();
    if reusable == 0 { 1.0 } else { cached as f64 / reusable as f64 }
}

/// Tokens of the prompt of a chat's later turn.
fn returning_tokens(call: &PlannedCall) -> u64 {
    let PlannedWork::Turn { chat, turn, .. } = &call.work else { return 0 };
    if *turn == 0 {
        return 0;
    }
    let bytes: usize = chat_contents(chat, *turn, false).iter().map(String::len).sum();
    (bytes / 4) as u64
}

fn sorted_skews(samples: &[LoadSample]) -> Vec<f64> {
    let mut skews: Vec<f64> = samples.iter().filter_map(sample_skew).collect();
    skews.sort_by(f64::total_cmp);
    skews
}

/// Busiest engine over the mean; `None` while there is less than one request for each engine.
fn sample_skew(sample: &LoadSample) -> Option<f64> {
    let sum: u32 = sample.open.iter().sum();
    let mean = f64::from(sum) / sample.open.len().max(1) as f64;
    let most = sample.open.iter().max().copied().unwrap_or(0);
    (mean >= 1.0).then_some(f64::from(most) / mean)
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let place = sorted.len() * percent / 100;
    sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn first_byte_micros(results: &[CallResult]) -> impl Iterator<Item = u64> {
    let records = results.iter().flat_map(|result| result.records.iter());
    let whole = records.filter(|record| record.end == CallEnd::Whole);
    whole.filter_map(|record| record.first_byte).map(|time| time.as_micros() as u64)
}

fn summarize_micros(micros: impl Iterator<Item = u64>) -> TimeSummary {
    let mut histogram =
        Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
    for value in micros {
        histogram.saturating_record(value);
    }
    let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    TimeSummary { p50: millis(0.5), p95: millis(0.95), p99: millis(0.99) }
}
