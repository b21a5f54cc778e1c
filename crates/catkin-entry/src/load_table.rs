//! Open requests on each server, and recent requests to servers that name limits, aggregated over all
//! routers.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, ServerId, TeamId, VmId, copy_type, hash_parts};

use crate::waiting_room::TeamDemands;

/// Time for which the last report of another router counts. The requests of a frozen router still
/// occupy servers.
const REPORT_LIFETIME_MILLIS: u64 = 3_000;
/// Time after its last message for which a router counts as alive. Spans several report intervals.
pub(crate) const ALIVE_MILLIS: u64 = 1_500;

copy_type! {
    /// Open requests on one server.
    #[derive(Default)]
    pub struct OpenLoad {
        /// Number of requests.
        pub open: u32,
        /// Prompt tokens of these requests that the server has yet to prefill.
        pub unread_tokens: u64,
        /// Recent requests to the server if it names a limit, in hundredths, each weighted by its age.
        pub recent_sends: u32,
    }
}

copy_type! {
    /// Key of a service in reports.
    pub struct ServiceKey(pub u64);
}

impl ServiceKey {
    /// Derives the key from the name of the service.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[name.as_bytes()]))
    }
}

copy_type! {
    /// Routers whose open requests a report contains.
    pub enum LoadSource {
        /// One router.
        Router(VmId),
        /// All routers of another failure domain, as its relay reports them to this domain's relay.
        Domain(DomainId),
        /// All other failure domains, as this domain's relay reports them to its routers.
        OtherDomains,
    }
}

/// Open requests from one report. A report that is too long for a datagram is sent in fragments
/// that list different servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedLoads {
    /// Number of routers whose requests are counted.
    pub routers: u32,
    /// Index of the fragment.
    pub fragment: u32,
    /// Number of fragments.
    pub fragments: u32,
    /// Open requests by server, for every server of the fragment that has any.
    pub opens: BTreeMap<ServerId, OpenLoad>,
    /// Recent requests for services whose servers name limits, in hundredths.
    pub demands: BTreeMap<ServiceKey, u32>,
    /// Recent requests of the largest teams for services that are short of room, in hundredths.
    pub team_demands: TeamDemands,
}

impl ReportedLoads {
    /// Returns the unfragmented report of one router.
    pub fn of_router(opens: BTreeMap<ServerId, OpenLoad>) -> Self {
        Self {
            routers: 1,
            fragment: 0,
            fragments: 1,
            opens,
            demands: BTreeMap::new(),
            team_demands: TeamDemands::new(),
        }
    }
}

/// The last report of a source, and the time it was received.
#[derive(Debug, Clone)]
struct PeerLoads {
    received: ClockTime,
    loads: ReportedLoads,
}

impl OpenLoad {
    fn add(&mut self, other: Self) {
        self.open += other.open;
        self.unread_tokens += other.unread_tokens;
        self.recent_sends = self.recent_sends.saturating_add(other.recent_sends);
    }

    fn subtract(&mut self, other: Self) {
        self.open = self.open.saturating_sub(other.open);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.recent_sends = self.recent_sends.saturating_sub(other.recent_sends);
    }
}

/// Open requests of this router and, as last reported, of the other routers.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    local: BTreeMap<ServerId, OpenLoad>,
    /// What this router reports of its recent requests, in hundredths.
    local_sends: BTreeMap<ServerId, u32>,
    local_demands: BTreeMap<ServiceKey, u32>,
    /// Reports by source and fragment index.
    peers: BTreeMap<(LoadSource, u32), PeerLoads>,
    /// Totals of all reports, kept up to date because server selection reads them for every server
    /// of a service.
    reported: BTreeMap<ServerId, OpenLoad>,
    /// Number of other failure domains whose relays report to this router, if it is a relay.
    other_domain_count: usize,
}

