//! State of one owned server: grants, queue, health, cached chats and load estimate.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClassId, ClockTime, RequestId, ServerId, TeamId, VmId};

use crate::grant::{GrantExport, OpenGrant, WarmChat};
use crate::health::ServerHealth;
use crate::load::{ServerLoad, ServerReport};
use crate::queue::FairQueue;
use crate::rules::PolicyRules;
use crate::spec::ServerSpec;
use crate::state::OwnerPhase;
use crate::warm::{PlacementDirectory, WarmIndex};

/// Slow start of a server that joined or recovered, in milliseconds. Until it is over, the server
/// gets one request at a time, because it does not count in the load totals of all owners yet.
pub(crate) const SLOW_START_MILLIS: u64 = 3_000;
/// Maximum delay of a server's load report, in milliseconds.
const MAX_REPORT_LAG_MILLIS: u64 = 2_000;
/// Number of report intervals over which the minimum and maximum of granted requests are tracked.
const RANGE_WINDOW_REPORTS: usize = 3;
/// Number of reports for which grants are audited after a report that showed fewer requests than
/// grants.
const AUDIT_REPORTS: u32 = 3;
/// Number of reports for which another owner is assumed to admit requests too, after a report
/// showed new grants of it.
const OTHER_OWNER_REPORTS: u32 = 10;
/// Maximum number of chats in an export to a new owner.
const MAX_EXPORTED_CHATS: usize = 4_096;

/// One open grant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantRow {
    pub(crate) entry: VmId,
    pub(crate) team: TeamId,
    pub(crate) class: ClassId,
    pub(crate) quick: bool,
    pub(crate) warm: bool,
    pub(crate) imported: bool,
    pub(crate) granted_at: ClockTime,
}

/// State of one server that this router owns.
#[derive(Debug, Clone)]
pub(crate) struct ServerLedger {
    pub(crate) spec: ServerSpec,
    pub(crate) queue: FairQueue,
    pub(crate) warm: WarmIndex,
    pub(crate) directory: PlacementDirectory,
    pub(crate) health: ServerHealth,
    pub(crate) leaving: bool,
    grants: BTreeMap<RequestId, GrantRow>,
    long_open: u32,
    phase: OwnerPhase,
    /// Whether the wait for an import has ended; the handover then ends with the next load report.
    import_ended: bool,
    slow_start_end: ClockTime,
    sample: Option<LoadSample>,
    /// Estimated number of open requests that this owner did not grant.
    foreign: u32,
    /// Number of open requests that this owner can't have granted, by the last report.
    min_foreign: u32,
    /// Remaining reports for which another owner is assumed to admit requests too.
    other_owner_reports: u32,
    /// Number of reports since the first one or since the import.
    sample_count: u32,
    /// Remaining reports for which grants are audited.
    audit_reports: u32,
    /// Ranges of the last report intervals, the current one first.
    ranges: [GrantRange; RANGE_WINDOW_REPORTS],
    /// Number of grants since the last report.
    grants_since_report: u32,
}

/// Minimum and maximum number of this owner's open grants between two reports.
#[derive(Debug, Clone, Copy, Default)]
struct GrantRange {
    min_count: u32,
    max_count: u32,
}

/// Load of the server, sampled by its last report.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    sampled_at: ClockTime,
    open: u32,
}

impl ServerLedger {
    pub(crate) fn new(now: ClockTime, spec: ServerSpec) -> Self {
        Self {
            spec,
            queue: FairQueue::default(),
            warm: WarmIndex::new(now),
            directory: PlacementDirectory::new(),
            health: ServerHealth::default(),
            leaving: false,
            grants: BTreeMap::new(),
            long_open: 0,
            phase: OwnerPhase::Handover,
            import_ended: false,
            slow_start_end: now.plus_millis(SLOW_START_MILLIS),
            sample: None,
            foreign: 0,
            min_foreign: 0,
            other_owner_reports: 0,
            sample_count: 0,
            audit_reports: 0,
            ranges: [GrantRange::default(); RANGE_WINDOW_REPORTS],
            grants_since_report: 0,
        }
    }

    pub(crate) fn phase(&self) -> OwnerPhase {
        self.phase
    }

    pub(crate) fn foreign(&self) -> u32 {
        self.foreign
    }

    pub(crate) fn slow_start_end(&self) -> ClockTime {
        self.slow_start_end
    }

