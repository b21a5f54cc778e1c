//! What is known of servers that crashed under requests, and whether a request may be sent.
//!
//! Whole contents are counted by servers that crashed while they ran the same content. Prompt parts,
//! which requests with different contents share, are counted by a [`SuspectTable`].

use std::collections::BTreeSet;
use std::fmt;

use catkin_base::{ClockTime, PartKey, RequestDigest, ServerId, VmId, copy_type};
use catkin_policy::{
    CrashObservation, PartVerdict, QuarantinedPart, StrikeCounter, StrikeState, SuspectChange,
    SuspectTable,
};

use crate::served_content::ServedContent;

/// Number of servers that must crash while running requests with the same content before the
/// content is refused.
const STRIKE_LIMIT: u32 = 3;
/// Time for which such content is refused, in milliseconds.
const QUARANTINE_MILLIS: u64 = 60_000;

copy_type! {
    /// Where a router learned of a crash.
    pub enum CrashSource {
        /// It happened under a request of this router.
        Local,
        /// Another router reported it.
        Router(VmId),
        /// The store had it.
        Store,
    }

    /// What is quarantined.
    pub enum QuarantineKey {
        /// The whole content of a request.
        Content(RequestDigest),
        /// A part of prompts.
        Part(PartKey),
    }

    /// Effect of a strike against the whole content of a request.
    pub enum StrikeEffect {
        /// The strike is known already.
        Known,
        /// A server answered the content lately, so that the strike does not count.
        Refuted,
        /// The strike counts.
        Counted(StrikeState),
    }
}

impl fmt::Display for QuarantineKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(digest) => write!(formatter, "content:{digest}"),
            Self::Part(part) => write!(formatter, "part:{part}"),
        }
    }
}

/// Crashes under requests, and what is to be changed in the store because of them.
#[derive(Debug)]
pub struct CrashBook {
    strikes: StrikeCounter,
    served: ServedContent,
    parts: SuspectTable,
    /// What this router itself saw crashing servers. Only such routers write to the store.
    local: BTreeSet<QuarantineKey>,
    stored: BTreeSet<QuarantineKey>,
    to_store: BTreeSet<QuarantineKey>,
    to_remove: BTreeSet<QuarantineKey>,
}

impl Default for CrashBook {
    fn default() -> Self {
        Self {
            strikes: StrikeCounter::new(STRIKE_LIMIT, QUARANTINE_MILLIS),
            served: ServedContent::default(),
            parts: SuspectTable::default(),
            local: BTreeSet::new(),
            stored: BTreeSet::new(),
            to_store: BTreeSet::new(),
            to_remove: BTreeSet::new(),
        }
    }
}

impl CrashBook {
    /// Records that `server` broke off while it ran a request with this whole content.
    pub fn record_strike(
        &mut self,
        now: ClockTime,
        digest: RequestDigest,
        server: ServerId,
        source: CrashSource,
    ) -> StrikeEffect {
        if self.served.contains(now, digest) {
            return StrikeEffect::Refuted;
        }
        if !self.strikes.record_strike(now, digest, server) {
            return StrikeEffect::Known;
        }
        let state = self.strikes.state(now, digest);
        self.mark_source(QuarantineKey::Content(digest), source, state.hold_millis > 0);
        StrikeEffect::Counted(state)
    }

    /// Records that a server answered a whole content, here or at another router, and clears the
    /// strikes against it; returns whether there were any.
    pub fn record_content_answer(&mut self, now: ClockTime, digest: RequestDigest) -> bool {
        self.served.record(now, digest);
        let struck = !self.strikes.servers(digest).is_empty();
        self.strikes.record_served(digest);
        self.mark_sound(QuarantineKey::Content(digest));
        struck
    }

