//! Grants, queue and evidence of one owned server.

use std::collections::BTreeMap;

use catkin_base::{ClassId, ClockTime, RequestId, ServerId, TeamId, VmId};

use crate::grant::{GrantExport, OpenGrant, WarmChat};
use crate::health::ServerHealth;
use crate::load::{ServerLoad, ServerReport};
use crate::queue::FairQueue;
use crate::rules::PolicyRules;
use crate::spec::ServerSpec;
use crate::state::OwnerPhase;
use crate::warm::{PlacementDirectory, WarmBook};

/// Time for which a server that joined counts in the mean before it gets more than one request, in
/// milliseconds.
pub(crate) const JOIN_SETTLE_MILLIS: u64 = 3_000;
/// Most time by which a server's report of its load is late, in milliseconds.
const REPORT_LAG_MILLIS: u64 = 2_000;
/// Reports over whose time the peak of own grants is kept.
const PEAK_REPORTS: usize = 3;
/// Most chats told to a new owner.
const MAX_EXPORT_CHATS: usize = 4_096;

/// One open grant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantRow {
    pub(crate) entry: VmId,
    pub(crate) team: TeamId,
    pub(crate) class: ClassId,
    pub(crate) quick: bool,
    pub(crate) warm: bool,
    pub(crate) imported: bool,
    pub(crate) at: ClockTime,
}

/// What an owner knows of one server.
#[derive(Debug, Clone)]
pub(crate) struct ServerLedger {
    pub(crate) spec: ServerSpec,
    pub(crate) queue: FairQueue,
    pub(crate) warm: WarmBook,
    pub(crate) directory: PlacementDirectory,
    pub(crate) health: ServerHealth,
    pub(crate) leaving: bool,
    grants: BTreeMap<RequestId, GrantRow>,
    long_open: u32,
    phase: OwnerPhase,
    given_up: bool,
    settled_at: ClockTime,
    sample: Option<LoadSample>,
    foreign: u32,
    peaks: [u32; PEAK_REPORTS],
    handover_grants: u32,
}

/// The last load that the server reported.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    at: ClockTime,
    open: u32,
}

impl ServerLedger {
    pub(crate) fn new(now: ClockTime, spec: ServerSpec) -> Self {
        Self {
            spec,
            queue: FairQueue::default(),
            warm: WarmBook::new(now),
            directory: PlacementDirectory::new(),
            health: ServerHealth::default(),
            leaving: false,
            grants: BTreeMap::new(),
            long_open: 0,
            phase: OwnerPhase::Handover,
            given_up: false,
            settled_at: now.plus_millis(JOIN_SETTLE_MILLIS),
            sample: None,
            foreign: 0,
            peaks: [0; PEAK_REPORTS],
            handover_grants: 0,
        }
    }

    pub(crate) fn phase(&self) -> OwnerPhase {
        self.phase
    }

    pub(crate) fn foreign(&self) -> u32 {
        self.foreign
    }

    pub(crate) fn settled_at(&self) -> ClockTime {
        self.settled_at
    }

    pub(crate) fn grant(&self, request: RequestId) -> Option<&GrantRow> {
        self.grants.get(&request)
    }

    pub(crate) fn grants(&self) -> impl Iterator<Item = (RequestId, &GrantRow)> {
        self.grants.iter().map(|(request, row)| (*request, row))
    }

    /// Requests counted as open on the server.
    pub(crate) fn load(&self) -> u32 {
        let own = self.grants.len() as u32;
        match (self.phase, self.sample) {
            (OwnerPhase::Steady, _) => own + self.foreign,
            (OwnerPhase::Handover, Some(sample)) => {
                own.max(sample.open + self.grants_since(sample))
            }
            (OwnerPhase::Handover, None) => own,
        }
    }

    /// Whether the server may take one more request under `bound`.
    pub(crate) fn has_room(
        &self,
        now: ClockTime,
        bound: u32,
        quick: bool,
        rules: &PolicyRules,
    ) -> bool {
        let load = self.load();
        let limit = if now < self.settled_at { 1 } else { bound.min(self.spec.slots) };
        if load >= limit || !self.handover_allows(load, limit) {
            return false;
        }
        quick || self.long_open < rules.long_slots(self.spec.slots)
    }

