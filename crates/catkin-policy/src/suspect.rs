//! Prompt parts that may crash servers.
//!
//! Requests share the parts of their prompts. If a part crashes each server that answers it, no
//! request with it is ever answered, while every sound part is answered now and then. So the crashes
//! under requests with a part count only as long as no server answers a request with it.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, PartKey, ServerId, VmId, copy_type, hash_parts, value_type};

use crate::recent::RecentMap;

/// Weight of the crashes from which on a part is quarantined that was never answered: three crashes
/// of which there is no doubt.
const WEIGHT_LIMIT: u32 = 6;
/// The same for a part that was answered before the crashes, which must also be spread over
/// [`KNOWN_SPAN_MILLIS`]: while all servers crash one after the other, sound parts are not answered
/// either.
const KNOWN_WEIGHT_LIMIT: u32 = 10;
const KNOWN_SPAN_MILLIS: u64 = 2_000;
/// Time after its last answer for which a part counts as answered before.
const KNOWN_MILLIS: u64 = 600_000;
/// Crashes within this time count as one. Servers that crash together have another reason.
const MOMENT_MILLIS: u64 = 50;
/// Time that the report of an answer takes to all routers. An answer refutes crashes that are seen
/// up to this much later.
const REPORT_MILLIS: u64 = 500;
/// Duration of the first quarantine of a part.
const FIRST_HOLD_MILLIS: u64 = 10_000;
/// Each further quarantine of a part is longer by this factor.
const HOLD_FACTOR: u64 = 3;
/// Maximum duration of a quarantine, and time after its last crash for which a part is remembered.
const MAX_HOLD_MILLIS: u64 = 3_600_000;
/// Time for which a request that tries a part again may be on its way.
const TRIAL_MILLIS: u64 = 10_000;
/// Time between the turns of two routers to try a part again: what the report of a trial takes.
const TRIAL_TURN_MILLIS: u64 = 200;
/// Maximum number of parts with crashes.
const MAX_PARTS: usize = 4_096;
/// Number of parts that remain after those with the least evidence were dropped.
const KEPT_PARTS: usize = 3_072;
/// Maximum number of parts of one request that are suspected.
const MAX_SUSPECTS: usize = 32;
/// Maximum number of crash moments that are remembered for a part.
const MAX_MOMENTS: usize = 16;
/// Maximum number of servers that are remembered for a part.
const MAX_SERVERS: usize = 64;
/// Number of answered parts that are remembered at least.
const ANSWERED_PARTS: usize = 4_096;

copy_type! {
    /// How certain it is that a server crashed while a request was open there.
    pub enum CrashEvidence {
        /// The connection broke or was silent, for whatever reason.
        Possible,
        /// The connection broke, and the server refuses other ones.
        Certain,
    }
}

impl CrashEvidence {
    const fn weight(self) -> u32 {
        match self {
            Self::Possible => 1,
            Self::Certain => 2,
        }
    }
}

value_type! {
    /// A request whose answer had not begun when its server may have crashed.
    pub struct CrashObservation {
        /// The server.
        pub server: ServerId,
        /// Parts of the request's prompt that are suspected.
        pub parts: Vec<PartKey>,
        /// How certain the crash is.
        pub evidence: CrashEvidence,
        /// When a router saw it.
        pub seen: ClockTime,
    }
}

value_type! {
    /// A part that is refused.
    pub struct QuarantinedPart {
        /// The part.
        pub part: PartKey,
        /// Parts that were in all requests with it under which servers crashed, itself included.
        /// Only requests with all of them are refused, as it may be another one of them.
        pub together: Vec<PartKey>,
        /// Number of quarantines so far.
        pub holds: u32,
        /// Remaining time of the quarantine, in milliseconds.
        pub hold_millis: u64,
        /// Whether a request has just been sent to try the part again.
        pub on_trial: bool,
    }
}

/// What a crash or a report changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SuspectChange {
    /// Whether anything was not known before.
    pub is_new: bool,
    /// Parts that are quarantined by it.
    pub quarantined: Vec<PartKey>,
    /// Parts that were answered lately, so that they are sound.
    pub refuted: Vec<PartKey>,
}