    pub(crate) fn grant(&self, request: RequestId) -> Option<&GrantRow> {
        self.grants.get(&request)
    }

    pub(crate) fn grants(&self) -> impl Iterator<Item = (RequestId, &GrantRow)> {
        self.grants.iter().map(|(request, row)| (*request, row))
    }

    /// Whether a recent report showed fewer requests than this owner has granted.
    pub(crate) fn needs_audit(&self) -> bool {
        self.audit_reports > 0
    }

    /// Returns the number of requests counted as open on the server. During handover the reported
    /// load counts if it is higher than the grants known here.
    pub(crate) fn load(&self) -> u32 {
        let granted = self.grants.len() as u32;
        match (self.phase, self.sample) {
            (OwnerPhase::Steady, _) => granted + self.foreign,
            (OwnerPhase::Handover, Some(sample)) => {
                granted.max(sample.open + self.count_unreported_grants(sample))
            }
            (OwnerPhase::Handover, None) => granted,
        }
    }

    /// Whether the server has capacity for one more request under `bound`.
    pub(crate) fn has_capacity(
        &self,
        now: ClockTime,
        bound: u32,
        quick: bool,
        rules: &PolicyRules,
    ) -> bool {
        let load = self.load() + self.other_owner_margin();
        let limit = if now < self.slow_start_end { 1 } else { bound.min(self.spec.slots) };
        if load >= limit || !self.handover_allows(load, limit) {
            return false;
        }
        quick || self.long_open < rules.long_slots(self.spec.slots)
    }

    /// Whether the server is in handover and has not reported its load yet.
    pub(crate) fn is_load_unknown(&self) -> bool {
        self.phase == OwnerPhase::Handover && self.sample.is_none()
    }

    pub(crate) fn insert_grant(&mut self, request: RequestId, row: GrantRow) {
        if !row.quick {
            self.long_open += 1;
        }
        self.grants_since_report += 1;
        self.grants.insert(request, row);
        self.record_granted();
    }

    pub(crate) fn remove_grant(&mut self, request: RequestId) -> Option<GrantRow> {
        let row = self.grants.remove(&request)?;
        if !row.quick {
            self.long_open -= 1;
        }
        self.record_granted();
        Some(row)
    }

    pub(crate) fn record_report(
        &mut self,
        now: ClockTime,
        report: &ServerReport,
        rules: &PolicyRules,
    ) {
        if self.warm.is_restart(report.incarnation) {
            self.health.record_restart(now, rules.hold_down_millis);
            self.slow_start_end = now.plus_millis(SLOW_START_MILLIS);
        }
        if self.health.record_success() {
            self.slow_start_end = now.plus_millis(SLOW_START_MILLIS);
        }
        let in_service = report.open > 0 || report.event_sequence > 0;
        if self.is_load_unknown() && in_service {
            self.slow_start_end = now;
        }
        self.warm.record_report(now, report);
        self.leaving = report.leaving;
        self.record_sample(now, report.open);
        if self.import_ended {
            self.phase = OwnerPhase::Steady;
        }
    }

    pub(crate) fn give_up_handover(&mut self) {
        self.import_ended = true;
        if self.sample.is_some() {
            self.phase = OwnerPhase::Steady;
        }
    }

    /// Ends the handover after the import of grants; `foreign` requests were open on the server
    /// that the former owner had not granted.
    pub(crate) fn finish_import(&mut self, now: ClockTime, foreign: u32) {
        self.phase = OwnerPhase::Steady;
        self.import_ended = true;
        self.slow_start_end = now;
        self.foreign = foreign;
        self.sample_count = 0;
        let granted = self.grants.len() as u32;
        self.ranges = [GrantRange { min_count: granted, max_count: granted }; RANGE_WINDOW_REPORTS];
    }

    /// Returns the load for the aggregators; with weight zero if the server accepts no work, so
    /// that it does not count in the mean.
    ///
    /// A mean that is too high would overload servers. The load therefore leaves out requests that
    /// may have ended: grants held by `suspects`, and requests of other owners beyond the number
    /// that the reports prove.
    pub(crate) fn server_load(&self, suspects: &BTreeSet<VmId>) -> ServerLoad {
        let counts = !self.leaving && !self.health.is_down();
        let weight = if counts { self.spec.weight.max(1) } else { 0 };
        ServerLoad { server: self.spec.server, open: self.min_load(suspects), weight }
    }

