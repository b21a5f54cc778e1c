//! Decides how a router that has just started learns which prompt parts engines have cached.
//!
//! A router that restarts alone requests the cache index of another router. If all routers were
//! lost at once, no router has an index: each engine is assigned to one router, which requests the
//! engine's list of cached parts and announces it to the others. Routers start one after the other,
//! so a router that starts late may have missed earlier announcements.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{DomainId, RegionId, ServerId, VmId, hash_parts};
use catkin_policy::{RouterSpec, choose_key_router};

/// Routers that one attempt sends requests to. An index takes tens of kilobytes.
const SOURCES_PER_ATTEMPT: usize = 2;
/// Times of the attempts to sync from other routers, since the start of this router: at once, twice
/// more while too little is known, and a last time after processes that restarted together have
/// exchanged their lists.
const ATTEMPT_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(700),
];

/// Time since its start at which a router announces its engines' lists again, for routers that
/// started later.
const REANNOUNCE_TIME: Duration = Duration::from_millis(700);

/// Percentage of engines whose lists must be known before the index is used to select servers. An
/// engine that has nothing cached, or does not answer, has no list.
const USABLE_PERCENT: usize = 80;

/// Progress of a router in learning what engines have cached.
#[derive(Debug, Clone, Default)]
pub struct CacheSync {
    usable: bool,
    complete: bool,
    /// Attempts made.
    attempts: usize,
    /// Routers that were sent a request.
    requested: BTreeSet<VmId>,
    /// Engines in the server list.
    engines: BTreeSet<ServerId>,
    /// Engines that this router has requested lists from.
    assigned: BTreeSet<ServerId>,
    /// Engines whose lists are known.
    listed: BTreeSet<ServerId>,
    reannounced: bool,
}

impl CacheSync {
    /// Ends the sync: either the fleet is new, or the time to query engines is over.
    pub fn mark_complete(&mut self) {
        self.complete = true;
        self.usable = true;
    }

    /// Records that another router sent its whole index. `complete` is whether that router had
    /// completed its own sync; an incomplete index does not make this router's index usable.
    pub fn record_peer_sync(&mut self, complete: bool) {
        self.complete |= complete;
        self.usable |= complete;
    }

    /// Records that the lists of these engines are known.
    pub fn record_lists(&mut self, engines: impl Iterator<Item = ServerId>) {
        if self.usable {
            return;
        }
        self.listed.extend(engines);
        let known = self.engines.intersection(&self.listed).count();
        self.usable = known > 0 && known * 100 >= self.engines.len() * USABLE_PERCENT;
    }

    /// Returns whether this router's lists must be announced again now; true at most once. `since`
    /// is the time since the router's start.
    pub fn take_reannouncement(&mut self, since: Duration) -> bool {
        let due = since >= REANNOUNCE_TIME && !self.reannounced;
        self.reannounced |= due;
        due && !self.assigned.is_empty()
    }

    /// Whether enough is known to select servers by the index.
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Whether the sync has ended.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the routers that the index must be requested from now. `since` is the time since the
    /// router's start.
    pub fn choose_sources(
        &mut self,
        local_vm: VmId,
        routers: &[VmId],
        since: Duration,
    ) -> Vec<VmId> {
        let due = ATTEMPT_TIMES.get(self.attempts).is_some_and(|time| since >= *time);
        if self.complete || !due {
            return Vec::new();
        }
        self.attempts += 1;
        let last = self.attempts == ATTEMPT_TIMES.len();
        if self.usable && !last {
            return Vec::new();
        }
        let mut sources: Vec<VmId> = routers
            .iter()
            .copied()
            .filter(|vm| *vm != local_vm && !self.requested.contains(vm))
            .collect();
        sources.sort_by_key(|vm| hash_parts(&[&local_vm.0.to_le_bytes(), &vm.0.to_le_bytes()]));
        sources.truncate(SOURCES_PER_ATTEMPT);
        self.requested.extend(&sources);
        sources
    }

    /// Returns the engines that this router must request lists from now. Each engine is assigned to
    /// one router, by rendezvous hashing over `routers`.
    pub fn take_assigned_engines(
        &mut self,
        local_vm: VmId,
        routers: &[VmId],
        engines: impl Iterator<Item = ServerId>,
    ) -> Vec<ServerId> {
        if self.complete {
            return Vec::new();
        }
        self.engines = engines.collect();
        let specs: Vec<RouterSpec> = routers.iter().copied().map(router_spec).collect();
        let is_assigned = |server: &ServerId| choose_key_router(server.0, &specs) == Some(local_vm);
        let new = self.engines.difference(&self.assigned).copied();
        let new: Vec<ServerId> = new.filter(is_assigned).collect();
        self.assigned.extend(&new);
        new
    }
}

fn router_spec(vm: VmId) -> RouterSpec {
    RouterSpec { vm, domain: DomainId(0), region: RegionId(0) }
}