copy_type! {
    /// Whether a request may be sent to a server.
    pub enum PartVerdict {
        /// None of its parts is quarantined.
        Allowed,
        /// It may be sent to try this part, whose quarantine is over.
        Trial(PartKey),
        /// This part is quarantined.
        Refused(PartKey),
    }
}

#[derive(Debug, Clone, Copy)]
struct CrashMoment {
    seen: ClockTime,
    weight: u32,
}

#[derive(Debug, Clone, Copy)]
struct PartHold {
    until: ClockTime,
    holds: u32,
    /// Start of the last trial, by this router or another one.
    trial: Option<ClockTime>,
}

#[derive(Debug, Clone)]
struct SuspectRow {
    /// Servers that crashed, each counted once.
    servers: BTreeSet<ServerId>,
    /// Moments of the crashes, in order.
    moments: Vec<CrashMoment>,
    last_crash: ClockTime,
    /// Parts that all requests have in common under which the servers crashed, in order.
    together: Vec<PartKey>,
    hold: Option<PartHold>,
}

impl SuspectRow {
    fn new(now: ClockTime, together: Vec<PartKey>) -> Self {
        Self {
            servers: BTreeSet::new(),
            moments: Vec::new(),
            last_crash: now,
            together,
            hold: None,
        }
    }

    fn total_weight(&self) -> u32 {
        self.moments.iter().map(|moment| moment.weight).sum()
    }

    /// Adds a crash; returns false if the server counts already.
    fn add_crash(&mut self, crash: &CrashObservation, parts: &[PartKey]) -> bool {
        if self.servers.len() >= MAX_SERVERS || !self.servers.insert(crash.server) {
            return false;
        }
        self.add_moment(CrashMoment { seen: crash.seen, weight: crash.evidence.weight() });
        self.last_crash = self.last_crash.max(crash.seen);
        self.together.retain(|part| parts.contains(part));
        true
    }

    fn add_moment(&mut self, moment: CrashMoment) {
        let distance = |other: &CrashMoment| {
            other.seen.millis_since(moment.seen).max(moment.seen.millis_since(other.seen))
        };
        let same = self.moments.iter_mut().find(|other| distance(other) < MOMENT_MILLIS);
        if let Some(same) = same {
            same.weight = same.weight.max(moment.weight);
            return;
        }
        if self.moments.len() >= MAX_MOMENTS {
            // The first and the latest ones tell how long it has gone on.
            self.moments.remove(1);
        }
        self.moments.push(moment);
        self.moments.sort_by_key(|moment| moment.seen);
    }

    /// Whether there is enough evidence to quarantine the part. `is_known` tells that it was answered
    /// before.
    fn is_convincing(&self, is_known: bool) -> bool {
        let weight = self.total_weight();
        let (Some(first), Some(last)) = (self.moments.first(), self.moments.last()) else {
            return false;
        };
        if is_known {
            let span = last.seen.millis_since(first.seen);
            weight >= KNOWN_WEIGHT_LIMIT && span >= KNOWN_SPAN_MILLIS
        } else {
            weight >= WEIGHT_LIMIT
        }
    }

    /// Quarantines the part, if there is enough evidence; returns whether it was not quarantined
    /// before. Crashes during a quarantine come from requests sent before it.
    fn update_hold(&mut self, now: ClockTime, is_known: bool) -> bool {
        let holds = match self.hold {
            Some(hold) if now < hold.until => return false,
            Some(hold) => hold.holds + 1,
            None if self.is_convincing(is_known) => 1,
            None => return false,
        };
        self.hold =
            Some(PartHold { until: now.plus_millis(hold_millis(holds)), holds, trial: None });
        true
    }
}

/// Counts, for each part of prompts, the crashes of servers under requests with it since a server
/// last answered one.
#[derive(Debug, Clone)]
pub struct SuspectTable {
    rows: BTreeMap<PartKey, SuspectRow>,
    answered: RecentMap<PartKey, ClockTime>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self { rows: BTreeMap::new(), answered: RecentMap::new(ANSWERED_PARTS) }
    }
}