    pub(crate) fn export(&self) -> GrantExport {
        let grants = self.grants().map(|(request, row)| OpenGrant {
            request,
            entry: row.entry,
            team: row.team,
            class: row.class,
        });
        let elsewhere = self.directory.iter().map(|(chat, server)| WarmChat { chat, server });
        let cached = self.warm.recent_chats().map(|chat| WarmChat { chat, server: self.server() });
        GrantExport {
            server: self.server(),
            grants: grants.collect(),
            foreign: self.foreign,
            chats: elsewhere.chain(cached).take(MAX_EXPORTED_CHATS).collect(),
        }
    }

    pub(crate) fn import_chat(&mut self, now: ClockTime, warm: WarmChat) {
        if warm.server == self.server() {
            self.warm.record_use(now, warm.chat);
        } else {
            self.directory.record(warm.chat, warm.server);
        }
    }

    fn min_load(&self, suspects: &BTreeSet<VmId>) -> u32 {
        let trusted = self.grants.values().filter(|row| !suspects.contains(&row.entry));
        let trusted = trusted.count() as u32;
        match (self.phase, self.sample) {
            (OwnerPhase::Handover, Some(sample)) => trusted.max(sample.open),
            (OwnerPhase::Steady, Some(sample)) => {
                let reported = sample.open + self.count_unreported_grants(sample);
                reported.min(trusted + self.min_foreign)
            }
            (_, None) => trusted,
        }
    }

    /// Returns the number of grants that another owner may have made since the last report.
    fn other_owner_margin(&self) -> u32 {
        if self.other_owner_reports > 0 { 1 + self.grants_since_report } else { 0 }
    }

    fn server(&self) -> ServerId {
        self.spec.server
    }

    /// Counts this owner's grants that the load of `sample` may not include yet.
    fn count_unreported_grants(&self, sample: LoadSample) -> u32 {
        let horizon = ClockTime(sample.sampled_at.0.saturating_sub(MAX_REPORT_LAG_MILLIS * 1000));
        self.grants.values().filter(|row| row.granted_at >= horizon).count() as u32
    }

    /// Whether the handover permits one more grant. Until it ends, half of the free capacity is
    /// left to a former owner that may still admit requests.
    fn handover_allows(&self, load: u32, limit: u32) -> bool {
        if self.phase == OwnerPhase::Steady {
            return true;
        }
        let capacity_at_sample =
            limit.saturating_sub(load.saturating_sub(self.grants_since_report));
        self.sample.is_some() && self.grants_since_report < capacity_at_sample / 2
    }

    fn record_granted(&mut self) {
        let granted = self.grants.len() as u32;
        let range = &mut self.ranges[0];
        range.min_count = range.min_count.min(granted);
        range.max_count = range.max_count.max(granted);
    }

    /// Compares a delayed load report with the number of this owner's grants at that time.
    ///
    /// A report above the maximum of this owner's grants proves that another owner grants too.
    /// Otherwise the remaining requests are a former owner's, whose number can only decrease.
    fn record_sample(&mut self, now: ClockTime, open: u32) {
        let max_count = self.ranges.iter().map(|range| range.max_count).max().unwrap_or(0);
        let min_count = self.ranges.iter().map(|range| range.min_count).min().unwrap_or(0);
        let first = self.sample.is_none();
        self.min_foreign = open.saturating_sub(max_count);
        self.audit_reports =
            if open < min_count { AUDIT_REPORTS } else { self.audit_reports.saturating_sub(1) };
        let range_known = self.sample_count >= RANGE_WINDOW_REPORTS as u32;
        let foreign_grew = range_known && self.min_foreign > self.foreign;
        self.other_owner_reports = if foreign_grew {
            OTHER_OWNER_REPORTS
        } else {
            self.other_owner_reports.saturating_sub(1)
        };
        let foreign = open.saturating_sub(min_count);
        let may_grow = first || self.other_owner_reports > 0;
        self.foreign = if may_grow { foreign } else { foreign.min(self.foreign) };
        self.ranges.rotate_right(1);
        let granted = self.grants.len() as u32;
        self.ranges[0] = GrantRange { min_count: granted, max_count: granted };
        self.sample_count = self.sample_count.saturating_add(1);
        self.sample = Some(LoadSample { sampled_at: now, open });
        self.grants_since_report = 0;
    }
}
