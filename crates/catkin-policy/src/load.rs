//! Load of servers and pools.

use std::collections::{BTreeMap, BTreeSet};

use crate::report::{HEARTBEAT_INTERVAL_MILLIS, ReportMode};
use catkin_base::{ChatId, ClockTime, PoolId, ServerId, VmId, copy_type, value_type};

/// Reports older than this no longer count, in milliseconds.
const MAX_REPORT_AGE_MILLIS: u64 = 10_000;
/// Age given to a report that is sent at each change, while it is fresh, in milliseconds.
const BROADCAST_AGE_MILLIS: u64 = 6;
/// Light servers named in a sum.
const MAX_LIGHT_SERVERS: usize = 4;

copy_type! {
    /// Load of one server.
    pub struct ServerLoad {
        /// The server.
        pub server: ServerId,
        /// Requests open on it.
        pub open: u32,
        /// Its weight; zero if it takes no work.
        pub weight: u32,
    }

    /// A late report that a prefix entered or left a server's cache.
    pub struct CacheEvent {
        /// Position among the events of this incarnation of the server.
        pub sequence: u64,
        /// The chat whose prefix it was.
        pub chat: ChatId,
        /// Whether the prefix is now in the cache.
        pub cached: bool,
    }
}

value_type! {
    /// Loads of one owner's servers of one pool.
    pub struct LoadReport {
        /// The pool.
        pub pool: PoolId,
        /// Its servers.
        pub loads: Vec<ServerLoad>,
    }

    /// Load of a whole pool.
    pub struct PoolLoad {
        /// The pool.
        pub pool: PoolId,
        /// Requests open on its servers.
        pub open: u32,
        /// Sum of the weights of its servers.
        pub weight: u32,
        /// Number of its servers.
        pub servers: u32,
        /// Age of the reports in the sum, weighted by load, in milliseconds.
        pub age_millis: u32,
        /// Servers with the least load for their weight, least loaded first.
        pub light_servers: Vec<ServerId>,
    }

    /// A server's report of itself, late by the server's own lag.
    pub struct ServerReport {
        /// Changes when the server restarts and its cache is gone.
        pub incarnation: u64,
        /// Requests running or waiting on it.
        pub open: u32,
        /// Whether it wants no new work.
        pub leaving: bool,
        /// Highest sequence number of its cache events so far.
        pub event_sequence: u64,
        /// Cache events since the last report that was taken.
        pub events: Vec<CacheEvent>,
    }
}

/// Sums the load of pools from the reports of the owners of their servers.
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
    /// A book without reports, of an aggregator.
    pub fn new() -> Self {
        Self { mode: ReportMode::Aggregated, pools: BTreeMap::new() }
    }

    /// Takes how reports travel: in prompt mode silence means an unchanged load.
    pub fn set_mode(&mut self, mode: ReportMode) {
        self.mode = mode;
    }

    /// Takes the report of `from`. For each server the newest report counts, whoever sent it, until
    /// it is too old or says that the server no longer takes work.
    pub fn record_report(&mut self, now: ClockTime, from: VmId, report: &LoadReport) {
        let rows = self.pools.entry(report.pool).or_default();
        for load in &report.loads {
            rows.insert(load.server, LoadRow { reported_at: now, from, load: *load });
        }
        rows.retain(|_, row| row.load.weight > 0 && is_recent(now, row));
    }

    /// Pools with at least one report.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> + '_ {
        self.pools.keys().copied()
    }

    /// Routers whose reports of `pool` are kept, to which its sum goes.
    pub fn reporters(&self, pool: PoolId) -> BTreeSet<VmId> {
        self.pools.get(&pool).into_iter().flat_map(BTreeMap::values).map(|row| row.from).collect()
    }

    /// The load of `pool`; `None` without a recent report.
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
            light_servers: loads.iter().take(MAX_LIGHT_SERVERS).map(|load| load.server).collect(),
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
