//! Open requests on each server, over all routers.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, VmId, copy_type};

/// How long another router's last report counts: a frozen router's requests still hold servers.
const REPORT_LIFETIME_MILLIS: u64 = 3_000;
/// How long a router counts as alive after its last report.
const ALIVE_MILLIS: u64 = 1_500;

copy_type! {
    /// Open requests of one router on one server.
    #[derive(Default)]
    pub struct OpenLoad {
        /// Requests.
        pub open: u32,
        /// Prompt tokens that the server has yet to read for them.
        pub unread_tokens: u64,
    }
}

/// Another router's open requests.
#[derive(Debug, Clone, Default)]
struct PeerLoads {
    heard: ClockTime,
    opens: BTreeMap<ServerId, OpenLoad>,
}

/// Open requests of this router and, as last reported, of the others.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: BTreeMap<ServerId, OpenLoad>,
    peers: BTreeMap<VmId, PeerLoads>,
}

impl LoadTable {
    /// Counts a request that this router sends to `server`, which has so many tokens to read.
    pub fn open(&mut self, server: ServerId, unread_tokens: u64) {
        let load = self.own.entry(server).or_default();
        load.open += 1;
        load.unread_tokens += unread_tokens;
    }

    /// Notes that `server` has read the prompt of a request that this router had sent.
    pub fn note_read(&mut self, server: ServerId, tokens: u64) {
        if let Some(load) = self.own.get_mut(&server) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Counts the end of a request that this router had sent.
    pub fn close(&mut self, server: ServerId) {
        if let Some(load) = self.own.get_mut(&server) {
            load.open = load.open.saturating_sub(1);
            if load.open == 0 {
                self.own.remove(&server);
            }
        }
    }

    /// Takes another router's report, which names every server with open requests.
    pub fn note_report(&mut self, now: ClockTime, vm: VmId, opens: BTreeMap<ServerId, OpenLoad>) {
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
    pub fn own(&self) -> &BTreeMap<ServerId, OpenLoad> {
        &self.own
    }

    /// Open requests on `server` of all routers.
    pub fn total(&self, server: ServerId) -> OpenLoad {
        let others = self.peers.values().filter_map(|peer| peer.opens.get(&server));
        let loads = self.own.get(&server).into_iter().chain(others);
        loads.fold(OpenLoad::default(), |sum, load| OpenLoad {
            open: sum.open + load.open,
            unread_tokens: sum.unread_tokens + load.unread_tokens,
        })
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
