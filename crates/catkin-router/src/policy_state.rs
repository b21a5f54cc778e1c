//! Policy state of one router: admission, load totals, strikes, quarantine and membership, behind
//! one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use catkin_base::{ClockTime, PoolId, RequestDigest, ServerId, VmId};
use catkin_membership::{MemberSpec, MemberState, MemberTable, MembershipOptions};
use catkin_policy::{
    AdmissionOwner, LoadAggregator, PolicyRules, PoolLoad, ReportMode, ReportPacer, RetryBudget,
    RouterSpec, StrikeCounter,
};

use crate::identity::RouterIdentity;

/// Policy state of one router. Locked for one decision at a time, never across an `await`.
#[derive(Debug)]
pub(crate) struct PolicyState {
    /// Admission to the servers that this router owns.
    pub(crate) admission: AdmissionOwner,
    /// Decides when load reports are due, from those already sent.
    pub(crate) pacer: ReportPacer,
    /// Load totals of the pools that this router aggregates.
    pub(crate) load_aggregator: LoadAggregator,
    /// Latest known load total of each pool.
    pub(crate) pool_loads: BTreeMap<PoolId, PoolLoad>,
    /// Strikes of the request digests that this router is responsible for.
    pub(crate) strikes: StrikeCounter,
    /// Quarantined digests, and the time until which each is refused.
    pub(crate) quarantine: BTreeMap<RequestDigest, ClockTime>,
    /// Retry budget for the calls that this router receives from callers.
    pub(crate) budget: RetryBudget,
    /// Membership of the other routers.
    pub(crate) members: MemberTable,
    /// Live routers, this one included, as of the last refresh; all decisions use this list.
    pub(crate) roster: Vec<RouterSpec>,
    /// Owner of each declared server under the current roster.
    pub(crate) owners: BTreeMap<ServerId, VmId>,
    /// Last known address of each router, also of routers that are not live.
    addresses: BTreeMap<VmId, SocketAddr>,
}

impl PolicyState {
    /// Builds the state of a router that knows no other router and has no declarations.
    pub(crate) fn new(identity: &RouterIdentity, seed: u64, now: ClockTime) -> Self {
        let rules = PolicyRules::default();
        let members =
            MemberTable::new(local_spec(identity), MembershipOptions::default(), seed, now);
        let mut state = Self {
            admission: AdmissionOwner::new(identity.vm),
            pacer: ReportPacer::new(),
            load_aggregator: LoadAggregator::new(),
            pool_loads: BTreeMap::new(),
            strikes: StrikeCounter::new(rules.crash_strikes, rules.quarantine_millis),
            quarantine: BTreeMap::new(),
            budget: RetryBudget::new(rules.retry_percent),
            members,
            roster: Vec::new(),
            owners: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        state.refresh_roster();
        state
    }

    /// Rebuilds the roster from the live members, and records their addresses.
    pub(crate) fn refresh_roster(&mut self) {
        self.roster.clear();
        for view in self.members.live_members() {
            let MemberSpec { vm, domain, region, address, .. } = view.spec;
            self.roster.push(RouterSpec { vm, domain, region });
            self.addresses.insert(vm, address);
        }
        self.load_aggregator.set_mode(self.report_mode());
    }

    /// Live routers except `local_vm`.
    pub(crate) fn list_peers(&self, local_vm: VmId) -> Vec<VmId> {
        self.roster.iter().map(|router| router.vm).filter(|vm| *vm != local_vm).collect()
    }

    /// How load reports are distributed among the current number of live routers.
    pub(crate) fn report_mode(&self) -> ReportMode {
        ReportMode::for_routers(self.roster.len())
    }

    /// Passes the routers that membership suspects to the admission state.
    pub(crate) fn refresh_suspects(&mut self) {
        let suspects =
            self.members.live_members().filter(|view| view.state == MemberState::Suspect);
        let suspects: BTreeSet<VmId> = suspects.map(|view| view.spec.vm).collect();
        self.admission.set_suspects(suspects);
    }

    /// Stores the load total of a pool that this router aggregated itself.
    pub(crate) fn update_local_total(&mut self, now: ClockTime, pool: PoolId) {
        if let Some(load) = self.load_aggregator.aggregate_load(now, pool) {
            self.update_pool_load(now, load);
        }
    }

    /// Stores a pool's load total and passes it to the admission state.
    pub(crate) fn update_pool_load(&mut self, now: ClockTime, load: PoolLoad) {
        self.admission.record_pool_load(now, &load);
        self.pool_loads.insert(load.pool, load);
    }

    /// Stores the address that a message from `vm` came from.
    pub(crate) fn set_address(&mut self, vm: VmId, address: SocketAddr) {
        self.addresses.insert(vm, address);
    }

    /// Last known address of a router.
    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.addresses.get(&vm).copied()
    }

    /// Removes the address of a router that died.
    pub(crate) fn remove_address(&mut self, vm: VmId) {
        self.addresses.remove(&vm);
    }

    /// Applies the policy rules of a new revision.
    pub(crate) fn set_rules(&mut self, rules: PolicyRules) {
        self.strikes.set_limits(rules.crash_strikes, rules.quarantine_millis);
        self.budget.set_percent(rules.retry_percent);
        self.admission.set_rules(rules);
    }

    /// Remaining quarantine of `digest` in milliseconds; zero if it is not quarantined.
    pub(crate) fn quarantine_millis(&self, now: ClockTime, digest: RequestDigest) -> u64 {
        self.quarantine.get(&digest).map_or(0, |until| until.millis_since(now))
    }

    /// Quarantines `digest` for `millis` milliseconds, and removes digests whose quarantine has
    /// ended.
    pub(crate) fn quarantine_digest(&mut self, now: ClockTime, digest: RequestDigest, millis: u64) {
        self.quarantine.retain(|_, until| *until > now);
        self.quarantine.insert(digest, now.plus_millis(millis));
    }
}

fn local_spec(identity: &RouterIdentity) -> MemberSpec {
    MemberSpec {
        vm: identity.vm,
        incarnation: identity.incarnation,
        address: identity.peer_address,
        domain: identity.domain,
        region: identity.region,
    }
}
