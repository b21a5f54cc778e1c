//! Load of servers and pools, and its aggregation from the reports of owners.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::{HEARTBEAT_INTERVAL_MILLIS, ReportMode};
use catkin_base::{ChatId, ClockTime, PoolId, ServerId, VmId, copy_type, value_type};

/// Reports older than this are ignored, in milliseconds.
const MAX_REPORT_AGE_MILLIS: u64 = 10_000;
/// Maximum age assumed for a report in broadcast mode until two heartbeats are overdue, in
/// milliseconds. Owners then send a report at each change, so that the load of an owner that sends
/// none is unchanged.
const BROADCAST_AGE_MILLIS: u64 = 6;
/// Maximum number of least loaded servers named in a [`PoolLoad`].
const MAX_LEAST_LOADED_SERVERS: usize = 4;

copy_type! {
    /// Load of one server.
    pub struct ServerLoad {
        /// The server.
        pub server: ServerId,
        /// Requests open on it.
        pub open: u32,
        /// Relative capacity of the server; zero if it accepts no work.
        pub weight: u32,
    }

    /// Event of a server's cache, reported with delay: a prefix was added or evicted.
    pub struct CacheEvent {
        /// Sequence number among the events of this incarnation of the server, from one.
        pub sequence: u64,
        /// The chat that the prefix belongs to.
        pub chat: ChatId,
        /// Whether the prefix was added; false if it was evicted.
        pub cached: bool,
    }
}

value_type! {
    /// Loads of the servers of one pool that one router owns.
    pub struct LoadReport {
        /// The pool.
        pub pool: PoolId,
        /// Loads of the servers.
        pub loads: Vec<ServerLoad>,
    }

    /// Total load of a pool.
    pub struct PoolLoad {
        /// The pool.
        pub pool: PoolId,
        /// Number of requests open on the servers of the pool.
        pub open: u32,
        /// Total weight of the servers.
        pub weight: u32,
        /// Number of servers.
        pub servers: u32,
        /// Mean age of the reports, weighted by load, in milliseconds.
        pub age_millis: u32,
        /// Servers with the least load relative to their weight, least loaded first.
        pub light_servers: Vec<ServerId>,
    }

    /// Answer of a server to a probe, which shows its state with some delay.
    pub struct ServerReport {
        /// Number that changes when the server restarts and loses its cache.
        pub incarnation: u64,
        /// Number of requests running or waiting on the server.
        pub open: u32,
        /// Whether the server is leaving and wants no new requests.
        pub leaving: bool,
        /// Highest sequence number of the server's cache events.
        pub event_sequence: u64,
        /// Cache events since the last report that was received.
        pub events: Vec<CacheEvent>,
    }
}

/// Aggregates the load of pools from the reports of the owners of their servers.
#[derive(Debug, Clone)]
pub struct LoadAggregator {
    mode: ReportMode,
    pools: BTreeMap<PoolId, BTreeMap<ServerId, LoadRow>>,
}

#[derive(Debug, Clone, Copy)]
struct LoadRow {
    reported_at: ClockTime,
    from: VmId,
    load: ServerLoad,
}

impl Default for LoadAggregator {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadAggregator {
    /// Creates an aggregator without reports, in [`ReportMode::Aggregated`].
    pub fn new() -> Self {
        Self { mode: ReportMode::Aggregated, pools: BTreeMap::new() }
    }

    /// Sets how reports are sent. In broadcast mode an owner that sends no report has an unchanged
    /// load.
    pub fn set_mode(&mut self, mode: ReportMode) {
        self.mode = mode;
    }

    /// Records the report of the router on `from`. For each server the newest report counts,
    /// whichever router sent it, until it is too old or gives the server weight zero.
    pub fn record_report(&mut self, now: ClockTime, from: VmId, report: &LoadReport) {
        let rows = self.pools.entry(report.pool).or_default();
        for load in &report.loads {
            rows.insert(load.server, LoadRow { reported_at: now, from, load: *load });
        }
        rows.retain(|_, row| row.load.weight > 0 && is_recent(now, row));
    }

    /// Returns the pools with at least one report.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.keys().copied()
    }

    /// Returns the routers whose reports of `pool` are in use, which receive its total load.
    pub fn reporters(&self, pool: PoolId) -> BTreeSet<VmId> {
        self.pools.get(&pool).into_iter().flat_map(BTreeMap::values).map(|row| row.from).collect()
    }

    /// Returns the total load of `pool`; `None` without a recent report.
    pub fn aggregate_load(&self, now: ClockTime, pool: PoolId) -> Option<PoolLoad> {
        let rows = self.pools.get(&pool)?.values().filter(|row| is_recent(now, row));
        let mut loads: Vec<ServerLoad> = rows.clone().map(|row| row.load).collect();
        if loads.is_empty() {
            return None;
        }
        let weighted_age: u64 =
            rows.map(|row| self.effective_age(now, row) * u64::from(row.load.open + 1)).sum();
        loads.sort_by(|left, right| compare_loads(*left, *right));
        let open: u32 = loads.iter().map(|load| load.open).sum();
        let servers = loads.len() as u32;
        Some(PoolLoad {
            pool,
            open,
            weight: loads.iter().map(|load| load.weight).sum(),
            servers,
            age_millis: weighted_age.div_ceil(u64::from(open + servers)) as u32,
            light_servers: loads
                .iter()
                .take(MAX_LEAST_LOADED_SERVERS)
                .map(|load| load.server)
                .collect(),
        })
    }

    fn effective_age(&self, now: ClockTime, row: &LoadRow) -> u64 {
        let age = now.millis_since(row.reported_at);
        let is_fresh = self.mode == ReportMode::Broadcast && age <= 2 * HEARTBEAT_INTERVAL_MILLIS;
        if is_fresh { BROADCAST_AGE_MILLIS.min(age) } else { age }
    }
}

fn is_recent(now: ClockTime, row: &LoadRow) -> bool {
    now.millis_since(row.reported_at) <= MAX_REPORT_AGE_MILLIS
}

fn compare_loads(left: ServerLoad, right: ServerLoad) -> std::cmp::Ordering {
    let left_load = u64::from(left.open) * u64::from(right.weight.max(1));
    let right_load = u64::from(right.open) * u64::from(left.weight.max(1));
    left_load.cmp(&right_load).then(left.server.cmp(&right.server))
}