impl LoadTable {
    /// Counts a request that this router sends to `server`, which has `unread_tokens` to prefill
    /// for it.
    pub fn open(&mut self, server: ServerId, unread_tokens: u64) {
        let load = self.local.entry(server).or_default();
        load.open += 1;
        load.unread_tokens += unread_tokens;
    }

    /// Records that `server` has prefilled `tokens` of the prompt of a request that this router
    /// sent.
    pub fn mark_prefilled(&mut self, server: ServerId, tokens: u64) {
        if let Some(load) = self.local.get_mut(&server) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Counts the end of a request that this router sent to `server`.
    pub fn close(&mut self, server: ServerId) {
        if let Some(load) = self.local.get_mut(&server) {
            load.open = load.open.saturating_sub(1);
            if load.open == 0 {
                self.local.remove(&server);
            }
        }
    }

    /// Records a report, which replaces the last one of the same source and fragment. Fragments of
    /// an earlier report with another number of fragments are removed. The aggregate of all other
    /// domains is ignored while their relays report directly, and removed once all of them do.
    pub fn record_report(&mut self, now: ClockTime, source: LoadSource, loads: ReportedLoads) {
        if source == LoadSource::OtherDomains {
            if self.has_live_domain_reports(now) {
                return;
            }
            self.remove_where(|known, _| matches!(known, LoadSource::Domain(_)));
        }
        let fragments = loads.fragments;
        self.remove_where(|known, peer| known == source && peer.loads.fragments != fragments);
        add_loads(&mut self.reported, &loads.opens);
        let key = (source, loads.fragment);
        if let Some(before) = self.peers.insert(key, PeerLoads { received: now, loads }) {
            subtract_loads(&mut self.reported, &before.loads.opens);
        }
        if matches!(source, LoadSource::Domain(_))
            && self.count_domains() >= self.other_domain_count
        {
            self.remove_where(|known, _| known == LoadSource::OtherDomains);
        }
    }

    /// Sets the number of other failure domains.
    pub fn set_other_domain_count(&mut self, count: usize) {
        self.other_domain_count = count;
    }

    /// Whether this router, as a relay, has reports of all other domains that the previous relay
    /// aggregated. Until then its own aggregate would omit loads.
    pub fn covers_other_domains(&self) -> bool {
        !self.peers.keys().any(|(source, _)| *source == LoadSource::OtherDomains)
    }

    fn count_domains(&self) -> usize {
        let domains = self
            .peers
            .keys()
            .filter(|(source, fragment)| matches!(source, LoadSource::Domain(_)) && *fragment == 0);
        domains.count()
    }

    /// Removes the reports of a router that left.
    pub fn remove_router(&mut self, vm: VmId) {
        self.remove_where(|known, _| known == LoadSource::Router(vm));
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.remove_where(|_, peer| now.millis_since(peer.received) >= REPORT_LIFETIME_MILLIS);
    }

    fn remove_where(&mut self, should_remove: impl Fn(LoadSource, &PeerLoads) -> bool) {
        let Self { peers, reported, .. } = self;
        peers.retain(|(source, _), peer| {
            let stays = !should_remove(*source, peer);
            if !stays {
                subtract_loads(reported, &peer.loads.opens);
            }
            stays
        });
    }

    fn has_live_domain_reports(&self, now: ClockTime) -> bool {
        let is_live = |peer: &PeerLoads| now.millis_since(peer.received) < ALIVE_MILLIS;
        let mut domains =
            self.peers.iter().filter(|((source, _), _)| matches!(source, LoadSource::Domain(_)));
        domains.any(|(_, peer)| is_live(peer))
    }

    /// Returns the number of live routers that report to this one directly, itself included, and
    /// their open requests.
    pub fn aggregate_domain(&self, now: ClockTime) -> (u32, BTreeMap<ServerId, OpenLoad>) {
        let is_router = |source| matches!(source, LoadSource::Router(_));
        (
            1 + self.count_routers(now, is_router),
            self.aggregate_loads(self.local_loads(), is_router),
        )
    }

    /// Returns the number of live routers in the other failure domains and their open requests, as
    /// reported by the relays of these domains.
    pub fn aggregate_other_domains(&self, now: ClockTime) -> (u32, BTreeMap<ServerId, OpenLoad>) {
        let is_domain = |source| matches!(source, LoadSource::Domain(_));
        (self.count_routers(now, is_domain), self.aggregate_loads(BTreeMap::new(), is_domain))
    }

    fn aggregate_loads(
        &self,
        mut totals: BTreeMap<ServerId, OpenLoad>,
        includes: impl Fn(LoadSource) -> bool,
    ) -> BTreeMap<ServerId, OpenLoad> {
        for (_, peer) in self.peers.iter().filter(|((source, _), _)| includes(*source)) {
            add_loads(&mut totals, &peer.loads.opens);
        }
        totals
    }

    /// Returns the number of live routers in reports of the sources for which `includes` is true.
    /// All fragments of a report carry the same number, so only the first one is counted.
    fn count_routers(&self, now: ClockTime, includes: impl Fn(LoadSource) -> bool) -> u32 {
        let first =
            self.peers.iter().filter(|((source, fragment), _)| *fragment == 0 && includes(*source));
        let alive = first.filter(|(_, peer)| now.millis_since(peer.received) < ALIVE_MILLIS);
        alive.map(|(_, peer)| peer.loads.routers).sum()
    }

    /// Removes all reports, after a time in which none could be received.
    pub fn clear_reports(&mut self) {
        self.peers.clear();
        self.reported.clear();
    }

    /// Returns the requests of this router alone, by server.
    pub fn local_loads(&self) -> BTreeMap<ServerId, OpenLoad> {
        let mut loads = self.local.clone();
        for (server, recent_sends) in &self.local_sends {
            loads.entry(*server).or_default().recent_sends = *recent_sends;
        }
        loads
    }

    /// Sets what this router reports of its recent requests, by server and by service, in hundredths.
    pub fn set_local_rates(
        &mut self,
        sends: BTreeMap<ServerId, u32>,
        demands: BTreeMap<ServiceKey, u32>,
    ) {
        self.local_sends = sends;
        self.local_demands = demands;
    }

    /// Returns the recent requests of this router by service.
    pub fn local_demands(&self) -> &BTreeMap<ServiceKey, u32> {
        &self.local_demands
    }

    /// Returns the recent requests of the other routers to a server that names a limit, in hundredths.
    pub fn reported_sends(&self, server: ServerId) -> u32 {
        self.reported.get(&server).map_or(0, |load| load.recent_sends)
    }

    /// Returns the recent requests of the other routers for a service, in hundredths.
    pub fn reported_demand(&self, service: ServiceKey) -> u32 {
        self.sum_demands(BTreeMap::new(), |_| true).get(&service).copied().unwrap_or(0)
    }

    /// Returns the recent requests by service of the routers that [`Self::aggregate_domain`] covers.
    pub fn domain_demands(&self) -> BTreeMap<ServiceKey, u32> {
        let is_router = |source| matches!(source, LoadSource::Router(_));
        self.sum_demands(self.local_demands.clone(), is_router)
    }

    /// The same for [`Self::aggregate_other_domains`].
    pub fn other_domain_demands(&self) -> BTreeMap<ServiceKey, u32> {
        self.sum_demands(BTreeMap::new(), |source| matches!(source, LoadSource::Domain(_)))
    }

    /// Returns the recent requests of the largest teams at the other routers for a service, in hundredths.
    pub fn reported_teams(&self, service: ServiceKey) -> BTreeMap<TeamId, u32> {
        let totals = self.sum_team_demands(TeamDemands::new(), |_| true).into_iter();
        let own = totals.filter(|((known, _), _)| *known == service);
        own.map(|((_, team), requests)| (team, requests)).collect()
    }

    /// Returns the recent requests by service and team of the routers that [`Self::aggregate_domain`]
    /// covers. `local` are those of this router.
    pub fn domain_team_demands(&self, local: TeamDemands) -> TeamDemands {
        self.sum_team_demands(local, |source| matches!(source, LoadSource::Router(_)))
    }

    /// The same for [`Self::aggregate_other_domains`].
    pub fn other_domain_team_demands(&self) -> TeamDemands {
        let is_domain = |source| matches!(source, LoadSource::Domain(_));
        self.sum_team_demands(TeamDemands::new(), is_domain)
    }

    fn sum_team_demands(
        &self,
        mut totals: TeamDemands,
        includes: impl Fn(LoadSource) -> bool,
    ) -> TeamDemands {
        for (_, peer) in self.peers.iter().filter(|((source, _), _)| includes(*source)) {
            for (key, requests) in &peer.loads.team_demands {
                let total = totals.entry(*key).or_default();
                *total = total.saturating_add(*requests);
            }
        }
        totals
    }

    fn sum_demands(
        &self,
        mut totals: BTreeMap<ServiceKey, u32>,
        includes: impl Fn(LoadSource) -> bool,
    ) -> BTreeMap<ServiceKey, u32> {
        for (_, peer) in self.peers.iter().filter(|((source, _), _)| includes(*source)) {
            for (service, requests) in &peer.loads.demands {
                let total = totals.entry(*service).or_default();
                *total = total.saturating_add(*requests);
            }
        }
        totals
    }

    /// Returns the open requests of all routers on `server`.
    pub fn total_load(&self, server: ServerId) -> OpenLoad {
        let mut total = self.local.get(&server).copied().unwrap_or_default();
        total.add(self.reported.get(&server).copied().unwrap_or_default());
        total
    }

    /// Returns the number of live routers, this one included: those that reported directly or are
    /// counted in an aggregate.
    pub fn live_routers(&self, now: ClockTime) -> u32 {
        1 + self.count_routers(now, |_| true)
    }

    /// Returns the age of the newest report, in milliseconds; `None` without reports.
    pub fn newest_report_millis(&self, now: ClockTime) -> Option<u64> {
        self.peers.values().map(|peer| now.millis_since(peer.received)).min()
    }

    /// Returns the age of the oldest report that counts, in milliseconds; 0 without reports.
    pub fn oldest_report_millis(&self, now: ClockTime) -> u64 {
        self.peers.values().map(|peer| now.millis_since(peer.received)).max().unwrap_or(0)
    }

    /// Returns the mean age of what the reports of the other routers say, in milliseconds. Those of a
    /// relay were on their way about as long again before it sent them.
    pub fn mean_report_millis(&self, now: ClockTime) -> f64 {
        let first = self.peers.iter().filter(|((_, fragment), _)| *fragment == 0);
        let live = first.filter(|(_, peer)| now.millis_since(peer.received) < ALIVE_MILLIS);
        let mut routers = 0.0;
        let mut sum = 0.0;
        for ((source, _), peer) in live {
            let hops = if matches!(source, LoadSource::Router(_)) { 1.0 } else { 2.0 };
            let weight = f64::from(peer.loads.routers);
            routers += weight;
            sum += weight * hops * now.millis_since(peer.received) as f64;
        }
        sum / f64::max(routers, 1.0)
    }
}

fn add_loads(totals: &mut BTreeMap<ServerId, OpenLoad>, loads: &BTreeMap<ServerId, OpenLoad>) {
    for (server, load) in loads {
        totals.entry(*server).or_default().add(*load);
    }
}

fn subtract_loads(totals: &mut BTreeMap<ServerId, OpenLoad>, loads: &BTreeMap<ServerId, OpenLoad>) {
    for (server, load) in loads {
        let Some(total) = totals.get_mut(server) else { continue };
        total.subtract(*load);
        if *total == OpenLoad::default() {
            totals.remove(server);
        }
    }
}
