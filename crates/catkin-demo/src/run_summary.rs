//! Summary of a run, from the answers that callers got and the counts of the stand-ins.

use std::collections::BTreeMap;

use catkin_base::RunVerdict;
use catkin_standin::EngineCounts;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{CallAttempt, CallOutcome, derive_key};
use crate::fleet::DemoFleet;
use crate::trace::{PlannedCall, PlannedWork, build_chat_contents};

/// Time after the start of leaving from which a request that a server gets counts as late, in
/// milliseconds.
const LATE_ARRIVAL_MILLIS: u64 = 3_000;
/// Maximum duration that a histogram records, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Result of one call.
pub(crate) struct CallResult {
    pub(crate) call: PlannedCall,
    pub(crate) attempts: Vec<CallAttempt>,
    /// Whether the last attempt was open on a router when that router began to shut down.
    pub(crate) was_on_draining_router: bool,
}

impl CallResult {
    fn last_outcome(&self) -> Option<&CallOutcome> {
        self.attempts.last().map(|attempt| &attempt.outcome)
    }

    /// Returns whether every attempt was reported as not run.
    fn is_reported_not_run(&self) -> bool {
        !self.attempts.is_empty()
            && self.attempts.iter().all(|attempt| match &attempt.outcome {
                CallOutcome::Refused { ran, .. } => *ran == RunVerdict::NotRun,
                CallOutcome::Unreachable => true,
                _ => false,
            })
    }
}

/// Number of open requests of each engine at one moment.
pub(crate) struct LoadSample {
    pub(crate) open: Vec<u32>,
}

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Serialize)]
pub(crate) struct TimeSummary {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// Summary that is printed at the end of a run, as rows and as JSON with these field names.
#[derive(Debug, Serialize)]
pub(crate) struct RunSummary {
    pub(crate) requests: u64,
    /// Number of attempts of all calls.
    pub(crate) sendings: u64,
    /// Number of calls with a complete and correct answer.
    pub(crate) whole_answers: u64,
    pub(crate) refusals: u64,
    /// Number of calls whose last answer broke off.
    pub(crate) cut_answers: u64,
    pub(crate) refusals_by_reason: BTreeMap<String, u64>,
    /// Number of calls that ran although every attempt was reported as not run.
    pub(crate) false_refusals: u64,
    /// Number of records that were created more than once.
    pub(crate) doubled_runs: u64,
    /// Number of records that were confirmed to their caller but that no server has.
    pub(crate) lost_runs: u64,
    /// Number of calls that got the answer to another call.
    pub(crate) stranger_answers: u64,
    /// Number of calls that a router's graceful shutdown interrupted.
    pub(crate) cut_off_by_shutdown: u64,
    /// Number of engines that got new requests too long after they started to leave.
    pub(crate) new_work_after_leaving: u64,
    /// Fraction of the reusable prompt tokens that were found in a cache.
    pub(crate) cache_reuse: f64,
    /// Maximum over the samples of the busiest engine's open requests divided by the mean.
    pub(crate) skew: f64,
    pub(crate) skew_p95: f64,
    pub(crate) control_bytes_per_router_second: f64,
    pub(crate) first_token_ms: TimeSummary,
    pub(crate) added_latency_ms: TimeSummary,
    pub(crate) poison_crashes: u64,
    /// Whether every router drained completely before it stopped.
    pub(crate) drained_whole: bool,
}

impl RunSummary {
    /// Returns whether the run kept every guarantee that allows no violation.
    pub(crate) fn has_passed(&self) -> bool {
        let violations = self.false_refusals
            + self.doubled_runs
            + self.lost_runs
            + self.stranger_answers
            + self.cut_off_by_shutdown
            + self.new_work_after_leaving;
        violations == 0 && self.drained_whole
    }
}

/// Measurements of the driver other than the results of the calls.
pub(crate) struct RunMeasurements {
    pub(crate) samples: Vec<LoadSample>,
    pub(crate) control_bytes_per_router_second: f64,
    pub(crate) added_latency: Vec<u64>,
    pub(crate) drained_whole: bool,
}

/// Summarizes a finished run.
pub(crate) fn summarize_run(
    fleet: &DemoFleet,
    results: &[CallResult],
    measurements: &RunMeasurements,
) -> RunSummary {
    let skews = sort_skews(&measurements.samples);
    RunSummary {
        requests: results.len() as u64,
        sendings: results.iter().map(|result| result.attempts.len() as u64).sum(),
        whole_answers: count_outcomes(results, |last| matches!(last, CallOutcome::Complete)),
        refusals: count_outcomes(results, |last| {
            matches!(last, CallOutcome::Refused { .. } | CallOutcome::Unreachable)
        }),
        cut_answers: count_outcomes(results, |last| matches!(last, CallOutcome::Truncated { .. })),
        refusals_by_reason: count_reasons(results),
        false_refusals: count_false_refusals(fleet, results),
        doubled_runs: count_doubled_runs(fleet),
        lost_runs: count_lost_runs(fleet, results),
        stranger_answers: count_outcomes(results, |last| matches!(last, CallOutcome::Mismatched)),
        cut_off_by_shutdown: results.iter().filter(|result| is_cut_off(result)).count() as u64,
        new_work_after_leaving: count_late_arrivals(fleet),
        cache_reuse: compute_cache_reuse(fleet, results),
        skew: skews.last().copied().unwrap_or(0.0),
        skew_p95: find_percentile(&skews, 95),
        control_bytes_per_router_second: measurements.control_bytes_per_router_second,
        first_token_ms: summarize_micros(list_first_byte_micros(results)),
        added_latency_ms: summarize_micros(measurements.added_latency.iter().copied()),
        poison_crashes: fleet.engines.iter().map(|engine| engine.counts().poison_crashes).sum(),
        drained_whole: measurements.drained_whole,
    }
}

fn count_outcomes(results: &[CallResult], wanted: impl Fn(&CallOutcome) -> bool) -> u64 {
    results.iter().filter(|result| result.last_outcome().is_some_and(&wanted)).count() as u64
}

fn count_reasons(results: &[CallResult]) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for result in results {
        if let Some(CallOutcome::Refused { reason, .. }) = result.last_outcome() {
            *reasons.entry(reason.clone()).or_default() += 1;
        }
    }
    reasons
}

