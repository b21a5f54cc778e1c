//! The admission owner of servers.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{
    ChatId, ClockTime, PoolId, RefusalReason, RequestId, ServerId, TeamId, VmId, copy_type,
    value_type,
};

use crate::bound::{BoundRules, PoolSum};
use crate::grant::{
    GrantAnswer, GrantAsk, GrantAudit, GrantExport, GrantRefusal, GrantRelease, GrantResult,
    OverflowCause, ReleaseOutcome,
};
use crate::history::ServiceHistory;
use crate::ledger::{GrantRow, ServerLedger};
use crate::load::{LoadReport, PoolLoad, ServerReport};
use crate::queue::QueuedAsk;
use crate::rank::mix_pair;
use crate::recent::RecentMap;
use crate::rules::{ClassPolicy, PolicyRules};
use crate::spec::ServerSpec;
use crate::state::ServerState;

/// Half of the most answers remembered for repeated asks.
const ANSWER_GENERATION: usize = 4_096;
/// Most requests that wait for one server, relative to its slots.
const QUEUE_PER_SLOT: u32 = 8;
/// Grants older than this are audited if their server reports fewer requests than were granted, in
/// milliseconds.
const AUDIT_AGE_MILLIS: u64 = 5_000;
/// Grants older than this are always audited, in milliseconds.
const AUDIT_ALWAYS_MILLIS: u64 = 45_000;
/// Time for which a server that was ceded to another owner is not taken back, and for which the
/// grants of a lost server are kept, in milliseconds.
const CEDE_MILLIS: u64 = 10_000;
/// Time after which a refused caller may come back, in milliseconds.
const RETRY_MILLIS: u32 = 1_000;

value_type! {
    /// What changed when a router's share of the servers changed.
    pub struct OwnedChange {
        /// Servers newly owned, in handover.
        pub gained: Vec<ServerId>,
        /// Servers no longer owned, with what their new owners need.
        pub lost: Vec<GrantExport>,
    }
}

copy_type! {
    struct AskKey {
        request: RequestId,
        server: ServerId,
        must_queue: bool,
        follow_directory: bool,
    }
}

impl AskKey {
    fn new(ask: &GrantAsk) -> Self {
        Self {
            request: ask.request,
            server: ask.server,
            must_queue: ask.must_queue,
            follow_directory: ask.follow_directory,
        }
    }
}

/// A server that was handed to a router that asked for it.
#[derive(Debug, Clone, Copy)]
struct CededServer {
    until: ClockTime,
    to: VmId,
}

/// What is kept of a server that was lost to another owner.
#[derive(Debug, Clone)]
struct LostServer {
    until: ClockTime,
    export: GrantExport,
}

/// Admits requests to the servers that one router owns.
#[derive(Debug, Clone)]
pub struct OwnerBook {
    vm: VmId,
    rules: PolicyRules,
    ledgers: BTreeMap<ServerId, ServerLedger>,
    ceded: BTreeMap<ServerId, CededServer>,
    lost: BTreeMap<ServerId, LostServer>,
    suspects: BTreeSet<VmId>,
    sums: BTreeMap<PoolId, PoolSum>,
    light: BTreeMap<PoolId, Vec<ServerId>>,
    team_open: BTreeMap<TeamId, u32>,
    history: ServiceHistory,
    answers: RecentMap<AskKey, GrantResult>,
    closed: RecentMap<(RequestId, ServerId), ()>,
    outbox: Vec<GrantAnswer>,
    changed: bool,
}

