//! Tracks pending probes, relayed probes and the order in which members are probed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use catkin_base::{ClockTime, VmId, copy_type};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

copy_type! {
    /// A probe that awaits its acknowledgement.
    pub(crate) struct PendingProbe {
        /// The probed member.
        pub(crate) target: VmId,
        /// Incarnation of the probed process.
        pub(crate) incarnation: u64,
        /// Number of the attempt, from 1.
        pub(crate) attempt: u32,
        /// When indirect probes are requested; `None` once they were.
        pub(crate) indirect_at: Option<ClockTime>,
        /// When the probe fails.
        pub(crate) fail_at: ClockTime,
    }
}

copy_type! {
    /// A probe on behalf of another member.
    pub(crate) struct RelayedProbe {
        /// The requesting member.
        pub(crate) vm: VmId,
        /// Its address.
        pub(crate) address: SocketAddr,
        /// Number that the requesting member assigned to the probe.
        pub(crate) probe: u64,
        /// When the relay expires.
        pub(crate) expires_at: ClockTime,
    }
}

/// Pending and relayed probes by number.
#[derive(Debug, Default)]
pub(crate) struct ProbeTracker {
    last: u64,
    pending: BTreeMap<u64, PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl ProbeTracker {
    /// Returns the number of the next probe.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Adds a probe that awaits its acknowledgement.
    pub(crate) fn add_pending(&mut self, number: u64, pending: PendingProbe) {
        self.pending.insert(number, pending);
    }

    /// Adds a probe whose acknowledgement is relayed to the requesting member.
    pub(crate) fn add_relayed(&mut self, number: u64, relayed: RelayedProbe) {
        self.relayed.insert(number, relayed);
    }

    /// Removes an acknowledged probe; returns the relay if another member requested the probe.
    pub(crate) fn acknowledge(&mut self, number: u64) -> Option<RelayedProbe> {
        self.pending.remove(&number);
        self.relayed.remove(&number)
    }

    /// Takes the probes for which indirect probes are due.
    pub(crate) fn take_unanswered(&mut self, now: ClockTime) -> Vec<(u64, VmId)> {
        let mut unanswered = Vec::new();
        for (&number, pending) in &mut self.pending {
            if pending.indirect_at.is_some_and(|indirect_at| indirect_at <= now) {
                pending.indirect_at = None;
                unanswered.push((number, pending.target));
            }
        }
        unanswered
    }

    /// Takes the failed probes, and removes the expired relays.
    pub(crate) fn take_failed(&mut self, now: ClockTime) -> Vec<PendingProbe> {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
        self.pending.extract_if(.., |_, pending| pending.fail_at <= now).map(|(_, it)| it).collect()
    }

    /// Removes all probes, after a pause of the process in which no message was received.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    /// When the next pending probe is due for indirect probes or fails.
    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.pending.values().map(|pending| pending.indirect_at.unwrap_or(pending.fail_at)).min()
    }
}

/// A random order in which members are probed; each member is probed once per pass.
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    remaining: VecDeque<VmId>,
}

impl ProbeOrder {
    /// Returns the next member that fulfils `accepts`. At the end of a pass, the next one is a
    /// shuffle of `members`.
    pub(crate) fn next(
        &mut self,
        random: &mut StdRng,
        members: impl Iterator<Item = VmId>,
        accepts: impl Fn(VmId) -> bool,
    ) -> Option<VmId> {
        while let Some(vm) = self.remaining.pop_front() {
            if accepts(vm) {
                return Some(vm);
            }
        }
        let mut shuffled: Vec<VmId> = members.collect();
        shuffled.shuffle(random);
        self.remaining = shuffled.into();
        self.remaining.pop_front()
    }
}
