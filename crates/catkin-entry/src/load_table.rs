//! Open requests on each server, over all routers.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, ServerId, VmId, copy_type};

/// How long another router's last report counts: a frozen router's requests still hold servers.
const REPORT_LIFETIME_MILLIS: u64 = 3_000;
/// How long a router counts as alive after it was last heard: several reports.
pub(crate) const ALIVE_MILLIS: u64 = 1_500;

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

copy_type! {
    /// Whose open requests a report tells.
    pub enum LoadSource {
        /// One router's.
        Router(VmId),
        /// Those of all routers in another failure domain, as its relay tells this domain's.
        Domain(DomainId),
        /// Those of all other failure domains, as this domain's relay tells its routers.
        Elsewhere,
    }
}

/// Open requests as reported. A report that is too long for a datagram comes in pieces, each with
/// other servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedLoads {
    /// Routers whose requests are counted.
    pub routers: u32,
    /// Index of the piece.
    pub piece: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Every server of the piece with open requests.
    pub opens: BTreeMap<ServerId, OpenLoad>,
}

impl ReportedLoads {
    /// The whole report of one router.
    pub fn of_router(opens: BTreeMap<ServerId, OpenLoad>) -> Self {
        Self { routers: 1, piece: 0, pieces: 1, opens }
    }
}

#[derive(Debug, Clone)]
struct PeerLoads {
    heard: ClockTime,
    loads: ReportedLoads,
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
    /// By source and piece.
    peers: BTreeMap<(LoadSource, u32), PeerLoads>,
    /// Sums over the other routers: a placement looks at every server of a service.
    others: BTreeMap<ServerId, OpenLoad>,
    /// Other failure domains whose relays tell this router, if it is a relay.
    domains: usize,
}

impl LoadTable {
    /// Counts a request that this router sends to `server`, which has so many tokens to read.
    pub fn open(&mut self, server: ServerId, unread_tokens: u64) {
        let load = self.own.entry(server).or_default();
        load.open += 1;
        load.unread_tokens += unread_tokens;
    }

    /// Notes that `server` has read the prompt of a request that this router had sent.
    pub fn mark_prompt_read(&mut self, server: ServerId, tokens: u64) {
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

    /// Takes a report, which names every server with open requests of its piece.
    pub fn record_report(&mut self, now: ClockTime, source: LoadSource, loads: ReportedLoads) {
        if source == LoadSource::Elsewhere {
            if self.has_live_domain_reports(now) {
                return;
            }
            self.remove_where(|known, _| matches!(known, LoadSource::Domain(_)));
        }
        let pieces = loads.pieces;
        self.remove_where(|known, peer| known == source && peer.loads.pieces != pieces);
        add_loads(&mut self.others, &loads.opens);
        let key = (source, loads.piece);
        if let Some(before) = self.peers.insert(key, PeerLoads { heard: now, loads }) {
            subtract_loads(&mut self.others, &before.loads.opens);
        }
        if matches!(source, LoadSource::Domain(_)) && self.count_domains() >= self.domains {
            self.remove_where(|known, _| known == LoadSource::Elsewhere);
        }
    }

    /// Sets how many other failure domains there are.
    pub fn set_other_domain_count(&mut self, domains: usize) {
        self.domains = domains;
    }

    /// Whether this router, as a relay, knows as much of the other domains as the relay before it
    /// told, so that telling it loses nothing.
    pub fn covers_other_domains(&self) -> bool {
        !self.peers.keys().any(|(source, _)| *source == LoadSource::Elsewhere)
    }

    fn count_domains(&self) -> usize {
        let domains = self
            .peers
            .keys()
            .filter(|(source, piece)| matches!(source, LoadSource::Domain(_)) && *piece == 0);
        domains.count()
    }

    /// Forgets a router that left.
    pub fn remove_router(&mut self, vm: VmId) {
        self.remove_where(|known, _| known == LoadSource::Router(vm));
    }

    /// Drops reports that are too old to count.
    pub fn drop_expired(&mut self, now: ClockTime) {
        self.remove_where(|_, peer| now.millis_since(peer.heard) >= REPORT_LIFETIME_MILLIS);
    }

    fn remove_where(&mut self, drops: impl Fn(LoadSource, &PeerLoads) -> bool) {
        let Self { peers, others, .. } = self;
        peers.retain(|(source, _), peer| {
            let stays = !drops(*source, peer);
            if !stays {
                subtract_loads(others, &peer.loads.opens);
            }
            stays
        });
    }

    fn has_live_domain_reports(&self, now: ClockTime) -> bool {
        let lately = |peer: &PeerLoads| now.millis_since(peer.heard) < ALIVE_MILLIS;
        let mut domains =
            self.peers.iter().filter(|((source, _), _)| matches!(source, LoadSource::Domain(_)));
        domains.any(|(_, peer)| lately(peer))
    }

    /// Open requests of this router and of all that report to it themselves, and how many these
    /// routers are.
    pub fn aggregate_domain(&self, now: ClockTime) -> (u32, BTreeMap<ServerId, OpenLoad>) {
        let is_router = |source| matches!(source, LoadSource::Router(_));
        (1 + self.count_routers(now, is_router), self.sum_loads(self.own.clone(), is_router))
    }

    /// Open requests of the other failure domains, as their relays told, and the number of routers.
    pub fn aggregate_elsewhere(&self, now: ClockTime) -> (u32, BTreeMap<ServerId, OpenLoad>) {
        let is_domain = |source| matches!(source, LoadSource::Domain(_));
        (self.count_routers(now, is_domain), self.sum_loads(BTreeMap::new(), is_domain))
    }

    fn sum_loads(
        &self,
        mut sums: BTreeMap<ServerId, OpenLoad>,
        counts: impl Fn(LoadSource) -> bool,
    ) -> BTreeMap<ServerId, OpenLoad> {
        for (_, peer) in self.peers.iter().filter(|((source, _), _)| counts(*source)) {
            add_loads(&mut sums, &peer.loads.opens);
        }
        sums
    }

    /// Routers told of lately by such sources. The first piece of a report counts for all.
    fn count_routers(&self, now: ClockTime, counts: impl Fn(LoadSource) -> bool) -> u32 {
        let first = self.peers.iter().filter(|((source, piece), _)| *piece == 0 && counts(*source));
        let alive = first.filter(|(_, peer)| now.millis_since(peer.heard) < ALIVE_MILLIS);
        alive.map(|(_, peer)| peer.loads.routers).sum()
    }

    /// Forgets all reports, after a time in which none could be heard.
    pub fn clear_reports(&mut self) {
        self.peers.clear();
        self.others.clear();
    }

    /// Open requests of this router alone.
    pub fn local_loads(&self) -> &BTreeMap<ServerId, OpenLoad> {
        &self.own
    }

    /// Open requests on `server` of all routers.
    pub fn total_load(&self, server: ServerId) -> OpenLoad {
        let mut sum = self.own.get(&server).copied().unwrap_or_default();
        sum.add(self.others.get(&server).copied().unwrap_or_default());
        sum
    }

    /// Routers that reported lately, or were reported, this one included.
    pub fn live_routers(&self, now: ClockTime) -> u32 {
        1 + self.count_routers(now, |_| true)
    }

    /// Age of the oldest report that counts, in milliseconds.
    pub fn oldest_report_millis(&self, now: ClockTime) -> u64 {
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
