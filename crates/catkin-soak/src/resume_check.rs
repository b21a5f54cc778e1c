//! Checks that streams go on, and only at the software version that began them.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::value_type;

use crate::check::{SoakBounds, SoakViolation};
use crate::ledger::{CallKind, CallOutcome, CallRecord, FaultTarget, SoakLedger};

/// Streams that may hold events of several versions.
const ALLOWED_JOINED: usize = 2;
/// Number of resumed streams from which on their share counts.
const MIN_RESUMED: usize = 12;
/// Servers of a version that must serve for its streams to go on.
const MIN_SERVERS: usize = 2;

value_type! {
    /// A stream with events of several software versions.
    pub struct JoinedStream {
        /// The request that began it.
        pub id: String,
        /// The last request that added another version.
        pub last: String,
        /// The versions.
        pub software: BTreeSet<u32>,
        /// Time at which that request was sent.
        pub sent: u64,
    }
}

/// Finds the streams whose events came from servers of several versions, in one answer or over a
/// caller's tries.
pub fn find_joined_streams(ledger: &SoakLedger) -> Vec<JoinedStream> {
    let mut software: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
    let mut joined: BTreeMap<&str, JoinedStream> = BTreeMap::new();
    for call in &ledger.calls {
        let id = call.resumes.as_ref().unwrap_or(&call.id);
        let versions = software.entry(id).or_default();
        let known = versions.len();
        versions.extend(&call.software);
        if versions.len() > known.max(1) {
            let (last, sent) = (call.id.clone(), call.sent);
            let stream = JoinedStream { id: id.clone(), last, software: versions.clone(), sent };
            joined.insert(id, stream);
        }
    }
    joined.into_values().collect()
}

pub(crate) fn check_joined_streams(ledger: &SoakLedger) -> Option<SoakViolation> {
    let joined = find_joined_streams(ledger);
    (joined.len() > ALLOWED_JOINED).then_some(SoakViolation::JoinedVersions(joined.len()))
}

/// Finds whether the share of resumed streams that go on is under half of the share of new streams that
/// begin. Both are counted at routers in touch.
pub(crate) fn check_resumed_streams(
    ledger: &SoakLedger,
    bounds: &SoakBounds,
) -> Option<SoakViolation> {
    let origins: BTreeMap<&str, u32> = ledger
        .calls
        .iter()
        .filter(|call| call.resumes.is_none())
        .filter_map(|call| Some((call.id.as_str(), *call.software.first()?)))
        .collect();
    let mut resumed: BTreeMap<&str, bool> = BTreeMap::new();
    let (mut began, mut all) = (0, 0);
    let streams = ledger.calls.iter().filter(|call| call.kind == CallKind::Resumable);
    for call in streams.filter(|call| is_in_touch(ledger, bounds, call)) {
        let Some(first) = &call.resumes else {
            all += 1;
            began += usize::from(has_begun(call));
            continue;
        };
        let served = |software: &u32| count_servers(ledger, call, *software) >= MIN_SERVERS;
        if origins.get(first.as_str()).is_some_and(served) {
            *resumed.entry(first).or_default() |= has_begun(call);
        }
    }
    let went_on = resumed.values().filter(|went_on| **went_on).count();
    let is_lost = resumed.len() >= MIN_RESUMED && 2 * went_on * all < began * resumed.len();
    is_lost.then_some(SoakViolation::LostResumption { went_on, resumed: resumed.len(), began, all })
}

/// Whether the caller got an event, or the end of its stream.
fn has_begun(call: &CallRecord) -> bool {
    !call.software.is_empty() || matches!(call.outcome, CallOutcome::Answered { status: 200, .. })
}

/// Number of servers of a version that served from before a call was sent until it ended.
fn count_servers(ledger: &SoakLedger, call: &CallRecord, software: u32) -> usize {
    let serves = ledger.serving.iter().filter(|period| {
        period.service == call.kind.service()
            && period.software == software
            && period.from < call.sent
            && period.until > call.ended
    });
    serves.count()
}

/// Whether the router of a call, the store and the paths between them and to servers had no fault
/// shortly before the call and during it.
fn is_in_touch(ledger: &SoakLedger, bounds: &SoakBounds, call: &CallRecord) -> bool {
    let router = call.router;
    let targets = [
        FaultTarget::Router(router),
        FaultTarget::CallerLink(router),
        FaultTarget::StoreLink(router),
        FaultTarget::ServerPaths(router),
        FaultTarget::Store,
        FaultTarget::Machine,
    ];
    let from = call.sent.saturating_sub(bounds.contact);
    let restarted = ledger.start_count(router, call.ended) != ledger.start_count(router, from);
    !restarted && !ledger.is_affected(&targets, from, call.ended)
}
