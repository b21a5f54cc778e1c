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

impl OpenLoad {
    fn add(&mut self, other: Self) {
        self.open += other.open;
        self.unread_tokens += other.unread_tokens;
    }

    fn subtract(&mut self, other: Self) {
        self.open = self.open.saturating_sub(other.open);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
    }
}

/// Open requests of this router and, as last reported, of the others.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: BTreeMap<ServerId, OpenLoad>,
    peers: BTreeMap<VmId, PeerLoads>,
    /// Sums over the other routers: a placement looks at every server of a service.
    others: BTreeMap<ServerId, OpenLoad>,
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
        add_loads(&mut self.others, &opens);
        if let Some(before) = self.peers.insert(vm, PeerLoads { heard: now, opens }) {
            subtract_loads(&mut self.others, &before.opens);
        }
    }

    /// Forgets a router that left.
    pub fn forget(&mut self, vm: VmId) {
        if let Some(before) = self.peers.remove(&vm) {
            subtract_loads(&mut self.others, &before.opens);
        }
    }

    /// Drops reports that are too old to count.
    pub fn drop_old(&mut self, now: ClockTime) {
        let Self { peers, others, .. } = self;
        peers.retain(|_, peer| {
            let counts = now.millis_since(peer.heard) < REPORT_LIFETIME_MILLIS;
            if !counts {
                subtract_loads(others, &peer.opens);
            }
            counts
        });
    }

    /// Forgets all reports, after a time in which none could be heard.
    pub fn forget_reports(&mut self) {
        self.peers.clear();
        self.others.clear();
    }

    /// Open requests of this router alone.
    pub fn own(&self) -> &BTreeMap<ServerId, OpenLoad> {
        &self.own
    }

    /// Open requests on `server` of all routers.
    pub fn total(&self, server: ServerId) -> OpenLoad {
        let mut sum = self.own.get(&server).copied().unwrap_or_default();
        sum.add(self.others.get(&server).copied().unwrap_or_default());
        sum
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

fn add_loads(sums: &mut BTreeMap<ServerId, OpenLoad>, loads: &BTreeMap<ServerId, OpenLoad>) {
    for (server, load) in loads {
        sums.entry(*server).or_default().add(*load);
    }
}

fn subtract_loads(sums: &mut BTreeMap<ServerId, OpenLoad>, loads: &BTreeMap<ServerId, OpenLoad>) {
    for (server, load) in loads {
        let Some(sum) = sums.get_mut(server) else { continue };
        sum.subtract(*load);
        if *sum == OpenLoad::default() {
            sums.remove(server);
        }
    }
}
