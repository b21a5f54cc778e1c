//! The member table: one router's view of the fleet, and the protocol that maintains it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use catkin_base::{ClockTime, VmId};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::gossip_queue::GossipQueue;
use crate::member::{
    MemberEvent, MemberEventKind, MemberSpec, MemberState, MemberUpdate, MemberView,
};
use crate::member_events::{has_left, push_member_events};
use crate::message::{MemberAction, MemberMessage, MessageOrigin, ProbeBody};
use crate::options::MembershipOptions;
use crate::probe_tracker::{PendingProbe, ProbeOrder, ProbeTracker, RelayedProbe};
use crate::record::MemberRecord;

/// Receiver of a probe to an address whose VM is unknown.
const UNKNOWN_VM: VmId = VmId(0);
/// Number of probe intervals without a tick after which this process counts as paused.
const PAUSE_INTERVALS: u64 = 3;
/// Number of consecutive probes that must fail before a member is suspected.
const PROBE_ATTEMPTS: u32 = 2;
/// Number of pings to a suspected member before it is declared dead; several, because a message to
/// it may be lost.
const SUSPECT_RECHECKS: u64 = 4;

/// Whether a message is a request or an answer.
///
/// Only an answer follows directly on a message of its receiver, so only then is the receiver's
/// view known. For a request, the last known view may be minutes old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessagePurpose {
    Request,
    Answer,
}

/// One router's view of the fleet.
#[derive(Debug)]
pub struct MemberTable {
    options: MembershipOptions,
    local_vm: VmId,
    random: StdRng,
    records: BTreeMap<VmId, MemberRecord>,
    /// Addresses from settings whose VM is unknown.
    seed_addresses: BTreeSet<SocketAddr>,
    gossip: GossipQueue,
    probes: ProbeTracker,
    live_order: ProbeOrder,
    dead_order: ProbeOrder,
    events: Vec<MemberEvent>,
    highest_revision: u64,
    sync_cursor: VmId,
    view_digest: u64,
    started_at: ClockTime,
    last_tick_at: ClockTime,
    next_probe_at: ClockTime,
    next_dead_probe_at: ClockTime,
    /// Until when dead members are probed at the join interval: a message from one of them shows
    /// that the network may have healed.
    merging_until: ClockTime,
}

