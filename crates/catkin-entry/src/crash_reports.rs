//! Records crashes under requests in the shared state, logs them, and queues what other routers are
//! told of them.

use catkin_base::{ClockTime, PartKey, RequestDigest, ServerId, copy_type};
use catkin_peer::messages::{CrashReport, EntryReport, QuarantineReport, StrikeReport};
use catkin_policy::{
    CrashEvidence, CrashObservation, PartVerdict, QuarantinedPart, SuspectChange,
    choose_trial_delay,
};

use crate::call::EntryCall;
use crate::crash_book::{CrashSource, QuarantineKey, StrikeEffect};
use crate::report_queue::{ReportQueue, Strike};
use crate::state::EntryState;

/// Maximum number of items of one kind in one report.
const MAX_ITEMS: usize = 8;
/// Maximum number of crashes or quarantines of prompt parts in one report, which list many parts.
const MAX_LISTS: usize = 4;

/// Reports on crashes that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct CrashUpdates {
    /// Strikes against whole contents.
    pub(crate) strikes: ReportQueue<Strike>,
    /// Whole contents that servers answered although a strike against them was reported.
    pub(crate) sound: ReportQueue<RequestDigest>,
    pub(crate) crashes: ReportQueue<CrashObservation>,
    pub(crate) quarantined: ReportQueue<QuarantinedPart>,
    /// Parts that servers answered although a crash under them was reported.
    pub(crate) sound_parts: ReportQueue<PartKey>,
}

impl CrashUpdates {
    pub(crate) fn is_empty(&self) -> bool {
        self.strikes.is_empty()
            && self.sound.is_empty()
            && self.crashes.is_empty()
            && self.quarantined.is_empty()
            && self.sound_parts.is_empty()
    }

    /// Moves the next items to a report, and queues them in `relayed`, if there is such a queue.
    pub(crate) fn fill_report(
        &mut self,
        now: ClockTime,
        report: &mut EntryReport,
        relayed: Option<&mut Self>,
    ) {
        let strikes = self.strikes.next_batch(MAX_ITEMS);
        let sound = self.sound.next_batch(MAX_ITEMS);
        let crashes = self.crashes.next_batch(MAX_LISTS);
        let quarantined = self.quarantined.next_batch(MAX_LISTS);
        let sound_parts = self.sound_parts.next_batch(MAX_ITEMS);
        report.strikes = strikes.iter().copied().map(encode_strike).collect();
        report.sound = sound.iter().map(|digest| digest.0).collect();
        report.crashes = crashes.iter().map(|crash| encode_crash(now, crash)).collect();
        report.quarantined = quarantined.iter().map(encode_quarantine).collect();
        report.sound_parts = sound_parts.iter().map(|part| part.0).collect();
        let Some(relayed) = relayed else { return };
        strikes.into_iter().for_each(|item| relayed.strikes.push(item));
        sound.into_iter().for_each(|item| relayed.sound.push(item));
        crashes.into_iter().for_each(|item| relayed.crashes.push(item));
        quarantined.into_iter().for_each(|item| relayed.quarantined.push(item));
        sound_parts.into_iter().for_each(|item| relayed.sound_parts.push(item));
    }
}

copy_type! {
    /// Whether a request may be sent to a server.
    pub(crate) enum CallVerdict {
        /// It may be sent.
        Allowed,
        /// It is refused.
        Refused,
    }
}

impl<W> EntryState<W> {
    /// Decides whether a request may be sent although servers crashed under others.
    pub(crate) fn check_quarantine(&self, call: &EntryCall) -> CallVerdict {
        let now = self.now();
        let routers = self.other_routers.borrow().clone();
        let trial_delay = |part| choose_trial_delay(part, self.local_vm, &routers);
        let parts = call.part_keys();
        let verdict = self.crashes.borrow_mut().decide(now, call.digest, &parts, trial_delay);
        match verdict {
            Ok(PartVerdict::Trial(part)) => {
                metrics::counter!("catkin_entry_part_trials_total").increment(1);
                log::info!(
                    "strikes: quarantine of a prompt part is over; a request tries it again. \
                     request={} part={part}",
                    call.id_text()
                );
                self.report_quarantine(now, part);
                CallVerdict::Allowed
            }
            Ok(_) => CallVerdict::Allowed,
            Err(key) => {
                log::info!(
                    "strikes: request is quarantined; refusing it. request={} key={key}",
                    call.id_text()
                );
                CallVerdict::Refused
            }
        }
    }