    /// Records a crash under a request whose answer had not begun.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        crash: &CrashObservation,
        source: CrashSource,
    ) -> SuspectChange {
        let change = self.parts.record_crash(now, crash);
        for part in &crash.parts {
            let quarantined = change.quarantined.contains(part);
            self.mark_source(QuarantineKey::Part(*part), source, quarantined);
        }
        change
    }

    /// Records that a server answered a request with these prompt parts; returns those that servers
    /// had crashed under.
    pub fn record_part_answer(&mut self, now: ClockTime, parts: &[PartKey]) -> Vec<PartKey> {
        let cleared = self.parts.record_answer(now, parts);
        for part in &cleared {
            self.mark_sound(QuarantineKey::Part(*part));
        }
        cleared
    }

    /// Records a quarantine that another router reported or that was stored.
    pub fn record_quarantine(
        &mut self,
        now: ClockTime,
        reported: &QuarantinedPart,
        source: CrashSource,
    ) -> SuspectChange {
        let change = self.parts.record_quarantine(now, reported);
        let quarantined = !change.quarantined.is_empty();
        self.mark_source(QuarantineKey::Part(reported.part), source, quarantined);
        change
    }

    /// Records that the store has a quarantine.
    pub fn record_stored(&mut self, key: QuarantineKey) {
        self.stored.insert(key);
    }

    /// Whether a request is refused. `trial_delay` is that of [`SuspectTable::decide`].
    pub fn decide(
        &mut self,
        now: ClockTime,
        digest: RequestDigest,
        parts: &[PartKey],
        trial_delay: impl Fn(PartKey) -> u64,
    ) -> Result<PartVerdict, QuarantineKey> {
        if self.strikes.state(now, digest).hold_millis > 0 {
            return Err(QuarantineKey::Content(digest));
        }
        match self.parts.decide(now, parts, trial_delay) {
            PartVerdict::Refused(part) => Err(QuarantineKey::Part(part)),
            verdict => Ok(verdict),
        }
    }

    /// What a request that is being served has to be refused for by now.
    pub fn is_refused(&self, now: ClockTime, digest: RequestDigest, parts: &[PartKey]) -> bool {
        self.strikes.state(now, digest).hold_millis > 0 || self.parts.is_held(now, parts)
    }

    /// Selects the parts of a request that are suspected if its server crashes.
    pub fn select_suspects(&self, now: ClockTime, parts: &[PartKey]) -> Vec<PartKey> {
        self.parts.select_suspects(now, parts)
    }

    /// Strikes against whole contents that count now.
    pub fn active_strikes(&self, now: ClockTime) -> Vec<(RequestDigest, ServerId)> {
        self.strikes.active_strikes(now)
    }

    /// Returns all quarantines of parts, those that are over included.
    pub fn quarantined_parts(&self, now: ClockTime) -> Vec<QuarantinedPart> {
        self.parts.quarantines(now)
    }

    /// Returns the quarantine of a part, also if it is over.
    pub fn quarantine(&self, now: ClockTime, part: PartKey) -> Option<QuarantinedPart> {
        self.parts.quarantine(now, part)
    }

    /// Whether `key` is still to be refused.
    pub fn is_quarantined(&self, now: ClockTime, key: QuarantineKey) -> bool {
        match key {
            QuarantineKey::Content(digest) => self.strikes.state(now, digest).hold_millis > 0,
            QuarantineKey::Part(part) => self.parts.quarantine(now, part).is_some(),
        }
    }

    /// Whether this router itself saw a crash under `key`.
    pub fn is_local(&self, key: QuarantineKey) -> bool {
        self.local.contains(&key)
    }

    /// Servers that crashed because of `key`.
    pub fn servers(&self, key: QuarantineKey) -> Vec<ServerId> {
        match key {
            QuarantineKey::Content(digest) => self.strikes.servers(digest),
            QuarantineKey::Part(part) => self.parts.servers(part),
        }
    }

    /// Removes and returns what is to be written to the store, and what is to be removed from it.
    pub fn drain_store_changes(&mut self) -> (BTreeSet<QuarantineKey>, BTreeSet<QuarantineKey>) {
        (std::mem::take(&mut self.to_store), std::mem::take(&mut self.to_remove))
    }

    /// Whether the store is to be changed.
    pub fn has_store_changes(&self) -> bool {
        !self.to_store.is_empty() || !self.to_remove.is_empty()
    }

    /// Forgets what was seen of contents and parts without crashes that count.
    pub fn remove_expired(&mut self) {
        let Self { strikes, parts, local, stored, .. } = self;
        let is_struck = |key: &QuarantineKey| match key {
            QuarantineKey::Content(digest) => !strikes.servers(*digest).is_empty(),
            QuarantineKey::Part(part) => parts.is_suspected(*part),
        };
        local.retain(is_struck);
        stored.retain(is_struck);
    }

    fn mark_source(&mut self, key: QuarantineKey, source: CrashSource, quarantined: bool) {
        if source == CrashSource::Local {
            self.local.insert(key);
        }
        if quarantined && source != CrashSource::Store && self.local.contains(&key) {
            self.to_store.insert(key);
        }
    }

    fn mark_sound(&mut self, key: QuarantineKey) {
        if self.stored.remove(&key) {
            self.to_remove.insert(key);
        }
    }
}