/// Counts the calls that ran although every attempt was reported as not run.
fn count_false_refusals(fleet: &DemoFleet, results: &[CallResult]) -> u64 {
    let reported = results.iter().filter(|result| result.is_reported_not_run());
    reported.filter(|result| count_runs(fleet, &result.call) > 0).count() as u64
}

/// Counts the runs of a chat's turn on all engines.
fn count_chat_runs(counts: &[EngineCounts], call: &PlannedCall) -> u64 {
    let PlannedWork::Turn { chat, turn, poison, .. } = &call.work else { return 0 };
    let contents = build_chat_contents(chat, *turn, *poison);
    let Some(content) = contents.last() else { return 0 };
    counts.iter().map(|counts| counts.runs_by_content.get(content).copied().unwrap_or(0)).sum()
}

fn count_runs(fleet: &DemoFleet, call: &PlannedCall) -> u64 {
    match &call.work {
        PlannedWork::Turn { .. } => {
            let counts: Vec<_> = fleet.engines.iter().map(|engine| engine.counts()).collect();
            count_chat_runs(&counts, call)
        }
        PlannedWork::Record { key } => {
            count_runs_by_key(fleet).get(&derive_key(call, key)).copied().unwrap_or(0)
        }
    }
}

/// Counts the runs of each key over all servers of the plain service.
fn count_runs_by_key(fleet: &DemoFleet) -> BTreeMap<String, u64> {
    let mut records = BTreeMap::new();
    for service in &fleet.services {
        for (key, runs) in service.counts().runs_by_key {
            *records.entry(key).or_default() += runs;
        }
    }
    records
}

fn count_doubled_runs(fleet: &DemoFleet) -> u64 {
    count_runs_by_key(fleet).values().filter(|runs| **runs > 1).count() as u64
}

/// Counts the records that were confirmed to their caller but that no server has.
fn count_lost_runs(fleet: &DemoFleet, results: &[CallResult]) -> u64 {
    let records = count_runs_by_key(fleet);
    let confirmed =
        results.iter().filter(|result| result.last_outcome() == Some(&CallOutcome::Complete));
    let lost = confirmed.filter(|result| match &result.call.work {
        PlannedWork::Record { key } => !records.contains_key(&derive_key(&result.call, key)),
        PlannedWork::Turn { .. } => false,
    });
    lost.count() as u64
}

fn is_cut_off(result: &CallResult) -> bool {
    result.was_on_draining_router
        && matches!(
            result.last_outcome(),
            Some(CallOutcome::Truncated { .. } | CallOutcome::Unreachable)
        )
}

fn count_late_arrivals(fleet: &DemoFleet) -> u64 {
    let engines = fleet.engines.iter().map(|engine| engine.counts());
    let late =
        engines.filter(|counts| counts.latest_work_after_leaving_millis > LATE_ARRIVAL_MILLIS);
    late.count() as u64
}

/// Computes the fraction of the reusable prompt tokens that were found in a cache, over all runs.
fn compute_cache_reuse(fleet: &DemoFleet, results: &[CallResult]) -> f64 {
    let counts: Vec<_> = fleet.engines.iter().map(|engine| engine.counts()).collect();
    let cached: u64 = counts.iter().map(|counts| counts.cached_tokens).sum();
    let calls = results.iter().map(|result| &result.call);
    let reusable: u64 =
        calls.map(|call| count_reusable_tokens(call) * count_chat_runs(&counts, call)).sum();
    if reusable == 0 { 1.0 } else { cached as f64 / reusable as f64 }
}

/// Counts the prompt tokens of a chat's turn that a cache can hold; zero for a first turn.
fn count_reusable_tokens(call: &PlannedCall) -> u64 {
    let PlannedWork::Turn { chat, turn, .. } = &call.work else { return 0 };
    if *turn == 0 {
        return 0;
    }
    let bytes: usize = build_chat_contents(chat, *turn, false).iter().map(String::len).sum();
    (bytes / 4) as u64
}

fn sort_skews(samples: &[LoadSample]) -> Vec<f64> {
    let mut skews: Vec<f64> = samples.iter().filter_map(compute_skew).collect();
    skews.sort_by(f64::total_cmp);
    skews
}

/// Computes the open requests of the busiest engine over the mean; `None` while the mean is below
/// one request per engine.
fn compute_skew(sample: &LoadSample) -> Option<f64> {
    let total: u32 = sample.open.iter().sum();
    let mean = f64::from(total) / sample.open.len().max(1) as f64;
    let max = sample.open.iter().max().copied().unwrap_or(0);
    (mean >= 1.0).then_some(f64::from(max) / mean)
}

fn find_percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn list_first_byte_micros(results: &[CallResult]) -> impl Iterator<Item = u64> {
    let attempts = results.iter().flat_map(|result| result.attempts.iter());
    let complete = attempts.filter(|attempt| attempt.outcome == CallOutcome::Complete);
    complete.filter_map(|attempt| attempt.first_byte).map(|time| time.as_micros() as u64)
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