impl SuspectTable {
    /// Selects the parts of a request to be suspected of a crash: those that were not answered
    /// lately, at most 32, those that are suspected most first.
    pub fn select_suspects(&self, now: ClockTime, parts: &[PartKey]) -> Vec<PartKey> {
        let mut suspects: Vec<PartKey> =
            parts.iter().copied().filter(|part| !self.is_answered(now, *part)).collect();
        suspects.sort_by_key(|part| {
            let weight = self.rows.get(part).map_or(0, SuspectRow::total_weight);
            (std::cmp::Reverse(weight), self.answered.get(part), *part)
        });
        suspects.dedup();
        suspects.truncate(MAX_SUSPECTS);
        suspects
    }

    /// Records a crash that this router or another one saw.
    pub fn record_crash(&mut self, now: ClockTime, crash: &CrashObservation) -> SuspectChange {
        self.drop_expired(now);
        let mut change = SuspectChange::default();
        let (refuted, parts): (Vec<_>, Vec<_>) = crash
            .parts
            .iter()
            .take(MAX_SUSPECTS)
            .partition(|part| self.is_answered(crash.seen, **part));
        change.refuted = refuted;
        for part in &parts {
            let is_known = self.is_known(now, *part);
            let row = self.rows.entry(*part).or_insert_with(|| SuspectRow::new(now, parts.clone()));
            if row.add_crash(crash, &parts) {
                change.is_new = true;
                if row.update_hold(now, is_known) {
                    change.quarantined.push(*part);
                }
            }
        }
        self.limit_rows();
        change
    }

    /// Records that a server answered a request with these parts, and clears their crashes. Returns
    /// those that had any.
    pub fn record_answer(&mut self, now: ClockTime, parts: &[PartKey]) -> Vec<PartKey> {
        for part in parts {
            self.answered.insert(*part, now);
        }
        if self.rows.is_empty() {
            return Vec::new();
        }
        parts.iter().copied().filter(|part| self.rows.remove(part).is_some()).collect()
    }

    /// Records a quarantine that another router reported or that was stored.
    pub fn record_quarantine(
        &mut self,
        now: ClockTime,
        reported: &QuarantinedPart,
    ) -> SuspectChange {
        let part = reported.part;
        if self.is_known(now, part) && self.rows.get(&part).is_none_or(|row| row.hold.is_none()) {
            // Its crashes are counted here, too, unless it was answered since.
            let refuted = if self.rows.contains_key(&part) { Vec::new() } else { vec![part] };
            return SuspectChange { refuted, ..SuspectChange::default() };
        }
        let holds = reported.holds.max(1);
        let together = &reported.together;
        let row = self.rows.entry(part).or_insert_with(|| SuspectRow::new(now, together.clone()));
        let trial = reported.on_trial.then_some(now);
        let mut change = SuspectChange::default();
        match &mut row.hold {
            Some(hold) if hold.holds > holds => {}
            Some(hold) if hold.holds == holds => {
                let is_old = |start| now.millis_since(start) >= TRIAL_MILLIS;
                if reported.on_trial && hold.trial.is_none_or(is_old) {
                    hold.trial = trial;
                    change.is_new = true;
                }
            }
            _ => {
                let left = reported.hold_millis.min(hold_millis(holds));
                row.hold = Some(PartHold { until: now.plus_millis(left), holds, trial });
                row.together.retain(|other| together.contains(other));
                change.is_new = true;
                change.quarantined.push(part);
            }
        }
        self.limit_rows();
        change
    }

    /// Decides whether a request with these parts may be sent to a server. `trial_delay` returns for
    /// a part whose quarantine is over after how many milliseconds this router may try it again.
    /// Routers take turns, since each hears of a trial only after some time.
    pub fn decide(
        &mut self,
        now: ClockTime,
        parts: &[PartKey],
        trial_delay: impl Fn(PartKey) -> u64,
    ) -> PartVerdict {
        if self.rows.is_empty() {
            return PartVerdict::Allowed;
        }
        let held: Vec<(PartKey, PartHold)> = self.held_parts(parts).collect();
        for (part, hold) in &held {
            let tried = hold.trial.is_some_and(|start| now.millis_since(start) < TRIAL_MILLIS);
            if tried || now < hold.until.plus_millis(trial_delay(*part)) {
                return PartVerdict::Refused(*part);
            }
        }
        for (part, _) in &held {
            if let Some(hold) = self.rows.get_mut(part).and_then(|row| row.hold.as_mut()) {
                hold.trial = Some(now);
            }
        }
        held.first().map_or(PartVerdict::Allowed, |(part, _)| PartVerdict::Trial(*part))
    }

