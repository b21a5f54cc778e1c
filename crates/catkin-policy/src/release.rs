//! End of grants: releases, removal of dead routers, and audits.

use std::collections::BTreeSet;

use catkin_base::{ClockTime, RequestId, ServerId, TeamId, VmId};

use crate::grant::{GrantAudit, GrantRelease, ReleaseOutcome};
use crate::ledger::ServerLedger;
use crate::owner::AdmissionOwner;

/// Minimum age of an audited grant if the server reports fewer requests than were granted, in
/// milliseconds.
const AUDIT_AGE_MILLIS: u64 = 5_000;
/// Minimum age of an audited grant whatever the server reports, in milliseconds.
const AUDIT_ALWAYS_MILLIS: u64 = 45_000;

impl AdmissionOwner {
    /// Closes the grant of a request that ended, or removes a queued request that was cancelled. A
    /// repeated release changes nothing.
    pub fn handle_release(&mut self, now: ClockTime, release: &GrantRelease) {
        self.released.insert((release.request, release.server), ());
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
        self.needs_poll = true;
        match release.outcome {
            ReleaseOutcome::Crashed | ReleaseOutcome::Unreachable => ledger.health.mark_suspect(),
            ReleaseOutcome::Done if !row.imported => {
                self.history
                    .record_service(row.class, now.since(row.granted_at).as_micros() as u64);
            }
            _ => {}
        }
        self.count_closed(row.team);
    }

    /// Sets the routers that are suspected dead. Their requests may have ended, and so are left out
    /// of the load reports; they still count on their servers until [`Self::drop_router`].
    pub fn set_suspects(&mut self, suspects: BTreeSet<VmId>) {
        self.suspects = suspects;
    }

    /// Removes the grants and queued requests of the dead router on `vm`.
    pub fn drop_router(&mut self, _now: ClockTime, vm: VmId) {
        let mut teams = Vec::new();
        for ledger in self.ledgers.values_mut() {
            ledger.queue.remove_all(|queued| queued.ask.entry == vm);
            let orphaned = ledger.grants().filter(|(_, row)| row.entry == vm);
            let orphaned: Vec<RequestId> = orphaned.map(|(request, _)| request).collect();
            let rows = orphaned.into_iter().filter_map(|request| ledger.remove_grant(request));
            teams.extend(rows.map(|row| row.team));
        }
        self.needs_poll = true;
        for team in teams {
            self.count_closed(team);
        }
    }

    /// Returns the grants that the router on `vm` should confirm: old ones on servers that report
    /// fewer requests than were granted, and very old ones on any server.
    pub fn audit_grants(&self, now: ClockTime, vm: VmId) -> Vec<GrantAudit> {
        let audits = self.ledgers.iter().map(|(server, ledger)| GrantAudit {
            server: *server,
            requests: select_unconfirmed(now, ledger, vm),
        });
        audits.filter(|audit| !audit.requests.is_empty()).collect()
    }

    /// Closes the grants of `server` that the router on `vm` no longer holds, as answered to an
    /// audit.
    pub fn close_audited(&mut self, vm: VmId, server: ServerId, closed: &[RequestId]) {
        let Some(ledger) = self.ledgers.get_mut(&server) else {
            return;
        };
        let mut teams = Vec::new();
        for request in closed {
            let held = ledger.grant(*request).is_some_and(|row| row.entry == vm);
            if held {
                teams.extend(ledger.remove_grant(*request).map(|row| row.team));
                self.released.insert((*request, server), ());
            }
        }
        self.needs_poll = true;
        for team in teams {
            self.count_closed(team);
        }
    }

    pub(crate) fn count_closed(&mut self, team: TeamId) {
        if let Some(open) = self.team_open.get_mut(&team) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.team_open.remove(&team);
            }
        }
    }
}

fn select_unconfirmed(now: ClockTime, ledger: &ServerLedger, vm: VmId) -> Vec<RequestId> {
    let age = if ledger.needs_audit() { AUDIT_AGE_MILLIS } else { AUDIT_ALWAYS_MILLIS };
    let held = ledger.grants().filter(|(_, row)| row.entry == vm);
    let old = held.filter(|(_, row)| now.millis_since(row.granted_at) >= age);
    old.map(|(request, _)| request).collect()
}