    /// Whether the load that the server reported is needed and missing.
    pub(crate) fn is_blind(&self) -> bool {
        self.phase == OwnerPhase::Handover && self.sample.is_none()
    }

    pub(crate) fn insert_grant(&mut self, request: RequestId, row: GrantRow) {
        if !row.quick {
            self.long_open += 1;
        }
        if self.phase == OwnerPhase::Handover {
            self.handover_grants += 1;
        }
        self.grants.insert(request, row);
        let own = self.grants.len() as u32;
        self.peaks[0] = self.peaks[0].max(own);
    }

    pub(crate) fn remove_grant(&mut self, request: RequestId) -> Option<GrantRow> {
        let row = self.grants.remove(&request)?;
        if !row.quick {
            self.long_open -= 1;
        }
        Some(row)
    }

    pub(crate) fn note_report(
        &mut self,
        now: ClockTime,
        report: &ServerReport,
        rules: &PolicyRules,
    ) {
        if self.warm.is_restart(report.incarnation) {
            self.health.note_restart(now, rules.hold_down_millis);
            self.settled_at = now.plus_millis(JOIN_SETTLE_MILLIS);
        }
        if self.health.note_success() {
            self.settled_at = now.plus_millis(JOIN_SETTLE_MILLIS);
        }
        self.warm.note_report(now, report);
        self.leaving = report.leaving;
        self.note_sample(now, report.open);
        if self.given_up {
            self.phase = OwnerPhase::Steady;
        }
    }

    pub(crate) fn give_up_handover(&mut self) {
        self.given_up = true;
        if self.sample.is_some() {
            self.phase = OwnerPhase::Steady;
        }
    }

    pub(crate) fn finish_import(&mut self, now: ClockTime) {
        self.phase = OwnerPhase::Steady;
        self.given_up = true;
        self.settled_at = now;
    }

    /// Whether the server counts in the mean of its pools.
    pub(crate) fn counts_in_mean(&self) -> bool {
        !self.leaving && !self.health.is_down() && !self.is_blind()
    }

    pub(crate) fn server_load(&self) -> ServerLoad {
        let weight = self.spec.weight.max(1);
        ServerLoad { server: self.spec.server, open: self.load(), weight }
    }

    pub(crate) fn export(&self) -> GrantExport {
        let grants = self.grants().map(|(request, row)| OpenGrant {
            request,
            entry: row.entry,
            team: row.team,
            class: row.class,
        });
        let away = self.directory.iter().map(|(chat, server)| WarmChat { chat, server });
        let here = self.warm.recent_chats().map(|chat| WarmChat { chat, server: self.server() });
        GrantExport {
            server: self.server(),
            grants: grants.collect(),
            chats: away.chain(here).take(MAX_EXPORT_CHATS).collect(),
        }
    }

    pub(crate) fn import_chat(&mut self, now: ClockTime, warm: WarmChat) {
        if warm.server == self.server() {
            self.warm.note_use(now, warm.chat);
        } else {
            self.directory.note(warm.chat, warm.server);
        }
    }

    fn server(&self) -> ServerId {
        self.spec.server
    }

    /// Own grants that the last report may not contain yet.
    fn grants_since(&self, sample: LoadSample) -> u32 {
        let horizon = ClockTime(sample.at.0.saturating_sub(REPORT_LAG_MILLIS * 1000));
        self.grants.values().filter(|row| row.at >= horizon).count() as u32
    }

    /// During handover half of the room is left to a former owner that may still admit.
    fn handover_allows(&self, load: u32, limit: u32) -> bool {
        if self.phase == OwnerPhase::Steady {
            return true;
        }
        let room_at_sample = limit.saturating_sub(load.saturating_sub(self.handover_grants));
        self.sample.is_some() && self.handover_grants < room_at_sample / 2
    }

    fn note_sample(&mut self, now: ClockTime, open: u32) {
        let peak = self.peaks.iter().copied().max().unwrap_or(0);
        self.foreign = open.saturating_sub(peak);
        self.peaks.rotate_right(1);
        self.peaks[0] = self.grants.len() as u32;
        self.sample = Some(LoadSample { at: now, open });
        self.handover_grants = 0;
    }
}
