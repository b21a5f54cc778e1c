//! Handover of servers between owners.

use catkin_base::{ClockTime, ServerId, TeamId, VmId, value_type};

use crate::grant::{GrantAnswer, GrantExport, GrantResult};
use crate::ledger::{GrantRow, ServerLedger};
use crate::owner::AdmissionOwner;
use crate::spec::ServerSpec;

/// Time for which a ceded server is not reclaimed, and for which the grants of a lost server are
/// retained, in milliseconds.
const CEDE_HOLD_MILLIS: u64 = 10_000;

value_type! {
    /// Change in the set of servers that a router owns.
    pub struct OwnershipChange {
        /// Servers newly owned, which start in handover.
        pub gained: Vec<ServerId>,
        /// Exports of the servers no longer owned, for their new owners.
        pub lost: Vec<GrantExport>,
    }
}

/// A server that was ceded to another router on its request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CededServer {
    pub(crate) until: ClockTime,
    pub(crate) to: VmId,
}

/// The last export of a server that this router no longer owns.
#[derive(Debug, Clone)]
pub(crate) struct LostServer {
    pub(crate) until: ClockTime,
    pub(crate) export: GrantExport,
}

impl AdmissionOwner {
    /// Sets the servers that this router owns.
    ///
    /// A newly owned server stays in handover until [`Self::import_grants`] or
    /// [`Self::give_up_handover`]. The next [`Self::poll`] answers requests that are queued for a
    /// lost server with `NotOwner`. A ceded server is skipped until it is handed back or the record
    /// of the cede expires.
    pub fn set_owned(&mut self, now: ClockTime, owned: &[ServerSpec]) -> OwnershipChange {
        self.needs_poll = true;
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
        OwnershipChange { gained, lost }
    }

    /// Returns the state of `server` for a new owner; `None` if this router does not own it.
    pub fn export_grants(&self, server: ServerId) -> Option<GrantExport> {
        self.ledgers.get(&server).map(ServerLedger::export)
    }

    /// Cedes `server` to the router on `to`, which considers itself the owner, and returns the
    /// state for it.
    ///
    /// This router admits no more requests to the server, and [`Self::set_owned`] does not reclaim
    /// it until the record of the cede expires or [`Self::end_cede`] removes it. For a server that
    /// was lost recently, the last export is returned again. `None` if the server is neither owned
    /// nor recently lost.
    pub fn cede(&mut self, now: ClockTime, server: ServerId, to: VmId) -> Option<GrantExport> {
        if let Some(export) = self.remove_ledger(now, server) {
            let until = now.plus_millis(CEDE_HOLD_MILLIS);
            self.ceded.insert(server, CededServer { until, to });
            return Some(export);
        }
        let lost = self.lost.get(&server).filter(|lost| now < lost.until);
        lost.map(|lost| lost.export.clone())
    }

    /// Removes the record that `server` was ceded to the router on `by`, which has handed it back.
    pub fn end_cede(&mut self, server: ServerId, by: VmId) {
        if self.ceded.get(&server).is_some_and(|ceded| ceded.to == by) {
            self.ceded.remove(&server);
        }
    }

    /// Whether [`Self::set_owned`] would add `server`: it is neither owned nor ceded.
    pub fn can_reclaim(&self, now: ClockTime, server: ServerId) -> bool {
        let is_ceded = self.ceded.get(&server).is_some_and(|ceded| now < ceded.until);
        !is_ceded && !self.ledgers.contains_key(&server)
    }

    /// Returns the router to which `server` was ceded recently, to redirect peers that still
    /// address this router.
    pub fn ceded_to(&self, server: ServerId) -> Option<VmId> {
        self.ceded.get(&server).map(|ceded| ceded.to)
    }

    /// Imports the state that a former owner exported, and ends the handover.
    pub fn import_grants(&mut self, now: ClockTime, export: &GrantExport) {
        let Some(ledger) = self.ledgers.get_mut(&export.server) else {
            return;
        };
        let mut teams = Vec::new();
        for grant in &export.grants {
            let released = self.released.get(&(grant.request, export.server)).is_some();
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
                granted_at: now,
            };
            ledger.insert_grant(grant.request, row);
            teams.push(grant.team);
        }
        for chat in &export.chats {
            ledger.import_chat(now, *chat);
        }
        ledger.finish_import(now, export.foreign);
        self.needs_poll = true;
        for team in teams {
            *self.team_open.entry(team).or_default() += 1;
        }
    }

    /// Ends the handover of `server` without an import, because its former owner is dead or never
    /// existed. The load that the server reports then counts in place of imported grants; without a
    /// report so far, the handover ends with the first one.
    pub fn give_up_handover(&mut self, _now: ClockTime, server: ServerId) {
        if let Some(ledger) = self.ledgers.get_mut(&server) {
            ledger.give_up_handover();
            self.needs_poll = true;
        }
    }

    fn remove_unowned(&mut self, now: ClockTime, owned: &[ServerSpec]) -> Vec<GrantExport> {
        let is_owned = |server: &ServerId| owned.iter().any(|spec| spec.server == *server);
        let lost: Vec<ServerId> = self.ledgers.keys().copied().filter(|id| !is_owned(id)).collect();
        lost.into_iter().filter_map(|server| self.remove_ledger(now, server)).collect()
    }

    fn remove_ledger(&mut self, now: ClockTime, server: ServerId) -> Option<GrantExport> {
        let mut ledger = self.ledgers.remove(&server)?;
        for queued in ledger.queue.remove_all(|_| true) {
            let ask = queued.ask;
            let result = GrantResult::NotOwner;
            let answer = GrantAnswer { request: ask.request, entry: ask.entry, server, result };
            self.outbox.push(answer);
        }
        let teams: Vec<TeamId> = ledger.grants().map(|(_, row)| row.team).collect();
        for team in teams {
            self.count_closed(team);
        }
        let export = ledger.export();
        let until = now.plus_millis(CEDE_HOLD_MILLIS);
        self.lost.insert(server, LostServer { until, export: export.clone() });
        Some(export)
    }
}
