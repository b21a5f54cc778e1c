//! Looks for broken promises in what callers and servers saw.

use std::collections::BTreeMap;

use catkin_base::{copy_type, value_type};

use crate::ledger::{CallEnd, CallRecord, FaultSubject, RunRecord, SoakLedger};

copy_type! {
    /// Bounds of the promises, in milliseconds. Their source is the platform's sheet.
    pub struct SoakBounds {
        /// How long after a fault nobody is held to a bound in time.
        pub contact: u64,
        /// How long after a server's word that it leaves requests may still reach it.
        pub leaving: u64,
        /// How long after the store took declarations older ones may be in force.
        pub declaration: u64,
        /// How long after the effect of newer declarations older ones may show.
        pub slack: u64,
        /// How long after its time is over a request may be without an answer.
        pub answer: u64,
        /// How long after the last fault everything works again.
        pub recovery: u64,
    }
}

impl Default for SoakBounds {
    fn default() -> Self {
        Self {
            contact: 3_000,
            leaving: 2_000,
            declaration: 2_000,
            slack: 250,
            answer: 500,
            recovery: 12_000,
        }
    }
}

/// Part of the requests after recovery that must be answered with success, in percent. Servers fail
/// one in sixty by themselves and no fault is in force.
const RECOVERED_PERCENT: usize = 95;

value_type! {
    /// A promise that was broken.
    #[derive(thiserror::Error)]
    pub enum SoakBreach {
        /// A request that may run once ran more often.
        #[error("request {0} ran more than once")]
        Twice(String),
        /// The answer says that the request has not run, but it has.
        #[error("request {0} was refused as not run, and ran at {1}")]
        FalseRefusal(String, String),
        /// The answer is not this request's, not whole, or not of the server named.
        #[error("request {0} got bytes that are not its answer")]
        ForeignBytes(String),
        /// A server ran a request that no caller sent, or one of another service.
        #[error("{1} ran request {0}, which was not for it")]
        Unasked(String, String),
        /// A request was passed on and its answer withheld, though no fault explains it.
        #[error("request {0} to router {1} ended without an answer at {2}")]
        Lost(String, usize, u64),
        /// A request reached a server that had left.
        #[error("request {0} reached {1} at {2}, after it had left")]
        Left(String, String, u64),
        /// A router went back to older declarations.
        #[error("request {0} was handled by version {1} after {2} had been in force at router {3}")]
        WentBack(String, u64, u64, usize),
        /// Declarations came into force too late.
        #[error("request {0} was handled by version {1} long after {2} was declared")]
        Outdated(String, u64, u64),
        /// A request had no answer long after its time was over.
        #[error("request {0} to router {1} was not answered in time, sent at {2}")]
        Unanswered(String, usize, u64),
        /// A router's process ended by itself.
        #[error("router {0} ended by itself at {1}")]
        EndedItself(usize, u64),
        /// A router did not end within its grace.
        #[error("router {0} did not stop in time, at {1}")]
        Overran(usize, u64),
        /// After all faults were over, too few requests were served.
        #[error("{served} of {all} requests were served after all faults were over")]
        NotRecovered {
            /// Requests answered with success.
            served: usize,
            /// Requests sent.
            all: usize,
        },
    }
}

/// Looks for broken promises.
pub fn find_breaches(ledger: &SoakLedger, bounds: &SoakBounds) -> Vec<SoakBreach> {
    let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in &ledger.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let calls: BTreeMap<&str, &CallRecord> =
        ledger.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut breaches = Vec::new();
    for call in &ledger.calls {
        let runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        breaches.extend(check_runs(call, runs));
        breaches.extend(check_answer(call, runs));
        breaches.extend(check_loss(ledger, bounds, call, runs));
        breaches.extend(check_time(ledger, bounds, call, runs));
    }
    breaches.extend(ledger.runs.iter().filter_map(|run| check_asked(run, &calls)));
    breaches.extend(check_leavings(ledger, bounds, &calls));
    breaches.extend(check_versions(ledger, bounds, &calls));
    breaches.extend(ledger.ends.iter().map(|end| match end.overran {
        true => SoakBreach::Overran(end.router, end.at),
        false => SoakBreach::EndedItself(end.router, end.at),
    }));
    breaches.extend(check_recovery(ledger, bounds));
    breaches
}

fn check_runs(call: &CallRecord, runs: &[&RunRecord]) -> Option<SoakBreach> {
    let ran = runs.iter().filter(|run| run.ran).count();
    (!call.kind.may_repeat() && ran > 1).then(|| SoakBreach::Twice(call.id.clone()))
}

fn check_answer(call: &CallRecord, runs: &[&RunRecord]) -> Option<SoakBreach> {
    let CallEnd::Answered { status, sealed_by, genuine } = &call.end else { return None };
    let ran_at = |name: &str| runs.iter().any(|run| run.ran && run.server == name);
    let foreign = || Some(SoakBreach::ForeignBytes(call.id.clone()));
    if !genuine {
        return foreign();
    }
    match sealed_by {
        Some(server) if !ran_at(server) => foreign(),
        Some(_) => None,
        None => {
            let promises = matches!(status, 408 | 421 | 429 | 503);
            let run = runs.iter().find(|run| run.ran).filter(|_| promises)?;
            Some(SoakBreach::FalseRefusal(call.id.clone(), run.server.clone()))
        }
    }
}

