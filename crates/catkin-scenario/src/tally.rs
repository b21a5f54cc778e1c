//! What the fakes and callers count, independently of the routers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::{CallRefusal, RunVerdict, copy_type};

copy_type! {
    /// Class of a scenario's requests.
    pub enum ScenarioClass {
        /// Must come back promptly.
        Quick,
        /// May be slow but must arrive.
        Long,
    }
}

/// How one call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer arrived.
    Answered,
    /// An answer of another request arrived.
    Stranger,
    /// An answer that was said to be whole lacked parts.
    Partial,
    /// The call was refused before its answer began.
    Refused(CallRefusal),
    /// The answer was cut off and a refusal took the place of the rest.
    Cut(CallRefusal),
    /// The router's process ended.
    Lost,
}

/// One ended call.
#[derive(Debug, Clone)]
struct EndedCall {
    nonce: u64,
    end: CallEnd,
}

/// Counts of one scenario.
#[derive(Debug, Default)]
pub struct ScenarioTally {
    counts: Mutex<TallyCounts>,
}

/// Counts of one scenario.
#[derive(Debug, Default)]
pub(crate) struct TallyCounts {
    ended: Vec<EndedCall>,
    attempts: Vec<CallEnd>,
    false_first_attempts: u64,
    waits: BTreeMap<ScenarioClass, Vec<Duration>>,
    /// Runs of each request on servers, by its nonce.
    runs: BTreeMap<u64, u32>,
    /// Times that each key took effect on plain services.
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
    /// Notes that a server began to run a request.
    pub fn note_run(&self, nonce: u64) {
        *self.lock().runs.entry(nonce).or_default() += 1;
    }

    /// Notes that a plain service took a key into effect.
    pub fn note_effect(&self, key: &str) {
        *self.lock().effects.entry(key.to_owned()).or_default() += 1;
    }

    /// Notes how a call ended.
    pub fn note_end(&self, nonce: u64, end: CallEnd) {
        self.lock().ended.push(EndedCall { nonce, end });
    }

    /// Notes how one attempt of a call that is sent again ended.
    pub fn note_attempt(&self, end: CallEnd) {
        self.lock().attempts.push(end);
    }

    /// Checks that a request that was said not to have run did not run.
    pub fn check_not_run(&self, nonce: u64) {
        let mut counts = self.lock();
        counts.false_first_attempts += u64::from(counts.runs.contains_key(&nonce));
    }

    /// Notes the time from a call to the first part of its answer.
    pub fn note_wait(&self, class: ScenarioClass, wait: Duration) {
        self.lock().waits.entry(class).or_default().push(wait);
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut TallyCounts)) {
        change(&mut self.lock());
    }

    /// Reads a value of the counts.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&TallyCounts) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, TallyCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TallyCounts {
    /// Calls whose end `accepts`.
    pub(crate) fn count_ends(&self, accepts: impl Fn(&CallEnd) -> bool) -> u64 {
        let ends = self.ended.iter().map(|call| &call.end).chain(&self.attempts);
        ends.filter(|end| accepts(end)).count() as u64
    }

    /// Calls that were said not to have run and that ran.
    pub(crate) fn false_not_run(&self) -> u64 {
        let told_not_run = |end: &CallEnd| match end {
            CallEnd::Refused(refusal) | CallEnd::Cut(refusal) => refusal.ran == RunVerdict::NotRun,
            _ => false,
        };
        let wrong =
            |call: &&EndedCall| told_not_run(&call.end) && self.runs.contains_key(&call.nonce);
        self.ended.iter().filter(wrong).count() as u64 + self.false_first_attempts
    }

    /// Keys that took effect more than once.
    pub(crate) fn doubled_runs(&self) -> u64 {
        self.effects.values().filter(|&&effects| effects > 1).count() as u64
    }

    /// Time within which 95 in 100 answers of a class began, in milliseconds.
    pub(crate) fn p95_millis(&self, class: ScenarioClass) -> u64 {
        let mut waits = self.waits.get(&class).cloned().unwrap_or_default();
        waits.sort_unstable();
        let rank = (waits.len() * 95).div_ceil(100).saturating_sub(1);
        waits.get(rank).map_or(0, |wait| wait.as_millis() as u64)
    }

    /// Returning chats that found their prefix, in percent; 100 if none returned.
    pub(crate) fn reuse_percent(&self) -> u64 {
        (self.reused * 100).checked_div(self.returning).unwrap_or(100)
    }
}
