//! The table of members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use catkin_base::{ClockTime, VmId};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::change::{is_gone, note_change};
use crate::member::{
    MemberEvent, MemberEventKind, MemberSpec, MemberState, MemberUpdate, MemberView,
};
use crate::message::{MemberAction, MemberMessage, MessageOrigin, ProbeBody};
use crate::options::MembershipOptions;
use crate::probe::{PendingProbe, ProbeBook, ProbeRound, RelayedProbe};
use crate::record::MemberRecord;
use crate::spread::SpreadQueue;

/// Receiver of a probe to an address whose VM is not known.
const UNKNOWN_VM: VmId = VmId(0);
/// Probe intervals without a tick after which this process counts as paused.
const PAUSE_INTERVALS: u64 = 3;
/// Probes of a member in a row that must fail before it is suspected.
const PROBE_ATTEMPTS: u32 = 2;
/// Times that a suspect is probed again before it is taken as dead.
const RECHECKS: u64 = 4;

/// Whether a message asks or answers.
///
/// The receiver's view is known only in an answer; in an ask it may be minutes old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessagePurpose {
    Ask,
    Answer,
}

/// What one router believes of the fleet.
#[derive(Debug)]
pub struct MemberTable {
    options: MembershipOptions,
    own: VmId,
    random: StdRng,
    records: BTreeMap<VmId, MemberRecord>,
    /// Addresses from settings whose VM is not known.
    contacts: BTreeSet<SocketAddr>,
    spread: SpreadQueue,
    probes: ProbeBook,
    live_round: ProbeRound,
    dead_round: ProbeRound,
    events: Vec<MemberEvent>,
    highest_revision: u64,
    sync_cursor: VmId,
    view_digest: u64,
    started: ClockTime,
    last_tick: ClockTime,
    next_probe: ClockTime,
    next_dead_probe: ClockTime,
    /// Until when dead members are probed quickly, since one of them was heard.
    merging_until: ClockTime,
}

