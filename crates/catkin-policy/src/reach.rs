//! Which services a router reaches: whether it can open connections to their servers.
//!
//! A server that can't be connected to may be down. A router that can connect to none of several servers
//! of a service, and whose failures began with all of them at about the same time, is probably cut off from
//! them. Both look the same from here for a service whose servers are all down; other routers tell
//! them apart.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Number of servers of a service that can't be connected to from which on it counts as out of reach; all of
/// them if it has fewer.
const MIN_FAILED: usize = 3;
/// Minimum number of such servers over all services. A single server may be down.
const MIN_FAILED_TOTAL: usize = 2;
/// Time for which a failed connect counts, in milliseconds.
const FAILURE_MILLIS: u64 = 1_500;

copy_type! {
    /// A service of this router, by a hash of its name. `ServiceKey` of `catkin-entry` has the same value.
    pub struct ReachKey(pub u64);
}

copy_type! {
    /// What a connect changed.
    pub enum ReachChange {
        /// Nothing.
        Unchanged,
        /// The service is out of reach from now on.
        Lost,
        /// The service is in reach again.
        Regained,
    }
}

#[derive(Debug, Clone, Default)]
struct ServiceReach {
    /// Servers that could not be connected to since the last connect to one of the service, and when.
    failed: BTreeMap<ServerId, ClockTime>,
    /// When a server of the service was last connected to.
    connected: Option<ClockTime>,
    is_lost: bool,
}

/// The reach of one router, by service.
#[derive(Debug, Clone, Default)]
pub struct ReachTable {
    services: BTreeMap<ReachKey, ServiceReach>,
}

impl ReachTable {
    /// Records that a server of the service was connected to.
    pub fn record_connect(&mut self, now: ClockTime, service: ReachKey) -> ReachChange {
        let reach = self.services.entry(service).or_default();
        reach.failed.clear();
        reach.connected = Some(now);
        if std::mem::take(&mut reach.is_lost) {
            return ReachChange::Regained;
        }
        ReachChange::Unchanged
    }

    /// Records that a server of the service, which has `servers` of them, could not be connected to.
    pub fn record_failure(
        &mut self,
        now: ClockTime,
        service: ReachKey,
        server: ServerId,
        servers: usize,
    ) -> ReachChange {
        self.services.entry(service).or_default().failed.insert(server, now);
        for reach in self.services.values_mut().filter(|reach| !reach.is_lost) {
            reach.failed.retain(|_, at| now.millis_since(*at) < FAILURE_MILLIS);
        }
        let total: usize = self.services.values().map(|reach| reach.failed.len()).sum();
        let reach = self.services.entry(service).or_default();
        let is_lost =
            reach.failed.len() >= servers.clamp(1, MIN_FAILED) && total >= MIN_FAILED_TOTAL;
        if is_lost && !std::mem::replace(&mut reach.is_lost, true) {
            return ReachChange::Lost;
        }
        ReachChange::Unchanged
    }

    /// Whether the service is out of reach.
    pub fn is_lost(&self, service: ReachKey) -> bool {
        self.services.get(&service).is_some_and(|reach| reach.is_lost)
    }

    /// Whether a connect to a server of the service failed lately, and none succeeded since.
    pub fn is_doubtful(&self, now: ClockTime, service: ReachKey) -> bool {
        self.services.get(&service).is_some_and(|reach| {
            let recent = |at: &ClockTime| now.millis_since(*at) < FAILURE_MILLIS;
            reach.is_lost || reach.failed.values().any(recent)
        })
    }

    /// Whether a server could not be connected to since the last connect to one of its service.
    pub fn has_failed(&self, service: ReachKey, server: ServerId) -> bool {
        self.services.get(&service).is_some_and(|reach| reach.failed.contains_key(&server))
    }

    /// Time since any server was connected to, in milliseconds; `None` before the first time.
    pub fn connect_age_millis(&self, now: ClockTime) -> Option<u64> {
        let latest = self.services.values().filter_map(|reach| reach.connected).max()?;
        Some(now.millis_since(latest))
    }

    /// The services that are out of reach.
    pub fn lost_services(&self) -> impl Iterator<Item = ReachKey> {
        self.services.iter().filter(|(_, reach)| reach.is_lost).map(|(service, _)| *service)
    }

    /// Removes services that are not listed any more.
    pub fn retain_services(&mut self, is_listed: impl Fn(ReachKey) -> bool) {
        self.services.retain(|service, _| is_listed(*service));
    }
}
