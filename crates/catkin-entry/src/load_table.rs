//! Open requests on each server, over all routers.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, VmId};

/// How long another router's last report counts: a frozen router's requests still hold servers.
const REPORT_LIFETIME_MILLIS: u64 = 3_000;
/// How long a router counts as alive after its last report.
const ALIVE_MILLIS: u64 = 1_500;

/// Another router's open requests.
#[derive(Debug, Clone, Default)]
struct PeerLoads {
    heard: ClockTime,
    opens: BTreeMap<ServerId, u32>,
}

/// Open requests of this router and, as last reported, of the others.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: BTreeMap<ServerId, u32>,
    peers: BTreeMap<VmId, PeerLoads>,
}

impl LoadTable {
    /// Counts a request that this router sends to `server`.
    pub fn open(&mut self, server: ServerId) {
        *self.own.entry(server).or_default() += 1;
    }

    /// Counts the end of a request that this router had sent.
    pub fn close(&mut self, server: ServerId) {
        if let Some(open) = self.own.get_mut(&server) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.own.remove(&server);
            }
        }
    }

    /// Takes another router's report, which names every server with open requests.
    pub fn note_report(&mut self, now: ClockTime, vm: VmId, opens: BTreeMap<ServerId, u32>) {
        self.peers.insert(vm, PeerLoads { heard: now, opens });
    }

    /// Forgets a router that left.
    pub fn forget(&mut self, vm: VmId) {
        self.peers.remove(&vm);
    }

    /// Drops reports that are too old to count.
    pub fn drop_old(&mut self, now: ClockTime) {
        self.peers.retain(|_, peer| now.millis_since(peer.heard) < REPORT_LIFETIME_MILLIS);
    }

    /// Forgets all reports, after a time in which none could be heard.
    pub fn forget_reports(&mut self) {
        self.peers.clear();
    }

    /// Open requests of this router alone.
    pub fn own(&self) -> &BTreeMap<ServerId, u32> {
        &self.own
    }

    /// Open requests on `server` of all routers.
    pub fn total(&self, server: ServerId) -> u32 {
        let own = self.own.get(&server).copied().unwrap_or(0);
        let others = self.peers.values().map(|peer| peer.opens.get(&server).copied().unwrap_or(0));
        own + others.sum::<u32>()
    }

    /// Routers that reported lately, this one included.
    pub fn routers(&self, now: ClockTime) -> u32 {
        let alive = |peer: &&PeerLoads| now.millis_since(peer.heard) < ALIVE_MILLIS;
        1 + self.peers.values().filter(alive).count() as u32
    }

    /// Age of the oldest report that counts, in milliseconds.
    pub fn oldest_millis(&self, now: ClockTime) -> u64 {
        self.peers.values().map(|peer| now.millis_since(peer.heard)).max().unwrap_or(0)
    }
}