impl MemberTable {
    /// A table that knows only its own router.
    pub fn new(own: MemberSpec, options: MembershipOptions, seed: u64, now: ClockTime) -> Self {
        let update = MemberUpdate { spec: own, refutation: 0, state: MemberState::Alive };
        let record = MemberRecord::new(&update, now);
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            options,
            own: own.vm,
            spread: SpreadQueue::new(random.random()),
            sync_cursor: VmId(random.random()),
            random,
            view_digest: record.digest(),
            records: BTreeMap::from([(own.vm, record)]),
            contacts: BTreeSet::new(),
            probes: ProbeBook::default(),
            live_round: ProbeRound::default(),
            dead_round: ProbeRound::default(),
            events: Vec::new(),
            highest_revision: 0,
            started: now,
            last_tick: now,
            next_probe: now,
            next_dead_probe: now,
            merging_until: now,
        }
    }

    /// Adds members from the platform's list or from settings, unverified until heard.
    ///
    /// A spec with VM zero stands for an address whose VM is not known.
    pub fn add_seeds(&mut self, now: ClockTime, specs: &[MemberSpec]) {
        let own_address = self.own_record().view.spec.address;
        let forget_at = now.plus_millis(self.options.forget_millis);
        let own = self.own;
        for spec in specs.iter().filter(|spec| spec.vm != own) {
            if spec.vm != UNKNOWN_VM {
                self.seed_member(spec, forget_at);
            } else if spec.address != own_address {
                self.contacts.insert(spec.address);
            }
        }
    }

    fn seed_member(&mut self, spec: &MemberSpec, forget_at: ClockTime) {
        let record = self
            .records
            .entry(spec.vm)
            .or_insert_with(|| MemberRecord::unverified(spec, forget_at));
        record.forget_at = forget_at;
        if record.is_dead() {
            record.view.spec.address = spec.address;
        }
    }

    /// Does what is due: probes, timeouts, forgetting.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberAction> {
        self.allow_for_pause(now);
        let mut actions = Vec::new();
        self.ask_others(now, &mut actions);
        for failed in self.probes.take_failed(now) {
            if failed.attempt < PROBE_ATTEMPTS {
                self.probe(now, failed.target, failed.attempt + 1, &mut actions);
            } else {
                self.suspect(now, &failed);
            }
        }
        self.bury_suspects(now);
        self.recheck_suspects(now, &mut actions);
        self.forget_dead(now);
        self.probe_live(now, &mut actions);
        self.probe_dead(now, &mut actions);
        actions
    }

    /// After a pause of this process, silence of the others means nothing.
    fn allow_for_pause(&mut self, now: ClockTime) {
        let pause = now.millis_since(self.last_tick);
        self.last_tick = now;
        if pause < PAUSE_INTERVALS * self.options.probe_interval_millis {
            return;
        }
        self.probes.clear();
        let waiting = self.records.values_mut().filter_map(|record| record.deadline.as_mut());
        for deadline in waiting {
            *deadline = deadline.plus_millis(pause);
        }
    }

    fn ask_others(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        for (probe, target) in self.probes.take_unanswered(now) {
            let own = self.own;
            let helpers = self
                .records
                .values()
                .filter(|record| record.view.state == MemberState::Alive)
                .map(|record| record.view.spec.vm)
                .filter(|&vm| vm != own && vm != target)
                .choose_multiple(&mut self.random, self.options.indirect_probes);
            for helper in helpers {
                let body = self.compose(helper, probe, MessagePurpose::Ask);
                self.send(helper, MemberMessage::PingRequest { target, body }, actions);
            }
        }
    }

    fn suspect(&mut self, now: ClockTime, failed: &PendingProbe) {
        let deadline = now.plus_millis(self.options.suspicion_millis);
        let Some(record) = self.records.get_mut(&failed.target) else {
            return;
        };
        if record.view.spec.incarnation != failed.incarnation || record.is_dead() {
            return;
        }
        if record.deadline.is_none() {
            record.deadline = Some(deadline);
            record.recheck_at = Some(now);
        }
        if record.view.state == MemberState::Alive {
            record.view.state = MemberState::Suspect;
            self.spread.push(failed.target);
        }
    }

    fn bury_suspects(&mut self, now: ClockTime) {
        let late = |record: &&MemberRecord| record.deadline.is_some_and(|deadline| deadline <= now);
        let dead: Vec<MemberUpdate> = self
            .records
            .values()
            .filter(late)
            .map(|record| MemberUpdate { state: MemberState::Dead, ..record.belief() })
            .collect();
        for update in &dead {
            self.take_update(now, update);
        }
    }

    /// Gives suspects a chance to refute even if the word of it is lost on its way.
    fn recheck_suspects(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let next = now.plus_millis(self.recheck_millis());
        let mut due = Vec::new();
        for record in self.records.values_mut() {
            if record.recheck_at.is_some_and(|recheck_at| recheck_at <= now) {
                record.recheck_at = Some(next).filter(|&next| Some(next) < record.deadline);
                due.push(record.view.spec.vm);
            }
        }
        for vm in due {
            self.ping(vm, actions);
        }
    }

    fn recheck_millis(&self) -> u64 {
        self.options.suspicion_millis / RECHECKS
    }

    /// Probes a member without a consequence if it does not answer.
    fn ping(&mut self, vm: VmId, actions: &mut Vec<MemberAction>) {
        let number = self.probes.next_number();
        let body = self.compose(vm, number, MessagePurpose::Ask);
        self.send(vm, MemberMessage::Ping(body), actions);
    }

    fn forget_dead(&mut self, now: ClockTime) {
        let spread = &mut self.spread;
        self.records.retain(|&vm, record| {
            let keep = !record.is_dead() || record.forget_at > now;
            if !keep {
                spread.remove(vm);
            }
            keep
        });
    }

    fn probe_live(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now.plus_millis(self.probe_interval(now));
        let (own, records) = (self.own, &self.records);
        let probed = |vm: VmId| vm != own && records.get(&vm).is_some_and(|it| !it.is_dead());
        let members = records.keys().copied().filter(|&vm| probed(vm));
        let Some(target) = self.live_round.next(&mut self.random, members, probed) else {
            return;
        };
        self.probe(now, target, 1, actions);
    }

    /// Probes a member that is suspected if it does not answer this and all further attempts.
    fn probe(
        &mut self,
        now: ClockTime,
        target: VmId,
        attempt: u32,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(record) = self.records.get(&target) else {
            return;
        };
        let incarnation = record.view.spec.incarnation;
        let ask_at = Some(now.plus_millis(self.options.ack_timeout_millis));
        let fail_at = now.plus_millis(self.options.probe_timeout_millis);
        let number = self.probes.next_number();
        let pending = PendingProbe { target, incarnation, attempt, ask_at, fail_at };
        self.probes.wait_for(number, pending);
        let body = self.compose(target, number, MessagePurpose::Ask);
        self.send(target, MemberMessage::Ping(body), actions);
    }

    fn probe_dead(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_dead_probe {
            return;
        }
        let interval = if self.is_joining(now) || now < self.merging_until {
            self.options.join_interval_millis
        } else {
            self.options.dead_probe_interval_millis
        };
        self.next_dead_probe = now.plus_millis(interval);
        self.probe_contact(actions);
        let records = &self.records;
        let probed = |vm: VmId| records.get(&vm).is_some_and(MemberRecord::is_dead);
        let members = records.keys().copied().filter(|&vm| probed(vm));
        let Some(target) = self.dead_round.next(&mut self.random, members, probed) else {
            return;
        };
        self.ping(target, actions);
    }

    /// Probes an address from settings as long as no other member is live.
    fn probe_contact(&mut self, actions: &mut Vec<MemberAction>) {
        if self.others_live() > 0 {
            return;
        }
        let Some(address) = self.contacts.iter().copied().choose(&mut self.random) else {
            return;
        };
        let number = self.probes.next_number();
        let message = MemberMessage::Ping(self.compose(UNKNOWN_VM, number, MessagePurpose::Ask));
        actions.push(MemberAction::Send { vm: UNKNOWN_VM, address, message });
    }

    fn probe_interval(&self, now: ClockTime) -> u64 {
        if self.is_joining(now) {
            self.options.join_interval_millis
        } else {
            self.options.probe_interval_millis
        }
    }

    fn is_joining(&self, now: ClockTime) -> bool {
        now.millis_since(self.started) < self.options.join_millis || self.others_live() == 0
    }

    fn others_live(&self) -> usize {
        self.live_members().filter(|view| view.spec.vm != self.own).count()
    }

    /// Takes a message.
    pub fn handle_message(
        &mut self,
        now: ClockTime,
        origin: MessageOrigin,
        message: &MemberMessage,
    ) -> Vec<MemberAction> {
        if origin.vm == self.own {
            return Vec::new();
        }
        if let Some(newer) = self.newer_process(&origin) {
            return self.tell_displaced(&origin, newer);
        }
        let body = message.body();
        for update in &body.updates {
            self.take_update(now, update);
        }
        self.note_heard(now, &origin, body);
        let mut actions = Vec::new();
        match message {
            MemberMessage::Ping(body) => self.acknowledge(origin, body.probe, &mut actions),
            MemberMessage::Ack(body) => {
                if let Some(relayed) = self.probes.acknowledge(body.probe) {
                    let origin =
                        MessageOrigin { vm: relayed.vm, incarnation: 0, address: relayed.address };
                    self.acknowledge(origin, relayed.probe, &mut actions);
                }
            }
            MemberMessage::PingRequest { target, body } => {
                self.probe_for(now, origin, *target, body.probe, &mut actions);
            }
        }
        actions
    }

    /// What is known of a newer process on the sender's VM.
    fn newer_process(&self, origin: &MessageOrigin) -> Option<MemberUpdate> {
        let belief = self.records.get(&origin.vm)?.belief();
        (belief.spec.incarnation > origin.incarnation).then_some(belief)
    }

    /// Tells a process that a newer one took its place; nothing else is said to it.
    fn tell_displaced(&self, origin: &MessageOrigin, newer: MemberUpdate) -> Vec<MemberAction> {
        let body = ProbeBody { probe: 0, updates: vec![newer], revision: 0, in_force: 0, view: 0 };
        let message = MemberMessage::Ack(body);
        vec![MemberAction::Send { vm: origin.vm, address: origin.address, message }]
    }

    fn note_heard(&mut self, now: ClockTime, origin: &MessageOrigin, body: &ProbeBody) {
        self.highest_revision = self.highest_revision.max(body.revision);
        if body.view == self.view_digest {
            let (max_sends, records) = (self.max_sends(), &self.records);
            let in_digest = |vm| records.get(&vm).is_some_and(MemberRecord::is_in_digest);
            self.spread.note_known(max_sends, in_digest);
        }
        let Some(record) = self.records.get_mut(&origin.vm) else {
            return;
        };
        if record.view.spec.incarnation != origin.incarnation {
            return;
        }
        if record.is_dead() {
            self.merging_until = now.plus_millis(self.options.join_millis);
        }
        record.heard_view = body.view;
        record.view.revision = body.in_force;
        if record.view.state == MemberState::Leaving {
            record.deadline = None;
            record.recheck_at = None;
        }
    }

    fn acknowledge(&mut self, origin: MessageOrigin, probe: u64, actions: &mut Vec<MemberAction>) {
        let message = MemberMessage::Ack(self.compose(origin.vm, probe, MessagePurpose::Answer));
        actions.push(MemberAction::Send { vm: origin.vm, address: origin.address, message });
    }

    fn probe_for(
        &mut self,
        now: ClockTime,
        origin: MessageOrigin,
        target: VmId,
        probe: u64,
        actions: &mut Vec<MemberAction>,
    ) {
        if target == self.own || !self.records.contains_key(&target) {
            return;
        }
        let number = self.probes.next_number();
        let expires = now.plus_millis(self.options.probe_interval_millis);
        let relayed = RelayedProbe { vm: origin.vm, address: origin.address, probe, expires };
        self.probes.relay(number, relayed);
        let body = self.compose(target, number, MessagePurpose::Ask);
        self.send(target, MemberMessage::Ping(body), actions);
    }

    fn take_update(&mut self, now: ClockTime, update: &MemberUpdate) {
        let MemberSpec { vm, incarnation, .. } = update.spec;
        if vm == self.own {
            return self.take_own_update(update);
        }
        if incarnation == 0 || vm == UNKNOWN_VM {
            return;
        }
        let former = self.records.get(&vm);
        let replaces = former.map_or(!is_gone(update), |former| update.overrides(&former.belief()));
        if !replaces {
            return;
        }
        note_change(former, update, &mut self.events);
        let mut record = MemberRecord::new(update, now.plus_millis(self.options.forget_millis));
        if update.state == MemberState::Suspect {
            record.deadline = Some(now.plus_millis(self.options.suspicion_millis));
            record.recheck_at = Some(now.plus_millis(self.recheck_millis()));
        }
        if let Some(former) = former.filter(|it| it.view.spec.incarnation == incarnation) {
            record.heard_view = former.heard_view;
            record.view.revision = former.view.revision;
        }
        self.records.insert(vm, record);
        self.spread.push(vm);
        self.renew_digest();
    }

    fn take_own_update(&mut self, update: &MemberUpdate) {
        let own = self.own_record().clone();
        if update.spec.incarnation > own.view.spec.incarnation {
            let kind = MemberEventKind::Displaced;
            self.events.push(MemberEvent { spec: update.spec, kind });
            return;
        }
        let refuted =
            update.spec.incarnation < own.view.spec.incarnation || !update.overrides(&own.belief());
        if refuted {
            return;
        }
        if let Some(record) = self.records.get_mut(&self.own) {
            record.refutation = update.refutation.saturating_add(1);
        }
        self.spread.push(self.own);
    }

    fn renew_digest(&mut self) {
        self.view_digest = self
            .records
            .values()
            .filter(|record| record.is_live())
            .fold(0, |digest, record| digest ^ record.digest());
    }

    fn send(&self, vm: VmId, message: MemberMessage, actions: &mut Vec<MemberAction>) {
        if let Some(record) = self.records.get(&vm) {
            let address = record.view.spec.address;
            actions.push(MemberAction::Send { vm, address, message });
        }
    }

    /// What a message to `receiver` carries.
    fn compose(&mut self, receiver: VmId, probe: u64, purpose: MessagePurpose) -> ProbeBody {
        ProbeBody {
            probe,
            updates: self.choose_updates(receiver, purpose),
            revision: self.highest_revision,
            in_force: self.own_record().view.revision,
            view: self.view_digest,
        }
    }

    /// First what the receiver has to refute, then what changed, then what may have been lost.
    fn choose_updates(&mut self, receiver: VmId, purpose: MessagePurpose) -> Vec<MemberUpdate> {
        let known = self.records.get(&receiver).filter(|record| record.is_verified());
        let wrong = known.filter(|record| record.view.state != MemberState::Alive);
        let heard_view = known.map_or(0, |record| record.heard_view);
        let views_differ = purpose == MessagePurpose::Answer && heard_view != self.view_digest;
        let mut chosen: Vec<VmId> = wrong.map(|record| record.view.spec.vm).into_iter().collect();
        if views_differ || heard_view == 0 {
            chosen.push(self.own);
        }
        let limit = if views_differ {
            self.options.updates_per_sync
        } else {
            self.options.updates_per_message
        };
        let room = limit.saturating_sub(chosen.len());
        let spreading = self.spread.take(room, self.max_sends());
        chosen.extend(spreading);
        if views_differ {
            let room = limit.saturating_sub(chosen.len());
            chosen.extend(self.next_to_sync(room));
        }
        let chosen: BTreeSet<VmId> = chosen.into_iter().collect();
        chosen.iter().filter_map(|vm| self.records.get(vm)).map(MemberRecord::belief).collect()
    }

    /// How often one belief is sent.
    fn max_sends(&self) -> u32 {
        self.options.sends_per_doubling * doublings(self.records.len())
    }

    /// The next members, in turn, whose beliefs are sent to one with another view.
    fn next_to_sync(&mut self, count: usize) -> Vec<VmId> {
        let cursor = self.sync_cursor;
        let verified = |(&vm, record): (&VmId, &MemberRecord)| record.is_verified().then_some(vm);
        let behind = self.records.range(..=cursor).filter_map(verified);
        let ahead = self.records.range(cursor..).skip_while(|&(&vm, _)| vm == cursor);
        let members: Vec<VmId> = ahead.filter_map(verified).chain(behind).take(count).collect();
        if let Some(&last) = members.last() {
            self.sync_cursor = last;
        }
        members
    }

    /// Announces that this router is shutting down.
    pub fn leave(&mut self, _now: ClockTime) -> Vec<MemberAction> {
        if let Some(record) = self.records.get_mut(&self.own) {
            record.view.state = MemberState::Leaving;
        }
        self.spread.push(self.own);
        self.renew_digest();
        let own = self.own;
        let told = self
            .records
            .values()
            .filter(|record| record.is_live())
            .map(|record| record.view.spec.vm)
            .filter(|&vm| vm != own)
            .choose_multiple(&mut self.random, self.options.leave_messages);
        let mut actions = Vec::new();
        for vm in told {
            self.ping(vm, &mut actions);
        }
        actions
    }

    /// Sets the configuration revision in force on this router.
    pub fn set_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
        if let Some(record) = self.records.get_mut(&self.own) {
            record.view.revision = revision;
        }
    }

    /// The highest configuration revision heard of.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// Members taken as live, this router included unless it is leaving.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberView> {
        self.records.values().filter(|record| record.is_live()).map(|record| &record.view)
    }

    /// Every member ever heard and not forgotten, whatever its state.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.records.values().filter(|record| record.is_verified()).map(|record| &record.view)
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// When `tick` is due.
    pub fn next_due(&self) -> ClockTime {
        let deadlines =
            self.records.values().flat_map(|record| record.recheck_at.or(record.deadline));
        let probes = [self.next_probe, self.next_dead_probe];
        let due = deadlines.chain(self.probes.next_due()).chain(probes).min();
        due.unwrap_or(self.next_probe)
    }

    fn own_record(&self) -> &MemberRecord {
        &self.records[&self.own]
    }
}

/// How often a count doubles from one; at least once.
fn doublings(count: usize) -> u32 {
    (count + 1).ilog2().max(1)
}
