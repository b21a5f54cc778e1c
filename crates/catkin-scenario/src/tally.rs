//! Counters that the fakes and the callers update, independent of the routers' own metrics.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{CallRefusal, RunVerdict, copy_type};

copy_type! {
    /// Request class of a scenario.
    pub enum ScenarioClass {
        /// Interactive requests, with a short deadline.
        Quick,
        /// Requests that may be slow but must be answered.
        Long,
    }
}

/// Outcome of a call, as its caller observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer arrived.
    Answered,
    /// The answer belongs to another request.
    Stranger,
    /// The answer was marked as complete but lacked events.
    Partial,
    /// The call was refused before its answer began.
    Refused(CallRefusal),
    /// The answer was cut off and ended with a refusal.
    Cut(CallRefusal),
    /// The router process was killed.
    Lost,
}

/// A call that has ended.
#[derive(Debug, Clone)]
struct CompletedCall {
    nonce: u64,
    outcome: CallOutcome,
}

/// Counters of one scenario, shared by the fakes and the callers.
#[derive(Debug, Default)]
pub struct ScenarioTally {
    counts: Mutex<TallyCounts>,
}

/// Values of the counters of a [`ScenarioTally`].
#[derive(Debug, Default)]
pub(crate) struct TallyCounts {
    completed: Vec<CompletedCall>,
    attempts: Vec<CallOutcome>,
    false_first_attempts: u64,
    waits: BTreeMap<ScenarioClass, Vec<Duration>>,
    /// Number of times that servers began to run each request, by nonce.
    runs: BTreeMap<u64, u32>,
    /// Number of times that each idempotency key took effect on the plain service.
    pub(crate) effects: BTreeMap<String, u32>,
    pub(crate) open_calls: u64,
    pub(crate) unsettled_records: u64,
    pub(crate) settled_records: u64,
    pub(crate) returning: u64,
    pub(crate) reused: u64,
    pub(crate) late_work: u64,
    pub(crate) over_bound: u64,
    pub(crate) max_skew_percent: u64,
    pub(crate) poison_crashes: u64,
    pub(crate) config_reverts: u64,
    pub(crate) stale_orders: u64,
    pub(crate) cut_shutdowns: u64,
    pub(crate) applied: u64,
    pub(crate) conflicts: u64,
}

impl ScenarioTally {
    /// Records that a server began to run a request.
    pub fn record_run(&self, nonce: u64) {
        *self.lock().runs.entry(nonce).or_default() += 1;
    }

    /// Records that a call with this idempotency key took effect on the plain service.
    pub fn record_effect(&self, key: &str) {
        *self.lock().effects.entry(key.to_owned()).or_default() += 1;
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&self, nonce: u64, outcome: CallOutcome) {
        self.lock().completed.push(CompletedCall { nonce, outcome });
    }

    /// Records the outcome of one attempt of a call that is retried.
    pub fn record_attempt(&self, outcome: CallOutcome) {
        self.lock().attempts.push(outcome);
    }

    /// Counts a violation if a request whose first attempt was reported as not run did run.
    pub fn check_not_run(&self, nonce: u64) {
        let mut counts = self.lock();
        counts.false_first_attempts += u64::from(counts.runs.contains_key(&nonce));
    }

    /// Records the time from sending a call to the first part of its answer.
    pub fn record_wait(&self, class: ScenarioClass, wait: Duration) {
        self.lock().waits.entry(class).or_default().push(wait);
    }

    pub(crate) fn update(&self, update: impl FnOnce(&mut TallyCounts)) {
        update(&mut self.lock());
    }

    /// Computes a value from the counters.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&TallyCounts) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, TallyCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TallyCounts {
    /// Counts the calls and attempts whose outcome satisfies `accepts`.
    pub(crate) fn count_outcomes(&self, accepts: impl Fn(&CallOutcome) -> bool) -> u64 {
        let outcomes = self.completed.iter().map(|call| &call.outcome).chain(&self.attempts);
        outcomes.filter(|outcome| accepts(outcome)).count() as u64
    }

    /// Number of calls that were reported as not run although a server ran them.
    pub(crate) fn false_not_run(&self) -> u64 {
        let reported_not_run = |outcome: &CallOutcome| match outcome {
            CallOutcome::Refused(refusal) | CallOutcome::Cut(refusal) => {
                refusal.ran == RunVerdict::NotRun
            }
            _ => false,
        };
        let wrong = |call: &&CompletedCall| {
            reported_not_run(&call.outcome) && self.runs.contains_key(&call.nonce)
        };
        self.completed.iter().filter(wrong).count() as u64 + self.false_first_attempts
    }

    /// Number of idempotency keys that took effect more than once.
    pub(crate) fn doubled_runs(&self) -> u64 {
        self.effects.values().filter(|&&effects| effects > 1).count() as u64
    }

    /// 95th percentile of the time to the first part of answers of a class, in milliseconds; 0
    /// without an answer.
    pub(crate) fn p95_millis(&self, class: ScenarioClass) -> u64 {
        let mut waits = self.waits.get(&class).cloned().unwrap_or_default();
        waits.sort_unstable();
        let rank = (waits.len() * 95).div_ceil(100).saturating_sub(1);
        waits.get(rank).map_or(0, |wait| wait.as_millis() as u64)
    }

    /// Share of returning chats that found their prefix cached, in percent; 100 if none returned.
    pub(crate) fn reuse_percent(&self) -> u64 {
        (self.reused * 100).checked_div(self.returning).unwrap_or(100)
    }
}
