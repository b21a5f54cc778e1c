//! Servers that change owners.

use catkin_base::{ClockTime, ServerId, TeamId, VmId, value_type};

use crate::grant::{GrantAnswer, GrantExport, GrantResult};
use crate::ledger::{GrantRow, ServerLedger};
use crate::owner::AdmissionOwner;
use crate::spec::ServerSpec;

/// Time for which a server that was ceded to another owner is not taken back, and for which the
/// grants of a lost server are kept, in milliseconds.
const CEDE_HOLD_MILLIS: u64 = 10_000;

value_type! {
    /// What changed when a router's share of the servers changed.
    pub struct OwnershipChange {
        /// Servers newly owned, in handover.
        pub gained: Vec<ServerId>,
        /// Servers no longer owned, with what their new owners need.
        pub lost: Vec<GrantExport>,
    }
}

/// A server that was handed to a router that asked for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CededServer {
    pub(crate) until: ClockTime,
    pub(crate) to: VmId,
}

/// What is kept of a server that was lost to another owner.
#[derive(Debug, Clone)]
pub(crate) struct LostServer {
    pub(crate) until: ClockTime,
    pub(crate) export: GrantExport,
}

impl AdmissionOwner {
    /// Takes the servers that this router owns now.
    ///
    /// A newly owned server stays in handover until [`Self::import_grants`] or
    /// [`Self::give_up_handover`]. Requests that wait for a lost server are answered `NotOwner` by
    /// the next [`Self::poll`].
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

    /// What a new owner of `server` needs; `None` if it isn't owned.
    pub fn export_grants(&self, server: ServerId) -> Option<GrantExport> {
        self.ledgers.get(&server).map(ServerLedger::export)
    }

    /// Hands `server` to another router that believes itself its owner: no more is admitted here,
    /// and [`Self::set_owned`] takes it back only after a while. A server lost not long ago is
    /// handed on once more. `None` if it isn't known.
    pub fn cede(&mut self, now: ClockTime, server: ServerId, to: VmId) -> Option<GrantExport> {
        if let Some(export) = self.remove_ledger(now, server) {
            let until = now.plus_millis(CEDE_HOLD_MILLIS);
            self.ceded.insert(server, CededServer { until, to });
            return Some(export);
        }
        let lost = self.lost.get(&server).filter(|lost| now < lost.until);
        lost.map(|lost| lost.export.clone())
    }

    /// Ends the cession of `server` to `by`, which has handed it back.
    pub fn end_cession(&mut self, server: ServerId, by: VmId) {
        if self.ceded.get(&server).is_some_and(|ceded| ceded.to == by) {
            self.ceded.remove(&server);
        }
    }

    /// Whether a server that this router should own was ceded and may be taken back by
    /// [`Self::set_owned`].
    pub fn can_reclaim(&self, now: ClockTime, server: ServerId) -> bool {
        let is_ceded = self.ceded.get(&server).is_some_and(|ceded| now < ceded.until);
        !is_ceded && !self.ledgers.contains_key(&server)
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

    /// Ends the handover of `server` without a former owner's grants, once it is known to be dead
    /// or to never have been: from the next report of the server's load on, that load counts.
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