    /// Whether a request with these parts is refused at the moment.
    pub fn is_held(&self, now: ClockTime, parts: &[PartKey]) -> bool {
        self.held_parts(parts).any(|(_, hold)| now < hold.until)
    }

    /// Returns the parts among these that are or were quarantined, if a request with all of them is
    /// concerned.
    fn held_parts<'a>(
        &'a self,
        parts: &'a [PartKey],
    ) -> impl Iterator<Item = (PartKey, PartHold)> + 'a {
        let rows = parts.iter().filter_map(|part| Some((*part, self.rows.get(part)?)));
        rows.filter_map(|(part, row)| {
            let first_crash = row.moments.first().map_or(row.last_crash, |moment| moment.seen);
            let is_sound = |other| self.answered.get(other).is_some_and(|at| at > first_crash);
            let applies = row.together.iter().all(|other| parts.contains(other) || is_sound(other));
            Some((part, row.hold.filter(|_| applies)?))
        })
    }

    /// Returns the quarantine of a part, also if it is over.
    pub fn quarantine(&self, now: ClockTime, part: PartKey) -> Option<QuarantinedPart> {
        let row = self.rows.get(&part)?;
        let hold = row.hold?;
        let hold_millis = hold.until.millis_since(now);
        Some(QuarantinedPart {
            part,
            together: row.together.clone(),
            holds: hold.holds,
            hold_millis,
            on_trial: hold.trial == Some(now),
        })
    }

    /// Returns all quarantines, those that are over included.
    pub fn quarantines(&self, now: ClockTime) -> Vec<QuarantinedPart> {
        self.rows.keys().filter_map(|part| self.quarantine(now, *part)).collect()
    }

    /// Servers that crashed under requests with a part since one was last answered.
    pub fn servers(&self, part: PartKey) -> Vec<ServerId> {
        self.rows.get(&part).map_or_else(Vec::new, |row| row.servers.iter().copied().collect())
    }

    /// Whether there are crashes against a part.
    pub fn is_suspected(&self, part: PartKey) -> bool {
        self.rows.contains_key(&part)
    }

    /// Number of parts with crashes.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no part has crashes.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn is_answered(&self, now: ClockTime, part: PartKey) -> bool {
        self.answered.get(&part).is_some_and(|at| now.millis_since(at) < REPORT_MILLIS)
    }

    /// Whether a part was answered before.
    fn is_known(&self, now: ClockTime, part: PartKey) -> bool {
        self.answered.get(&part).is_some_and(|at| now.millis_since(at) < KNOWN_MILLIS)
    }

    fn drop_expired(&mut self, now: ClockTime) {
        self.rows.retain(|_, row| {
            let held = row.hold.is_some_and(|hold| now < hold.until);
            held || now.millis_since(row.last_crash) < MAX_HOLD_MILLIS
        });
    }

    /// Drops the parts with the least evidence if there are too many.
    fn limit_rows(&mut self) {
        if self.rows.len() <= MAX_PARTS {
            return;
        }
        let evidence = |row: &SuspectRow| (row.hold.is_some(), row.total_weight(), row.last_crash);
        let mut parts: Vec<_> =
            self.rows.iter().map(|(part, row)| (evidence(row), *part)).collect();
        parts.sort_unstable();
        for (_, part) in &parts[..parts.len() - KEPT_PARTS] {
            self.rows.remove(part);
        }
    }
}

/// Duration of the quarantine with this number.
fn hold_millis(holds: u32) -> u64 {
    let factor = HOLD_FACTOR.saturating_pow(holds.saturating_sub(1));
    FIRST_HOLD_MILLIS.saturating_mul(factor).min(MAX_HOLD_MILLIS)
}

/// How long after the end of a quarantine the router `local` may try a part again, in milliseconds.
/// `routers` are all others. Each router has another turn, in an order that depends on the part.
pub fn choose_trial_delay(part: PartKey, local: VmId, routers: &[VmId]) -> u64 {
    let rank = |vm: VmId| (hash_parts(&[b"trial", &part.0.to_le_bytes(), &vm.0.to_le_bytes()]), vm);
    let own = rank(local);
    let before = routers.iter().filter(|vm| rank(**vm) < own).count();
    before as u64 * TRIAL_TURN_MILLIS
}
