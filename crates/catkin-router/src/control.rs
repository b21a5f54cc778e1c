//! The decision state of one router, behind one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use catkin_base::{ClockTime, PoolId, RequestDigest, ServerId, VmId};
use catkin_membership::{MemberSpec, MemberState, MemberTable, MembershipRules};
use catkin_policy::{
    AdmissionOwner, LoadAggregator, PolicyRules, PoolLoad, ReportMode, ReportPacer, RetryBudget,
    RouterSpec, StrikeCounter,
};

use crate::identity::RouterIdentity;

/// Decision state of one router. Locked for the length of one decision, never across a wait.
#[derive(Debug)]
pub(crate) struct ControlState {
    /// Servers that this router owns.
    pub(crate) owner: AdmissionOwner,
    /// Load reports already sent.
    pub(crate) pacer: ReportPacer,
    /// Loads of the pools that this router sums up.
    pub(crate) sums: LoadAggregator,
    /// Newest sum known of each pool.
    pub(crate) pool_loads: BTreeMap<PoolId, PoolLoad>,
    /// Strikes of the digests that this router keeps.
    pub(crate) strikes: StrikeCounter,
    /// Digests refused, and until when.
    pub(crate) quarantine: BTreeMap<RequestDigest, ClockTime>,
    /// Retry budget of this router as an entry.
    pub(crate) budget: RetryBudget,
    /// Other routers.
    pub(crate) members: MemberTable,
    /// Live routers as the decisions see them.
    pub(crate) roster: Vec<RouterSpec>,
    /// Owner of each declared server by the present roster.
    pub(crate) owners: BTreeMap<ServerId, VmId>,
    /// Last address of each router, live or not.
    addresses: BTreeMap<VmId, SocketAddr>,
}

impl ControlState {
    pub(crate) fn new(identity: &RouterIdentity, seed: u64, now: ClockTime) -> Self {
        let rules = PolicyRules::default();
        let members = MemberTable::new(own_spec(identity), MembershipRules::default(), seed, now);
        let mut state = Self {
            owner: AdmissionOwner::new(identity.vm),
            pacer: ReportPacer::new(),
            sums: LoadAggregator::new(),
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

    /// Takes the live members as the new roster.
    pub(crate) fn refresh_roster(&mut self) {
        self.roster.clear();
        for view in self.members.live() {
            let MemberSpec { vm, domain, region, address, .. } = view.spec;
            self.roster.push(RouterSpec { vm, domain, region });
            self.addresses.insert(vm, address);
        }
        self.sums.set_mode(self.report_mode());
    }

    /// Live routers beside `own`.
    pub(crate) fn list_others(&self, own: VmId) -> Vec<VmId> {
        self.roster.iter().map(|router| router.vm).filter(|vm| *vm != own).collect()
    }

    /// How load reports travel among the live routers.
    pub(crate) fn report_mode(&self) -> ReportMode {
        ReportMode::for_routers(self.roster.len())
    }

    /// Tells the owner's decisions which routers may be gone.
    pub(crate) fn refresh_suspects(&mut self) {
        let suspects = self.members.live().filter(|view| view.state == MemberState::Suspect);
        let suspects: BTreeSet<VmId> = suspects.map(|view| view.spec.vm).collect();
        self.owner.set_suspects(suspects);
    }

    /// Takes the sum of a pool from this router's own reports.
    pub(crate) fn take_own_sum(&mut self, now: ClockTime, pool: PoolId) {
        if let Some(load) = self.sums.aggregate_load(now, pool) {
            self.take_pool_load(now, load);
        }
    }

    /// Takes the sum of a pool.
    pub(crate) fn take_pool_load(&mut self, now: ClockTime, load: PoolLoad) {
        self.owner.record_pool_load(now, &load);
        self.pool_loads.insert(load.pool, load);
    }

    /// Notes the address that a message of `vm` came from.
    pub(crate) fn note_address(&mut self, vm: VmId, address: SocketAddr) {
        self.addresses.insert(vm, address);
    }

    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        self.addresses.get(&vm).copied()
    }

    /// Forgets the address of a router that is gone.
    pub(crate) fn forget_address(&mut self, vm: VmId) {
        self.addresses.remove(&vm);
    }

    /// Takes the rules of a new revision.
    pub(crate) fn set_rules(&mut self, rules: PolicyRules) {
        self.strikes.set_limits(rules.crash_strikes, rules.quarantine_millis);
        self.budget.set_percent(rules.retry_percent);
        self.owner.set_rules(rules);
    }

    /// Time for which `digest` is still refused, in milliseconds; zero if it is not.
    pub(crate) fn quarantine_millis(&self, now: ClockTime, digest: RequestDigest) -> u64 {
        self.quarantine.get(&digest).map_or(0, |until| until.millis_since(now))
    }

    /// Refuses `digest` for some time, and forgets digests whose time is over.
    pub(crate) fn note_quarantine(&mut self, now: ClockTime, digest: RequestDigest, millis: u64) {
        self.quarantine.retain(|_, until| *until > now);
        self.quarantine.insert(digest, now.plus_millis(millis));
    }
}

fn own_spec(identity: &RouterIdentity) -> MemberSpec {
    MemberSpec {
        vm: identity.vm,
        incarnation: identity.incarnation,
        address: identity.peer_address,
        domain: identity.domain,
        region: identity.region,
    }
}
