//! Schedule and recipients of the load reports of owners.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, PoolId, VmId, hash_parts};

use crate::load::LoadReport;
use crate::rank::choose_key_router;
use crate::spec::RouterSpec;

/// Maximum number of live routers for broadcast mode.
const MAX_BROADCAST_ROUTERS: usize = 12;
/// Minimum time between two broadcast reports of one pool, in milliseconds.
const MIN_BROADCAST_GAP_MILLIS: u64 = 5;
/// Interval at which an unchanged load is reported again, in milliseconds.
pub(crate) const HEARTBEAT_INTERVAL_MILLIS: u64 = 500;

/// How load reports are distributed, depending on the number of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportMode {
    /// Each owner sends every change to all routers, and each router aggregates for itself.
    Broadcast,
    /// Each owner reports at intervals to the aggregator of the pool, which returns the total load.
    Aggregated,
}

impl ReportMode {
    /// Returns the mode for `count` live routers.
    pub fn for_routers(count: usize) -> Self {
        if count <= MAX_BROADCAST_ROUTERS { Self::Broadcast } else { Self::Aggregated }
    }
}

/// Returns the router that aggregates the load of `pool`.
pub fn choose_aggregator(pool: PoolId, routers: &[RouterSpec]) -> Option<VmId> {
    choose_key_router(hash_parts(&[b"pool", &pool.0.to_le_bytes()]), routers)
}

/// Returns the router of `domain` that forwards the total load of `pool` to the owners in its
/// failure domain.
pub fn choose_relay(pool: PoolId, domain: DomainId, routers: &[RouterSpec]) -> Option<VmId> {
    let local: Vec<RouterSpec> =
        routers.iter().copied().filter(|router| router.domain == domain).collect();
    choose_key_router(hash_parts(&[b"relay", &pool.0.to_le_bytes()]), &local)
}

/// Selects the load reports to send now, in broadcast mode.
#[derive(Debug, Clone, Default)]
pub struct ReportPacer {
    sent: BTreeMap<PoolId, SentReport>,
}

#[derive(Debug, Clone)]
struct SentReport {
    sent_at: ClockTime,
    report: LoadReport,
}

impl ReportPacer {
    /// Creates a pacer that has sent no report.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the reports of `current` to send now, and counts them as sent: those that changed,
    /// and those whose heartbeat is due. For a pool that is no longer in `current`, one empty
    /// report is returned.
    pub fn take_due(&mut self, now: ClockTime, current: Vec<LoadReport>) -> Vec<LoadReport> {
        let reported: Vec<PoolId> = current.iter().map(|report| report.pool).collect();
        let gone = self.sent.keys().copied().filter(|pool| !reported.contains(pool));
        let gone: Vec<LoadReport> =
            gone.map(|pool| LoadReport { pool, loads: Vec::new() }).collect();
        let due: Vec<LoadReport> =
            current.into_iter().filter(|report| self.is_due(now, report)).collect();
        for report in &due {
            self.sent.insert(report.pool, SentReport { sent_at: now, report: report.clone() });
        }
        for report in &gone {
            self.sent.remove(&report.pool);
        }
        due.into_iter().chain(gone).collect()
    }

    /// Returns when to call [`Self::take_due`] next if a load changed at `now`.
    pub fn next_due(&self, now: ClockTime) -> ClockTime {
        let last = self.sent.values().map(|sent| sent.sent_at).max();
        last.map_or(now, |last| last.plus_millis(MIN_BROADCAST_GAP_MILLIS).max(now))
    }

    fn is_due(&self, now: ClockTime, report: &LoadReport) -> bool {
        let Some(sent) = self.sent.get(&report.pool) else {
            return true;
        };
        let age = now.millis_since(sent.sent_at);
        age >= HEARTBEAT_INTERVAL_MILLIS
            || (age >= MIN_BROADCAST_GAP_MILLIS && sent.report != *report)
    }
}