impl MemberTable {
    /// Creates a table that contains only the local router.
    pub fn new(local: MemberSpec, options: MembershipOptions, seed: u64, now: ClockTime) -> Self {
        let update = MemberUpdate { spec: local, refutation: 0, state: MemberState::Alive };
        let record = MemberRecord::new(&update, now);
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            options,
            local_vm: local.vm,
            gossip: GossipQueue::new(random.random()),
            sync_cursor: VmId(random.random()),
            random,
            view_digest: record.digest(),
            records: BTreeMap::from([(local.vm, record)]),
            seed_addresses: BTreeSet::new(),
            probes: ProbeTracker::default(),
            live_order: ProbeOrder::default(),
            dead_order: ProbeOrder::default(),
            events: Vec::new(),
            highest_revision: 0,
            started_at: now,
            last_tick_at: now,
            next_probe_at: now,
            next_dead_probe_at: now,
            merging_until: now,
        }
    }

    /// Adds members from the platform's list or from settings. They are unverified until a message
    /// from them or an update about them arrives.
    ///
    /// A spec with VM zero stands for an address whose VM is unknown.
    pub fn add_seeds(&mut self, now: ClockTime, specs: &[MemberSpec]) {
        let local_address = self.local_record().view.spec.address;
        let forget_at = now.plus_millis(self.options.forget_millis);
        let local_vm = self.local_vm;
        for spec in specs.iter().filter(|spec| spec.vm != local_vm) {
            if spec.vm != UNKNOWN_VM {
                self.seed_member(spec, forget_at);
            } else if spec.address != local_address {
                self.seed_addresses.insert(spec.address);
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

    /// Handles what is due: probes, timeouts, and the removal of dead members.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberAction> {
        self.handle_pause(now);
        let mut actions = Vec::new();
        self.request_indirect_probes(now, &mut actions);
        for failed in self.probes.take_failed(now) {
            if failed.attempt < PROBE_ATTEMPTS {
                self.probe_member(now, failed.target, failed.attempt + 1, &mut actions);
            } else {
                self.suspect_member(now, &failed);
            }
        }
        self.expire_suspects(now);
        self.recheck_suspects(now, &mut actions);
        self.remove_dead(now);
        self.probe_live(now, &mut actions);
        self.probe_dead(now, &mut actions);
        actions
    }

    /// After a pause of this process, drops all probes and extends the deadlines of members by the
    /// pause: no message was received in it, so missing answers do not show a failure.
    fn handle_pause(&mut self, now: ClockTime) {
        let pause = now.millis_since(self.last_tick_at);
        self.last_tick_at = now;
        if pause < PAUSE_INTERVALS * self.options.probe_interval_millis {
            return;
        }
        self.probes.clear();
        let waiting = self.records.values_mut().filter_map(|record| record.deadline.as_mut());
        for deadline in waiting {
            *deadline = deadline.plus_millis(pause);
        }
    }

    fn request_indirect_probes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        for (probe, target) in self.probes.take_unanswered(now) {
            let local_vm = self.local_vm;
            let helpers = self
                .records
                .values()
                .filter(|record| record.view.state == MemberState::Alive)
                .map(|record| record.view.spec.vm)
                .filter(|&vm| vm != local_vm && vm != target)
                .choose_multiple(&mut self.random, self.options.indirect_probes);
            for helper in helpers {
                let body = self.compose_body(helper, probe, MessagePurpose::Request);
                self.send(helper, MemberMessage::PingRequest { target, body }, actions);
            }
        }
    }

    fn suspect_member(&mut self, now: ClockTime, failed: &PendingProbe) {
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
            self.gossip.push(failed.target);
        }
    }

    fn expire_suspects(&mut self, now: ClockTime) {
        let expired =
            |record: &&MemberRecord| record.deadline.is_some_and(|deadline| deadline <= now);
        let dead: Vec<MemberUpdate> = self
            .records
            .values()
            .filter(expired)
            .map(|record| MemberUpdate { state: MemberState::Dead, ..record.to_update() })
            .collect();
        for update in &dead {
            self.apply_update(now, update);
        }
    }

    /// Pings suspected members, so that they can refute the suspicion even if the first message
    /// about it was lost.
    fn recheck_suspects(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let next = now.plus_millis(self.recheck_interval());
        let mut due = Vec::new();
        for record in self.records.values_mut() {
            if record.recheck_at.is_some_and(|recheck_at| recheck_at <= now) {
                record.recheck_at = Some(next).filter(|&next| Some(next) < record.deadline);
                due.push(record.view.spec.vm);
            }
        }
        for vm in due {
            self.ping_member(vm, actions);
        }
    }

    fn recheck_interval(&self) -> u64 {
        self.options.suspicion_millis / SUSPECT_RECHECKS
    }

    /// Pings a member; a missing acknowledgement has no consequence.
    fn ping_member(&mut self, vm: VmId, actions: &mut Vec<MemberAction>) {
        let number = self.probes.next_number();
        let body = self.compose_body(vm, number, MessagePurpose::Request);
        self.send(vm, MemberMessage::Ping(body), actions);
    }

    fn remove_dead(&mut self, now: ClockTime) {
        let gossip = &mut self.gossip;
        self.records.retain(|&vm, record| {
            let keep = !record.is_dead() || record.forget_at > now;
            if !keep {
                gossip.remove(vm);
            }
            keep
        });
    }

    fn probe_live(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now.plus_millis(self.probe_interval(now));
        let (local_vm, records) = (self.local_vm, &self.records);
        let probed = |vm: VmId| vm != local_vm && records.get(&vm).is_some_and(|it| !it.is_dead());
        let members = records.keys().copied().filter(|&vm| probed(vm));
        let Some(target) = self.live_order.next(&mut self.random, members, probed) else {
            return;
        };
        self.probe_member(now, target, 1, actions);
    }

    /// Probes a member. It is suspected if this attempt and all further ones fail.
    fn probe_member(
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
        let indirect_at = Some(now.plus_millis(self.options.ack_timeout_millis));
        let fail_at = now.plus_millis(self.options.probe_timeout_millis);
        let number = self.probes.next_number();
        let pending = PendingProbe { target, incarnation, attempt, indirect_at, fail_at };
        self.probes.add_pending(number, pending);
        let body = self.compose_body(target, number, MessagePurpose::Request);
        self.send(target, MemberMessage::Ping(body), actions);
    }

    fn probe_dead(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if now < self.next_dead_probe_at {
            return;
        }
        let interval = if self.is_joining(now) || now < self.merging_until {
            self.options.join_interval_millis
        } else {
            self.options.dead_probe_interval_millis
        };
        self.next_dead_probe_at = now.plus_millis(interval);
        self.probe_seed(actions);
        let records = &self.records;
        let probed = |vm: VmId| records.get(&vm).is_some_and(MemberRecord::is_dead);
        let members = records.keys().copied().filter(|&vm| probed(vm));
        let Some(target) = self.dead_order.next(&mut self.random, members, probed) else {
            return;
        };
        self.ping_member(target, actions);
    }

    /// Probes a random address from settings if no other member is live.
    fn probe_seed(&mut self, actions: &mut Vec<MemberAction>) {
        if self.count_live_peers() > 0 {
            return;
        }
        let Some(address) = self.seed_addresses.iter().copied().choose(&mut self.random) else {
            return;
        };
        let number = self.probes.next_number();
        let message =
            MemberMessage::Ping(self.compose_body(UNKNOWN_VM, number, MessagePurpose::Request));
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
        now.millis_since(self.started_at) < self.options.join_millis || self.count_live_peers() == 0
    }

    fn count_live_peers(&self) -> usize {
        self.live_members().filter(|view| view.spec.vm != self.local_vm).count()
    }

    /// Handles a received message.
    pub fn handle_message(
        &mut self,
        now: ClockTime,
        origin: MessageOrigin,
        message: &MemberMessage,
    ) -> Vec<MemberAction> {
        if origin.vm == self.local_vm {
            return Vec::new();
        }
        if let Some(newer) = self.find_newer_process(&origin) {
            return self.reply_displaced(&origin, newer);
        }
        let body = message.body();
        for update in &body.updates {
            self.apply_update(now, update);
        }
        self.record_sender(now, &origin, body);
        let mut actions = Vec::new();
        match message {
            MemberMessage::Ping(body) => self.send_ack(origin, body.probe, &mut actions),
            MemberMessage::Ack(body) => {
                if let Some(relayed) = self.probes.acknowledge(body.probe) {
                    let origin =
                        MessageOrigin { vm: relayed.vm, incarnation: 0, address: relayed.address };
                    self.send_ack(origin, relayed.probe, &mut actions);
                }
            }
            MemberMessage::PingRequest { target, body } => {
                self.probe_on_behalf(now, origin, *target, body.probe, &mut actions);
            }
        }
        actions
    }

    /// Returns the update about a newer process on the sender's VM, if one is known.
    fn find_newer_process(&self, origin: &MessageOrigin) -> Option<MemberUpdate> {
        let update = self.records.get(&origin.vm)?.to_update();
        (update.spec.incarnation > origin.incarnation).then_some(update)
    }

    /// Notifies a process that a newer one runs on its VM. The message has no other content.
    fn reply_displaced(&self, origin: &MessageOrigin, newer: MemberUpdate) -> Vec<MemberAction> {
        let body = ProbeBody { probe: 0, updates: vec![newer], revision: 0, in_force: 0, view: 0 };
        let message = MemberMessage::Ack(body);
        vec![MemberAction::Send { vm: origin.vm, address: origin.address, message }]
    }

    fn record_sender(&mut self, now: ClockTime, origin: &MessageOrigin, body: &ProbeBody) {
        self.highest_revision = self.highest_revision.max(body.revision);
        if body.view == self.view_digest {
            let (max_sends, records) = (self.max_sends(), &self.records);
            let is_covered = |vm| records.get(&vm).is_some_and(MemberRecord::is_covered_by_digest);
            self.gossip.count_known_as_sent(max_sends, is_covered);
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
        record.last_view_digest = body.view;
        record.view.revision_in_force = body.in_force;
        if record.view.state == MemberState::Leaving {
            record.deadline = None;
            record.recheck_at = None;
        }
    }

    fn send_ack(&mut self, origin: MessageOrigin, probe: u64, actions: &mut Vec<MemberAction>) {
        let message =
            MemberMessage::Ack(self.compose_body(origin.vm, probe, MessagePurpose::Answer));
        actions.push(MemberAction::Send { vm: origin.vm, address: origin.address, message });
    }

    fn probe_on_behalf(
        &mut self,
        now: ClockTime,
        origin: MessageOrigin,
        target: VmId,
        probe: u64,
        actions: &mut Vec<MemberAction>,
    ) {
        if target == self.local_vm || !self.records.contains_key(&target) {
            return;
        }
        let number = self.probes.next_number();
        let expires_at = now.plus_millis(self.options.probe_interval_millis);
        let relayed = RelayedProbe { vm: origin.vm, address: origin.address, probe, expires_at };
        self.probes.add_relayed(number, relayed);
        let body = self.compose_body(target, number, MessagePurpose::Request);
        self.send(target, MemberMessage::Ping(body), actions);
    }

    fn apply_update(&mut self, now: ClockTime, update: &MemberUpdate) {
        let MemberSpec { vm, incarnation, .. } = update.spec;
        if vm == self.local_vm {
            return self.apply_local_update(update);
        }
        if incarnation == 0 || vm == UNKNOWN_VM {
            return;
        }
        let former = self.records.get(&vm);
        let replaces =
            former.map_or(!has_left(update), |former| update.overrides(&former.to_update()));
        if !replaces {
            return;
        }
        push_member_events(former, update, &mut self.events);
        let mut record = MemberRecord::new(update, now.plus_millis(self.options.forget_millis));
        if update.state == MemberState::Suspect {
            record.deadline = Some(now.plus_millis(self.options.suspicion_millis));
            record.recheck_at = Some(now.plus_millis(self.recheck_interval()));
        }
        if let Some(former) = former.filter(|it| it.view.spec.incarnation == incarnation) {
            record.last_view_digest = former.last_view_digest;
            record.view.revision_in_force = former.view.revision_in_force;
        }
        self.records.insert(vm, record);
        self.gossip.push(vm);
        self.update_digest();
    }

    fn apply_local_update(&mut self, update: &MemberUpdate) {
        let local = self.local_record().clone();
        if update.spec.incarnation > local.view.spec.incarnation {
            let kind = MemberEventKind::Displaced;
            self.events.push(MemberEvent { spec: update.spec, kind });
            return;
        }
        let is_outdated = update.spec.incarnation < local.view.spec.incarnation
            || !update.overrides(&local.to_update());
        if is_outdated {
            return;
        }
        if let Some(record) = self.records.get_mut(&self.local_vm) {
            record.refutation = update.refutation.saturating_add(1);
        }
        self.gossip.push(self.local_vm);
    }

    fn update_digest(&mut self) {
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

    /// Composes the body of a message to `receiver`.
    fn compose_body(&mut self, receiver: VmId, probe: u64, purpose: MessagePurpose) -> ProbeBody {
        ProbeBody {
            probe,
            updates: self.choose_updates(receiver, purpose),
            revision: self.highest_revision,
            in_force: self.local_record().view.revision_in_force,
            view: self.view_digest,
        }
    }

    /// Selects the updates for a message: first the one that the receiver has to refute, then
    /// recent changes, then, if the views differ, those that the receiver may have missed.
    fn choose_updates(&mut self, receiver: VmId, purpose: MessagePurpose) -> Vec<MemberUpdate> {
        let known = self.records.get(&receiver).filter(|record| record.is_verified());
        let wrong = known.filter(|record| record.view.state != MemberState::Alive);
        let last_view_digest = known.map_or(0, |record| record.last_view_digest);
        let views_differ =
            purpose == MessagePurpose::Answer && last_view_digest != self.view_digest;
        let mut chosen: Vec<VmId> = wrong.map(|record| record.view.spec.vm).into_iter().collect();
        if views_differ || last_view_digest == 0 {
            chosen.push(self.local_vm);
        }
        let limit = if views_differ {
            self.options.updates_per_sync
        } else {
            self.options.updates_per_message
        };
        let remaining = limit.saturating_sub(chosen.len());
        let queued = self.gossip.take(remaining, self.max_sends());
        chosen.extend(queued);
        if views_differ {
            let remaining = limit.saturating_sub(chosen.len());
            chosen.extend(self.take_sync_members(remaining));
        }
        let chosen: BTreeSet<VmId> = chosen.into_iter().collect();
        chosen.iter().filter_map(|vm| self.records.get(vm)).map(MemberRecord::to_update).collect()
    }

    /// Maximum number of times that one update is sent.
    fn max_sends(&self) -> u32 {
        self.options.sends_per_doubling * count_doublings(self.records.len())
    }

    /// Takes the next `count` members in turn; their updates are sent to a member with a different
    /// view.
    fn take_sync_members(&mut self, count: usize) -> Vec<VmId> {
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

    /// Announces that the local router is shutting down.
    pub fn leave(&mut self, _now: ClockTime) -> Vec<MemberAction> {
        if let Some(record) = self.records.get_mut(&self.local_vm) {
            record.view.state = MemberState::Leaving;
        }
        self.gossip.push(self.local_vm);
        self.update_digest();
        let local_vm = self.local_vm;
        let receivers = self
            .records
            .values()
            .filter(|record| record.is_live())
            .map(|record| record.view.spec.vm)
            .filter(|&vm| vm != local_vm)
            .choose_multiple(&mut self.random, self.options.leave_messages);
        let mut actions = Vec::new();
        for vm in receivers {
            self.ping_member(vm, &mut actions);
        }
        actions
    }

    /// Sets the revision of the declarations in force on the local router.
    pub fn set_revision_in_force(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
        if let Some(record) = self.records.get_mut(&self.local_vm) {
            record.view.revision_in_force = revision;
        }
    }

    /// The highest revision of the declarations known in the fleet.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// Live members, including the local router unless it is leaving.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberView> {
        self.records.values().filter(|record| record.is_live()).map(|record| &record.view)
    }

    /// Verified members in any state that were not removed yet.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.records.values().filter(|record| record.is_verified()).map(|record| &record.view)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// When the next call of [`Self::tick`] is due.
    pub fn next_due(&self) -> ClockTime {
        let deadlines =
            self.records.values().flat_map(|record| record.recheck_at.or(record.deadline));
        let probes = [self.next_probe_at, self.next_dead_probe_at];
        let due = deadlines.chain(self.probes.next_due()).chain(probes).min();
        due.unwrap_or(self.next_probe_at)
    }

    fn local_record(&self) -> &MemberRecord {
        &self.records[&self.local_vm]
    }
}

/// Base-2 logarithm of `count + 1`, rounded down and at least one.
fn count_doublings(count: usize) -> u32 {
    (count + 1).ilog2().max(1)
}