/// Whatever may explain that a request went wrong.
fn subjects_of(call: &CallRecord, runs: &[&RunRecord]) -> Vec<FaultSubject> {
    let mut subjects = vec![
        FaultSubject::Router(call.router),
        FaultSubject::CallerLink(call.router),
        FaultSubject::Machine,
    ];
    for run in runs {
        subjects.push(FaultSubject::Server(run.place));
        subjects.push(FaultSubject::ServerLink(run.place));
    }
    subjects
}

/// A request that reached a server and ended without an answer, with no fault but planned work.
fn check_loss(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    call: &CallRecord,
    runs: &[&RunRecord],
) -> Option<SoakBreach> {
    let lost = matches!(call.end, CallEnd::Cut | CallEnd::Closed);
    if !lost || !runs.iter().any(|run| run.ran) {
        return None;
    }
    let from = call.sent.saturating_sub(bounds.contact);
    let harmed = ledger.is_harmed(&subjects_of(call, runs), from, call.ended);
    (!harmed).then(|| SoakBreach::Lost(call.id.clone(), call.router, call.ended))
}

fn check_time(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    call: &CallRecord,
    runs: &[&RunRecord],
) -> Option<SoakBreach> {
    let late = call.ended > call.sent + call.patience + bounds.answer;
    if !late {
        return None;
    }
    let from = call.sent.saturating_sub(bounds.contact);
    let harmed = ledger.is_harmed(&subjects_of(call, runs), from, call.ended);
    (!harmed).then(|| SoakBreach::Unanswered(call.id.clone(), call.router, call.sent))
}

fn check_asked(run: &RunRecord, calls: &BTreeMap<&str, &CallRecord>) -> Option<SoakBreach> {
    let call = calls.get(run.id.as_str());
    let asked = call.is_some_and(|call| call.kind.service() == run.service);
    (run.ran && !asked).then(|| SoakBreach::Unasked(run.id.clone(), run.server.clone()))
}

fn check_leavings(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    calls: &BTreeMap<&str, &CallRecord>,
) -> Vec<SoakBreach> {
    let left: BTreeMap<&str, u64> =
        ledger.leavings.iter().map(|leaving| (leaving.server.as_str(), leaving.at)).collect();
    let mut breaches = Vec::new();
    for run in ledger.runs.iter().filter(|run| run.ran) {
        let Some(call) = calls.get(run.id.as_str()) else { continue };
        let Some(at) = left.get(run.server.as_str()) else { continue };
        let late = run.at > at + bounds.leaving && call.sent > at + bounds.leaving;
        if late && is_in_touch(ledger, bounds, call.router, run.place, *at, run.at) {
            breaches.push(SoakBreach::Left(run.id.clone(), run.server.clone(), run.at));
        }
    }
    breaches
}

/// Whether a router could hear from the store, and nothing held its requests up.
fn is_in_touch(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    router: usize,
    place: usize,
    from: u64,
    until: u64,
) -> bool {
    let subjects = [
        FaultSubject::Router(router),
        FaultSubject::CallerLink(router),
        FaultSubject::StoreLink(router),
        FaultSubject::ServerLink(place),
        FaultSubject::Store,
        FaultSubject::Machine,
    ];
    !ledger.is_harmed(&subjects, from.saturating_sub(bounds.contact), until)
}

fn check_versions(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    calls: &BTreeMap<&str, &CallRecord>,
) -> Vec<SoakBreach> {
    // Highest version seen so far of each start of each router, with the time of each rise.
    let mut seen: BTreeMap<(usize, usize), Vec<(u64, u64)>> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut runs: Vec<&RunRecord> = ledger.runs.iter().filter(|run| run.ran).collect();
    runs.sort_by_key(|run| run.at);
    for run in runs {
        let Some(call) = calls.get(run.id.as_str()) else { continue };
        let start = ledger.start_count(call.router, run.at);
        let same_start = ledger.start_count(call.router, call.sent) == start;
        let rises = seen.entry((call.router, start)).or_default();
        let known = rises.iter().filter(|(at, _)| at + bounds.slack < call.sent);
        let newest = known.map(|(_, version)| *version).max().unwrap_or(0);
        if same_start && newest > run.version {
            let (id, router) = (run.id.clone(), call.router);
            breaches.push(SoakBreach::WentBack(id, run.version, newest, router));
        }
        if rises.last().is_none_or(|(_, version)| run.version > *version) {
            rises.push((run.at, run.version));
        }
        breaches.extend(check_outdated(ledger, bounds, call, run));
    }
    breaches
}

fn check_outdated(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
    call: &CallRecord,
    run: &RunRecord,
) -> Option<SoakBreach> {
    let due = ledger.versions.iter().filter(|known| known.at + bounds.declaration < call.sent);
    let due = due.max_by_key(|known| known.version)?;
    let older = run.version < due.version;
    let in_touch = is_in_touch(ledger, bounds, call.router, run.place, due.at, run.at);
    (older && in_touch).then(|| SoakBreach::Outdated(run.id.clone(), run.version, due.version))
}

fn check_recovery(ledger: &SoakLedger, bounds: &SoakBounds) -> Option<SoakBreach> {
    let from = ledger.calm_from + bounds.recovery;
    let after: Vec<&CallRecord> = ledger.calls.iter().filter(|call| call.sent > from).collect();
    let is_served = |call: &&&CallRecord| matches!(call.end, CallEnd::Answered { status: 200, .. });
    let (served, all) = (after.iter().filter(is_served).count(), after.len());
    let recovered = all > 0 && served * 100 >= all * RECOVERED_PERCENT;
    (!recovered).then_some(SoakBreach::NotRecovered { served, all })
}
