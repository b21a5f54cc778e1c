//! State of an admission owner, and the reports on servers and pools that update it.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ChatId, ClockTime, PoolId, RequestId, ServerId, TeamId, VmId};

use crate::bound::{BoundRules, PoolTotal};
use crate::decision::AskKey;
use crate::grant::{GrantAnswer, GrantResult};
use crate::handover::{CededServer, LostServer};
use crate::history::ServiceHistory;
use crate::ledger::ServerLedger;
use crate::load::{LoadReport, PoolLoad, ServerReport};
use crate::recent::RecentMap;
use crate::rules::PolicyRules;
use crate::state::ServerState;

/// Half of the maximum number of answers retained for repeated grant requests.
const ANSWER_GENERATION_LEN: usize = 4_096;

/// Admits requests to the servers that one router owns.
#[derive(Debug, Clone)]
pub struct AdmissionOwner {
    pub(crate) vm: VmId,
    pub(crate) rules: PolicyRules,
    pub(crate) ledgers: BTreeMap<ServerId, ServerLedger>,
    pub(crate) ceded: BTreeMap<ServerId, CededServer>,
    pub(crate) lost: BTreeMap<ServerId, LostServer>,
    pub(crate) suspects: BTreeSet<VmId>,
    pub(crate) totals: BTreeMap<PoolId, PoolTotal>,
    pub(crate) light_servers: BTreeMap<PoolId, Vec<ServerId>>,
    pub(crate) team_open: BTreeMap<TeamId, u32>,
    pub(crate) history: ServiceHistory,
    pub(crate) answers: RecentMap<AskKey, GrantResult>,
    pub(crate) released: RecentMap<(RequestId, ServerId), ()>,
    pub(crate) outbox: Vec<GrantAnswer>,
    pub(crate) needs_poll: bool,
}

impl AdmissionOwner {
    /// Creates the state of the router on `vm`, without servers.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            rules: PolicyRules::default(),
            ledgers: BTreeMap::new(),
            ceded: BTreeMap::new(),
            lost: BTreeMap::new(),
            suspects: BTreeSet::new(),
            totals: BTreeMap::new(),
            light_servers: BTreeMap::new(),
            team_open: BTreeMap::new(),
            history: ServiceHistory::default(),
            answers: RecentMap::new(ANSWER_GENERATION_LEN),
            released: RecentMap::new(ANSWER_GENERATION_LEN),
            outbox: Vec::new(),
            needs_poll: false,
        }
    }

    /// Returns the VM of this owner.
    pub fn vm(&self) -> VmId {
        self.vm
    }

    /// Sets the rules in force.
    pub fn set_rules(&mut self, rules: PolicyRules) {
        self.rules = rules;
        self.needs_poll = true;
    }

    /// Records the answer of `server` to a probe. Ignored if the server is not owned.
    pub fn record_probe(&mut self, now: ClockTime, server: ServerId, report: &ServerReport) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        ledger.record_report(now, report, &self.rules);
        self.needs_poll = true;
    }

    /// Records that `server` did not answer a probe. Ignored if the server is not owned.
    pub fn record_probe_failure(&mut self, now: ClockTime, server: ServerId) {
        if let Some(ledger) = self.ledgers.get_mut(&server) {
            ledger.health.record_probe_failure(now, self.rules.hold_down_millis);
            self.needs_poll = true;
        }
    }

    /// Returns the sequence number of the last cache event received from `server`; the next probe
    /// should request the events after it.
    pub fn last_event(&self, server: ServerId) -> u64 {
        self.ledgers.get(&server).map_or(0, |ledger| ledger.warm.last_sequence())
    }

    /// Records the total load of a pool, unless a newer one is known.
    pub fn record_pool_load(&mut self, now: ClockTime, load: &PoolLoad) {
        let total = PoolTotal::from_load(now, load);
        let known = self.totals.get(&load.pool);
        if known.is_some_and(|known| known.counted_at > total.counted_at) {
            return;
        }
        self.totals.insert(load.pool, total);
        self.light_servers.insert(load.pool, load.light_servers.clone());
        self.needs_poll = true;
    }

    /// Records in the directory of `home`, the chat's first-ranked server, that the chat was placed
    /// on `server`.
    pub fn record_placement(&mut self, chat: ChatId, home: ServerId, server: ServerId) {
        let Some(ledger) = self.ledgers.get_mut(&home) else {
            return;
        };
        if home == server {
            ledger.directory.remove(chat);
        } else {
            ledger.directory.record(chat, server);
        }
    }

    /// Returns the loads of the owned servers for the aggregators of their pools. A server that
    /// accepts no work has weight zero; one whose load is not known yet is left out.
    pub fn load_reports(&self, _now: ClockTime) -> Vec<LoadReport> {
        let mut reports: BTreeMap<PoolId, LoadReport> = BTreeMap::new();
        for ledger in self.ledgers.values().filter(|ledger| !ledger.is_load_unknown()) {
            for pool in &ledger.spec.pools {
                let empty = LoadReport { pool: *pool, loads: Vec::new() };
                let report = reports.entry(*pool).or_insert(empty);
                report.loads.push(ledger.server_load(&self.suspects));
            }
        }
        reports.into_values().collect()
    }

    /// Returns the state of each owned server.
    pub fn server_states(&self, now: ClockTime) -> Vec<ServerState> {
        self.ledgers.values().map(|ledger| self.server_state(now, ledger)).collect()
    }

    /// Returns the maximum number of open requests on the server: the lowest of the bounds of its
    /// pools, and one for a pool whose load is not known.
    pub(crate) fn bound(&self, now: ClockTime, ledger: &ServerLedger) -> u32 {
        let rules = BoundRules {
            percent: self.rules.bound_percent,
            service_micros: self.history.mean_micros(),
        };
        let totals = ledger.spec.pools.iter().map(|pool| self.totals.get(pool));
        let bounds = totals
            .map(|total| total.map_or(1, |total| total.bound(now, ledger.spec.weight, rules)));
        bounds.min().unwrap_or(1)
    }

    pub(crate) fn team_open(&self, team: TeamId) -> u32 {
        self.team_open.get(&team).copied().unwrap_or(0)
    }

    fn server_state(&self, now: ClockTime, ledger: &ServerLedger) -> ServerState {
        ServerState {
            server: ledger.spec.server,
            phase: ledger.phase(),
            open: ledger.load(),
            foreign: ledger.foreign(),
            queued: ledger.queue.len() as u32,
            bound: self.bound(now, ledger).min(ledger.spec.slots),
            leaving: ledger.leaving,
            failed: ledger.health.is_down(),
            hold_millis: ledger.health.hold_millis(now),
            warm_chats: ledger.warm.len() as u32,
            event_gaps: ledger.warm.gaps(),
        }
    }
}