    /// Whether a request that is being served must not be sent to another server.
    pub(crate) fn is_quarantined(&self, call: &EntryCall) -> bool {
        self.crashes.borrow().is_refused(self.now(), call.digest, &call.part_keys())
    }

    /// Records a strike against a whole content and logs it if it is new; returns whether it is. A
    /// strike against content that was answered lately does not count, and the other routers are
    /// told. Quarantined content is queued for the store at the routers that saw one of its crashes.
    pub(crate) fn record_strike(
        &self,
        digest: RequestDigest,
        server: ServerId,
        source: CrashSource,
    ) -> bool {
        let effect = self.crashes.borrow_mut().record_strike(self.now(), digest, server, source);
        match effect {
            StrikeEffect::Known => return false,
            StrikeEffect::Refuted => {
                if source != CrashSource::Local {
                    self.updates.borrow_mut().crashes.sound.push(digest);
                }
                return false;
            }
            StrikeEffect::Counted(strikes) => {
                metrics::counter!("catkin_entry_strikes_total").increment(1);
                log::info!(
                    "strikes: server broke off while it ran a request. digest={digest} \
                     server={server} strikes={} refused_for_millis={} source={source:?}",
                    strikes.strikes,
                    strikes.hold_millis
                );
            }
        }
        self.signal_store_changes();
        true
    }

    /// Records that a server answered whole content. If there were strikes against it, other routers
    /// are told.
    pub(crate) fn record_served(&self, digest: RequestDigest) {
        if self.record_sound(digest) {
            self.updates.borrow_mut().crashes.sound.push(digest);
        }
    }

    /// Records that content was answered, here or at another router, and clears the strikes against
    /// it; returns whether there were any.
    pub(crate) fn record_sound(&self, digest: RequestDigest) -> bool {
        let struck = self.crashes.borrow_mut().record_content_answer(self.now(), digest);
        if struck {
            log::info!("strikes: content was answered; its strikes are cleared. digest={digest}");
        }
        self.signal_store_changes();
        struck
    }

    /// Records a crash under a request of this router whose answer had not begun, and queues it for
    /// the other routers.
    pub(crate) fn record_local_crash(
        &self,
        call: &EntryCall,
        server: ServerId,
        evidence: CrashEvidence,
    ) {
        let seen = self.now();
        let parts = self.crashes.borrow().select_suspects(seen, &call.part_keys());
        if parts.is_empty() {
            return;
        }
        let crash = CrashObservation { server, parts, evidence, seen };
        if self.record_crash(&crash, CrashSource::Local) {
            self.updates.borrow_mut().crashes.crashes.push(crash);
        }
    }

    /// Records a crash and what follows from it; returns whether it was not known before.
    pub(crate) fn record_crash(&self, crash: &CrashObservation, source: CrashSource) -> bool {
        let change = self.crashes.borrow_mut().record_crash(self.now(), crash, source);
        if change.is_new {
            metrics::counter!("catkin_entry_part_crashes_total").increment(1);
            log::info!(
                "strikes: server broke off before the answer began. server={} evidence={:?} \
                 parts={} source={source:?}",
                crash.server,
                crash.evidence,
                join_parts(&crash.parts)
            );
        }
        self.apply_suspects(&change, source);
        change.is_new
    }

    /// Records a quarantine that another router reported or that was stored; returns whether it was
    /// not known before.
    pub(crate) fn record_quarantine(
        &self,
        reported: &QuarantinedPart,
        source: CrashSource,
    ) -> bool {
        let change = self.crashes.borrow_mut().record_quarantine(self.now(), reported, source);
        self.apply_suspects(&change, source);
        change.is_new
    }

    /// Records that a server answers a request with these prompt parts. If servers had crashed under
    /// some, other routers are told.
    pub(crate) fn record_part_answer(&self, parts: &[PartKey]) {
        for part in self.clear_parts(parts) {
            self.updates.borrow_mut().crashes.sound_parts.push(part);
        }
    }