impl OwnerBook {
    /// A book of the router on `vm`, without servers.
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            rules: PolicyRules::default(),
            ledgers: BTreeMap::new(),
            ceded: BTreeMap::new(),
            lost: BTreeMap::new(),
            suspects: BTreeSet::new(),
            sums: BTreeMap::new(),
            light: BTreeMap::new(),
            team_open: BTreeMap::new(),
            history: ServiceHistory::default(),
            answers: RecentMap::new(ANSWER_GENERATION),
            closed: RecentMap::new(ANSWER_GENERATION),
            outbox: Vec::new(),
            changed: false,
        }
    }

    /// The VM of this owner.
    pub fn vm(&self) -> VmId {
        self.vm
    }

    /// Takes the rules in force.
    pub fn set_rules(&mut self, rules: PolicyRules) {
        self.rules = rules;
        self.changed = true;
    }

    /// Takes the servers that this router owns now.
    ///
    /// A newly owned server stays in handover until [`Self::import_grants`] or
    /// [`Self::give_up_handover`]. Requests that wait for a lost server are answered `NotOwner` by
    /// the next [`Self::poll`].
    pub fn set_owned(&mut self, now: ClockTime, owned: &[ServerSpec]) -> OwnedChange {
        self.changed = true;
        let lost = self.remove_unowned(now, owned);
        self.lost.retain(|_, lost| now < lost.until);
        self.ceded.retain(|_, ceded| now < ceded.until);
        let mut gained = Vec::new();
        for spec in owned.iter().filter(|spec| !self.ceded.contains_key(&spec.server)) {
            if let Some(ledger) = self.ledgers.get_mut(&spec.server) {
                ledger.spec = spec.clone();
                continue;
            }
            self.ledgers.insert(spec.server, ServerLedger::new(now, spec.clone()));
            gained.push(spec.server);
        }
        OwnedChange { gained, lost }
    }

    /// Decides on a request. A repeated ask gets the same answer.
    pub fn ask(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantAnswer {
        let result = self.known_result(ask).unwrap_or_else(|| self.decide_new(now, ask));
        GrantAnswer { request: ask.request, entry: ask.entry, server: ask.server, result }
    }

    /// Answers to asks that were queued, in the order in which they were decided.
    pub fn poll(&mut self, now: ClockTime) -> Vec<GrantAnswer> {
        self.changed = false;
        let servers: Vec<ServerId> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.queue.len() > 0)
            .map(|(server, _)| *server)
            .collect();
        for server in servers {
            self.turn_away(now, server);
            self.serve_queue(now, server);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Takes the end of a request, or the cancellation of one that waits. Repeats change nothing.
    pub fn release(&mut self, now: ClockTime, release: &GrantRelease) {
        self.closed.insert((release.request, release.server), ());
        if let Some(lost) = self.lost.get_mut(&release.server) {
            lost.export.grants.retain(|grant| grant.request != release.request);
        }
        let Some(ledger) = self.ledgers.get_mut(&release.server) else {
            return;
        };
        ledger.queue.remove(release.request);
        let Some(row) = ledger.remove_grant(release.request) else {
            return;
        };
        self.changed = true;
        match release.outcome {
            ReleaseOutcome::Crashed | ReleaseOutcome::Unreachable => ledger.health.note_suspicion(),
            ReleaseOutcome::Done if !row.imported => {
                self.history.note_service(row.class, now.since(row.at).as_micros() as u64);
            }
            _ => {}
        }
        self.count_closed(row.team);
    }

    /// Takes a server's report of itself.
    pub fn note_probe(&mut self, now: ClockTime, server: ServerId, report: &ServerReport) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        ledger.note_report(now, report, &self.rules);
        self.changed = true;
    }

    /// Notes that a server did not answer a probe.
    pub fn note_probe_failure(&mut self, now: ClockTime, server: ServerId) {
        if let Some(ledger) = self.ledgers.get_mut(&server) {
            ledger.health.note_probe_failure(now, self.rules.hold_down_millis);
            self.changed = true;
        }
    }

    /// The last cache event known of `server`, after which the next probe should ask.
    pub fn last_event(&self, server: ServerId) -> u64 {
        self.ledgers.get(&server).map_or(0, |ledger| ledger.warm.last_sequence())
    }

    /// Takes the sum of a pool's load. An older one than that known is ignored.
    pub fn note_pool_load(&mut self, now: ClockTime, load: &PoolLoad) {
        let sum = PoolSum::from_load(now, load);
        let known = self.sums.get(&load.pool);
        if known.is_some_and(|known| known.counted > sum.counted) {
            return;
        }
        self.sums.insert(load.pool, sum);
        self.light.insert(load.pool, load.light_servers.clone());
        self.changed = true;
    }

    /// Notes in the directory of `home` that a chat was placed on `server`.
    pub fn note_placement(&mut self, chat: ChatId, home: ServerId, server: ServerId) {
        let Some(ledger) = self.ledgers.get_mut(&home) else {
            return;
        };
        if home == server {
            ledger.directory.forget(chat);
        } else {
            ledger.directory.note(chat, server);
        }
    }

    /// Loads of the owned servers, for the aggregators of their pools. A server that takes no work
    /// has no weight; one whose load isn't known yet is left out.
    pub fn load_reports(&self, _now: ClockTime) -> Vec<LoadReport> {
        let mut reports: BTreeMap<PoolId, LoadReport> = BTreeMap::new();
        for ledger in self.ledgers.values().filter(|ledger| !ledger.is_blind()) {
            for pool in &ledger.spec.pools {
                let empty = LoadReport { pool: *pool, loads: Vec::new() };
                let report = reports.entry(*pool).or_insert(empty);
                report.loads.push(ledger.server_load(&self.suspects));
            }
        }
        reports.into_values().collect()
    }

    /// What a new owner of `server` needs; `None` if it isn't owned.
    pub fn export_grants(&self, server: ServerId) -> Option<GrantExport> {
        self.ledgers.get(&server).map(ServerLedger::export)
    }

    /// Hands `server` to another router that believes itself its owner: no more is admitted here,
    /// and [`Self::set_owned`] takes it back only after a while. A server lost not long ago is
    /// handed on once more. `None` if it isn't known.
    pub fn cede(&mut self, now: ClockTime, server: ServerId, to: VmId) -> Option<GrantExport> {
        if let Some(export) = self.remove_ledger(now, server) {
            let until = now.plus_millis(CEDE_MILLIS);
            self.ceded.insert(server, CededServer { until, to });
            return Some(export);
        }
        let lost = self.lost.get(&server).filter(|lost| now < lost.until);
        lost.map(|lost| lost.export.clone())
    }

    /// The router to which `server` was ceded not long ago, for those who still ask this one.
    pub fn ceded_to(&self, server: ServerId) -> Option<VmId> {
        self.ceded.get(&server).map(|ceded| ceded.to)
    }

    /// Takes over what a former owner told, which ends the handover.
    pub fn import_grants(&mut self, now: ClockTime, export: &GrantExport) {
        let Some(ledger) = self.ledgers.get_mut(&export.server) else {
            return;
        };
        let mut teams = Vec::new();
        for grant in &export.grants {
            let released = self.closed.get(&(grant.request, export.server)).is_some();
            if released || ledger.grant(grant.request).is_some() {
                continue;
            }
            let row = GrantRow {
                entry: grant.entry,
                team: grant.team,
                class: grant.class,
                quick: self.rules.class(grant.class).quick,
                warm: false,
                imported: true,
                at: now,
            };
            ledger.insert_grant(grant.request, row);
            teams.push(grant.team);
        }
        for chat in &export.chats {
            ledger.import_chat(now, *chat);
        }
        ledger.finish_import(now, export.foreign);
        self.changed = true;
        for team in teams {
            *self.team_open.entry(team).or_default() += 1;
        }
    }

    /// Ends the handover of `server` without a former owner's grants, once it is known to be dead
    /// or to never have been: from the next report of the server's load on, that load counts.
    pub fn give_up_handover(&mut self, _now: ClockTime, server: ServerId) {
        if let Some(ledger) = self.ledgers.get_mut(&server) {
            ledger.give_up_handover();
            self.changed = true;
        }
    }

    /// Takes the routers that may be gone. Their requests may have ended, so that they no longer
    /// raise the mean; they count on their servers until [`Self::drop_router`].
    pub fn set_suspects(&mut self, suspects: BTreeSet<VmId>) {
        self.suspects = suspects;
    }

    /// Reaps the grants and waiting requests of a router that is gone.
    pub fn drop_router(&mut self, _now: ClockTime, vm: VmId) {
        let mut teams = Vec::new();
        for ledger in self.ledgers.values_mut() {
            ledger.queue.take_all(|entry| entry.ask.entry == vm);
            let dead = ledger.grants().filter(|(_, row)| row.entry == vm);
            let dead: Vec<RequestId> = dead.map(|(request, _)| request).collect();
            let rows = dead.into_iter().filter_map(|request| ledger.remove_grant(request));
            teams.extend(rows.map(|row| row.team));
        }
        self.changed = true;
        for team in teams {
            self.count_closed(team);
        }
    }

    /// Grants held by the router on `vm` that it should confirm: old ones, of servers that report
    /// fewer requests than were granted, and very old ones.
    pub fn audit(&self, now: ClockTime, vm: VmId) -> Vec<GrantAudit> {
        let audits = self.ledgers.iter().map(|(server, ledger)| GrantAudit {
            server: *server,
            requests: doubtful_grants(now, ledger, vm),
        });
        audits.filter(|audit| !audit.requests.is_empty()).collect()
    }

    /// Closes the grants of `server` that the router on `vm` says it no longer holds.
    pub fn close_audited(&mut self, vm: VmId, server: ServerId, closed: &[RequestId]) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        let mut teams = Vec::new();
        for request in closed {
            let held = ledger.grant(*request).is_some_and(|row| row.entry == vm);
            if held {
                teams.extend(ledger.remove_grant(*request).map(|row| row.team));
                self.closed.insert((*request, server), ());
            }
        }
        self.changed = true;
        for team in teams {
            self.count_closed(team);
        }
    }

    /// State of the owned servers.
    pub fn server_states(&self, now: ClockTime) -> Vec<ServerState> {
        self.ledgers.values().map(|ledger| self.server_state(now, ledger)).collect()
    }

    /// When [`Self::poll`] must run next; `None` if nothing waits.
    pub fn next_due(&self, now: ClockTime) -> Option<ClockTime> {
        let waiting = self.ledgers.values().filter(|ledger| ledger.queue.len() > 0);
        if !self.outbox.is_empty() || (self.changed && waiting.clone().next().is_some()) {
            return Some(now);
        }
        let settled = waiting.clone().map(ServerLedger::settled_at).filter(|at| *at > now);
        let entries = waiting.flat_map(|ledger| ledger.queue.iter()).map(QueuedAsk::due_at);
        settled.chain(entries).min()
    }

    fn known_result(&self, ask: &GrantAsk) -> Option<GrantResult> {
        if self.closed.get(&(ask.request, ask.server)).is_some() {
            return Some(refused(RefusalReason::Cancelled, 0));
        }
        let ledger = self.ledgers.get(&ask.server)?;
        if let Some(row) = ledger.grant(ask.request) {
            return Some(GrantResult::Granted { warm: row.warm });
        }
        if ledger.queue.find(ask.request).is_some() {
            return Some(GrantResult::Queued);
        }
        self.answers.get(&AskKey::new(ask))
    }

    fn decide_new(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let result = match self.screen(now, ledger, ask) {
            Some(result) => result,
            None => self.place(now, ask),
        };
        if !matches!(result, GrantResult::Granted { .. } | GrantResult::Queued) {
            self.answers.insert(AskKey::new(ask), result);
        }
        result
    }

    /// Answers that don't depend on the server's load.
    fn screen(&self, now: ClockTime, ledger: &ServerLedger, ask: &GrantAsk) -> Option<GrantResult> {
        if !ledger.spec.pools.contains(&ask.pool) {
            return Some(self.overflow(ask, OverflowCause::WrongPool));
        }
        if let Some(cause) = closed_cause(now, ledger) {
            let away = find_away(ledger, ask);
            return Some(away.unwrap_or_else(|| self.overflow(ask, cause)));
        }
        if self.team_open(ask.team) >= self.rules.team(ask.team).max_open {
            return Some(refused(RefusalReason::TeamLimit, RETRY_MILLIS));
        }
        if ask.follow_directory && !ledger.warm.holds(ask.chat) {
            return self.find_elsewhere(now, ledger, ask);
        }
        None
    }

    fn find_elsewhere(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
    ) -> Option<GrantResult> {
        if let Some(redirect) = find_away(ledger, ask) {
            return Some(redirect);
        }
        let at_home = ask.rank == 0 && !ledger.warm.is_complete(now);
        (!at_home).then(|| self.overflow(ask, OverflowCause::NotWarm))
    }

    fn place(&mut self, now: ClockTime, ask: &GrantAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let policy = self.rules.class(ask.class);
        let entry = self.queue_entry(now, ledger, ask, policy);
        let first = ledger.queue.count_ahead(&entry) == 0;
        if first && ledger.has_room(now, self.bound(now, ledger), policy.quick, &self.rules) {
            return self.grant(now, ask, policy, entry.warm);
        }
        self.wait_or_overflow(now, ledger.spec.slots, entry)
    }

    fn wait_or_overflow(&mut self, now: ClockTime, slots: u32, entry: QueuedAsk) -> GrantResult {
        let Some(ledger) = self.ledgers.get(&entry.ask.server) else {
            return GrantResult::NotOwner;
        };
        let wait_micros = self.expect_wait(now, ledger, &entry);
        let worth_waiting = entry.warm && self.prefers_waiting(&entry, wait_micros);
        if !entry.ask.must_queue && !worth_waiting {
            if let Some(redirect) = find_away(ledger, &entry.ask) {
                return redirect;
            }
            let cause =
                if ledger.is_blind() { OverflowCause::Handover } else { OverflowCause::Full };
            return self.overflow(&entry.ask, cause);
        }
        let needed = wait_micros + entry.expect_micros;
        if now.0.saturating_add(needed) > entry.deadline.0 {
            return refused(RefusalReason::DeadlineUnmet, (wait_micros / 1000) as u32);
        }
        if ledger.queue.len() as u32 >= slots.saturating_mul(QUEUE_PER_SLOT) {
            return refused(RefusalReason::Overloaded, (wait_micros / 1000) as u32);
        }
        let patience = (!entry.ask.must_queue).then(|| ClockTime(now.0 + 2 * wait_micros));
        let entry = QueuedAsk { patience, ..entry };
        if let Some(ledger) = self.ledgers.get_mut(&entry.ask.server) {
            ledger.queue.push(entry);
        }
        GrantResult::Queued
    }

    fn queue_entry(
        &self,
        now: ClockTime,
        ledger: &ServerLedger,
        ask: &GrantAsk,
        policy: ClassPolicy,
    ) -> QueuedAsk {
        QueuedAsk {
            ask: *ask,
            policy,
            at: now,
            deadline: now.plus_millis(u64::from(ask.deadline_millis)),
            patience: None,
            expect_micros: self.history.expect_micros(ask.class, policy),
            warm: ledger.warm.holds(ask.chat),
        }
    }

    /// Whether waiting costs less than computing the prefix again on another server.
    fn prefers_waiting(&self, entry: &QueuedAsk, wait_micros: u64) -> bool {
        let prefill =
            u64::from(entry.ask.prompt_tokens) * u64::from(self.rules.prefill_micros_per_token);
        let cold_cost = prefill * u64::from(self.rules.reuse_weight_percent);
        let wait_cost = wait_micros * u64::from(self.rules.skew_weight_percent);
        wait_cost <= cold_cost
    }

    /// Expected wait of a request that would be queued now, in microseconds.
    fn expect_wait(&self, now: ClockTime, ledger: &ServerLedger, entry: &QueuedAsk) -> u64 {
        let ahead = ledger.queue.count_ahead(entry) as u64;
        let running = u64::from(ledger.load().min(self.bound(now, ledger)).max(1));
        (ahead + 1) * entry.expect_micros / running
    }

    fn grant(
        &mut self,
        now: ClockTime,
        ask: &GrantAsk,
        policy: ClassPolicy,
        warm: bool,
    ) -> GrantResult {
        let Some(ledger) = self.ledgers.get_mut(&ask.server) else {
            return GrantResult::NotOwner;
        };
        let row = GrantRow {
            entry: ask.entry,
            team: ask.team,
            class: ask.class,
            quick: policy.quick,
            warm,
            imported: false,
            at: now,
        };
        ledger.insert_grant(ask.request, row);
        ledger.warm.note_use(now, ask.chat);
        *self.team_open.entry(ask.team).or_default() += 1;
        GrantResult::Granted { warm }
    }

    /// Answers waiting requests that this server won't serve.
    fn turn_away(&mut self, now: ClockTime, server: ServerId) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        let closed = closed_cause(now, ledger);
        let late = ledger.queue.take_all(|entry| now >= entry.latest_start());
        let moved = ledger.queue.take_all(|entry| {
            closed.is_some() || entry.patience.is_some_and(|patience| now >= patience)
        });
        for entry in late {
            let result = refused(RefusalReason::DeadlineUnmet, RETRY_MILLIS);
            self.answer_queued(&entry.ask, result);
        }
        for entry in moved {
            let result = self.overflow(&entry.ask, closed.unwrap_or(OverflowCause::Full));
            self.answer_queued(&entry.ask, result);
        }
    }

    fn serve_queue(&mut self, now: ClockTime, server: ServerId) {
        while let Some(entry) = self.next_served(now, server) {
            let result = self.grant(now, &entry.ask, entry.policy, entry.warm);
            self.answer_queued(&entry.ask, result);
        }
    }

    fn next_served(&mut self, now: ClockTime, server: ServerId) -> Option<QueuedAsk> {
        let ledger = self.ledgers.get(&server)?;
        let bound = self.bound(now, ledger);
        let room_quick = ledger.has_room(now, bound, true, &self.rules);
        let room_long = ledger.has_room(now, bound, false, &self.rules);
        let ledger = self.ledgers.get_mut(&server)?;
        if !room_quick {
            return None;
        }
        ledger.queue.pop(now, room_long, &self.rules)
    }

    fn answer_queued(&mut self, ask: &GrantAsk, result: GrantResult) {
        if !matches!(result, GrantResult::Granted { .. }) {
            self.answers.insert(AskKey::new(ask), result);
        }
        let answer =
            GrantAnswer { request: ask.request, entry: ask.entry, server: ask.server, result };
        self.outbox.push(answer);
    }

    /// Most requests that the server may carry, by the mean of each of its pools.
    fn bound(&self, now: ClockTime, ledger: &ServerLedger) -> u32 {
        let rules = BoundRules {
            percent: self.rules.bound_percent,
            service_micros: self.history.mean_micros(),
        };
        let sums = ledger.spec.pools.iter().map(|pool| self.sums.get(pool));
        let bounds = sums.map(|sum| sum.map_or(1, |sum| sum.bound(now, ledger.spec.weight, rules)));
        bounds.min().unwrap_or(1)
    }

    fn overflow(&self, ask: &GrantAsk, cause: OverflowCause) -> GrantResult {
        GrantResult::Overflow { cause, light: self.choose_light(ask) }
    }

    /// One of the pool's light servers, drawn by the request so that requests spread over them.
    fn choose_light(&self, ask: &GrantAsk) -> Option<ServerId> {
        let light = self.light.get(&ask.pool)?;
        let others: Vec<ServerId> =
            light.iter().copied().filter(|server| *server != ask.server).collect();
        let place = mix_pair(ask.request.0, ask.server.0) as usize;
        others.get(place % others.len().max(1)).copied()
    }

    fn team_open(&self, team: TeamId) -> u32 {
        self.team_open.get(&team).copied().unwrap_or(0)
    }

    fn count_closed(&mut self, team: TeamId) {
        if let Some(open) = self.team_open.get_mut(&team) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.team_open.remove(&team);
            }
        }
    }

    fn remove_unowned(&mut self, now: ClockTime, owned: &[ServerSpec]) -> Vec<GrantExport> {
        let kept = |server: &ServerId| owned.iter().any(|spec| spec.server == *server);
        let lost: Vec<ServerId> = self.ledgers.keys().copied().filter(|id| !kept(id)).collect();
        lost.into_iter().filter_map(|server| self.remove_ledger(now, server)).collect()
    }

    fn remove_ledger(&mut self, now: ClockTime, server: ServerId) -> Option<GrantExport> {
        let mut ledger = self.ledgers.remove(&server)?;
        for entry in ledger.queue.take_all(|_| true) {
            let ask = entry.ask;
            let result = GrantResult::NotOwner;
            let answer = GrantAnswer { request: ask.request, entry: ask.entry, server, result };
            self.outbox.push(answer);
        }
        let teams: Vec<TeamId> = ledger.grants().map(|(_, row)| row.team).collect();
        for team in teams {
            self.count_closed(team);
        }
        let export = ledger.export();
        let until = now.plus_millis(CEDE_MILLIS);
        self.lost.insert(server, LostServer { until, export: export.clone() });
        Some(export)
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

fn refused(reason: RefusalReason, retry_after_millis: u32) -> GrantResult {
    GrantResult::Refused(GrantRefusal { reason, retry_after_millis })
}

/// A redirect to the other server where the directory has the chat, if the ask follows those.
fn find_away(ledger: &ServerLedger, ask: &GrantAsk) -> Option<GrantResult> {
    let away = ledger.directory.find(ask.chat).filter(|server| *server != ask.server);
    away.filter(|_| ask.follow_directory).map(|server| GrantResult::Redirect { server })
}

fn doubtful_grants(now: ClockTime, ledger: &ServerLedger, vm: VmId) -> Vec<RequestId> {
    let age = if ledger.has_excess() { AUDIT_AGE_MILLIS } else { AUDIT_ALWAYS_MILLIS };
    let held = ledger.grants().filter(|(_, row)| row.entry == vm);
    let old = held.filter(|(_, row)| now.millis_since(row.at) >= age);
    old.map(|(request, _)| request).collect()
}

/// Why a server takes no work at all.
fn closed_cause(now: ClockTime, ledger: &ServerLedger) -> Option<OverflowCause> {
    if ledger.leaving {
        return Some(OverflowCause::Leaving);
    }
    (!ledger.health.takes_work(now)).then_some(OverflowCause::HeldDown)
}