    /// Clears the crashes under prompt parts that were answered, here or at another router; returns
    /// the parts that had any.
    pub(crate) fn clear_parts(&self, parts: &[PartKey]) -> Vec<PartKey> {
        let cleared = self.crashes.borrow_mut().record_part_answer(self.now(), parts);
        if !cleared.is_empty() {
            log::info!(
                "strikes: prompt parts were answered; the crashes under them don't count. parts={}",
                join_parts(&cleared)
            );
            self.signal_store_changes();
        }
        cleared
    }

    /// Logs and reports the quarantines of a change, and reports the parts that it names wrongly.
    fn apply_suspects(&self, change: &SuspectChange, source: CrashSource) {
        let now = self.now();
        for part in &change.quarantined {
            let Some(quarantine) = self.crashes.borrow().quarantine(now, *part) else { continue };
            let servers = self.crashes.borrow().servers(QuarantineKey::Part(*part));
            let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
            metrics::counter!("catkin_entry_part_quarantines_total").increment(1);
            log::warn!(
                "strikes: servers crash when they answer requests with a prompt part; refusing such \
                 requests. part={part} together={} quarantines={} for_millis={} servers={} \
                 source={source:?}",
                join_parts(&quarantine.together),
                quarantine.holds,
                quarantine.hold_millis,
                servers.join(",")
            );
            // Enough routers know of each crash to report what follows from it.
            if self.crashes.borrow().is_local(QuarantineKey::Part(*part)) {
                self.report_quarantine(now, *part);
            }
        }
        if source != CrashSource::Local {
            let mut updates = self.updates.borrow_mut();
            change.refuted.iter().for_each(|part| updates.crashes.sound_parts.push(*part));
        }
        self.signal_store_changes();
    }

    /// Queues the quarantine of a part for the other routers.
    fn report_quarantine(&self, now: ClockTime, part: PartKey) {
        let quarantine = self.crashes.borrow().quarantine(now, part);
        if let Some(quarantine) = quarantine {
            self.updates.borrow_mut().crashes.quarantined.push(quarantine);
        }
    }

    fn signal_store_changes(&self) {
        if self.crashes.borrow().has_store_changes() {
            self.crash_store_change.notify_waiters();
        }
    }
}

fn join_parts(parts: &[PartKey]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(",")
}

pub(crate) fn encode_strike((digest, server): Strike) -> StrikeReport {
    StrikeReport { digest: digest.0, server: server.0, confirmed: false }
}

fn encode_crash(now: ClockTime, crash: &CrashObservation) -> CrashReport {
    CrashReport {
        server: crash.server.0,
        parts: crash.parts.iter().map(|part| part.0).collect(),
        certain: crash.evidence == CrashEvidence::Certain,
        age_millis: u32::try_from(now.millis_since(crash.seen)).unwrap_or(u32::MAX),
    }
}

pub(crate) fn decode_crash(now: ClockTime, report: &CrashReport) -> CrashObservation {
    CrashObservation {
        server: ServerId(report.server),
        parts: report.parts.iter().copied().map(PartKey).collect(),
        evidence: if report.certain { CrashEvidence::Certain } else { CrashEvidence::Possible },
        seen: now.minus_millis(u64::from(report.age_millis)),
    }
}

pub(crate) fn encode_quarantine(quarantine: &QuarantinedPart) -> QuarantineReport {
    QuarantineReport {
        part: quarantine.part.0,
        together: quarantine.together.iter().map(|part| part.0).collect(),
        holds: quarantine.holds,
        hold_millis: u32::try_from(quarantine.hold_millis).unwrap_or(u32::MAX),
        on_trial: quarantine.on_trial,
    }
}

pub(crate) fn decode_quarantine(report: &QuarantineReport) -> QuarantinedPart {
    QuarantinedPart {
        part: PartKey(report.part),
        together: report.together.iter().copied().map(PartKey).collect(),
        holds: report.holds,
        hold_millis: u64::from(report.hold_millis),
        on_trial: report.on_trial,
    }
}
