//! Probes on their way and probes done for others.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use catkin_base::{ClockTime, VmId, copy_type};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

copy_type! {
    /// A probe that waits for its acknowledgement.
    pub(crate) struct PendingProbe {
        /// The probed member.
        pub(crate) target: VmId,
        /// The probed process.
        pub(crate) incarnation: u64,
        /// Number of the attempt, from 1.
        pub(crate) attempt: u32,
        /// When others are asked; `None` once they were.
        pub(crate) ask_at: Option<ClockTime>,
        /// When it has failed.
        pub(crate) fail_at: ClockTime,
    }
}

copy_type! {
    /// A probe done on behalf of another member.
    pub(crate) struct RelayedProbe {
        /// The member that asked.
        pub(crate) vm: VmId,
        /// Its address.
        pub(crate) address: SocketAddr,
        /// Its number of the probe.
        pub(crate) probe: u64,
        /// When the relay is given up.
        pub(crate) expires: ClockTime,
    }
}

/// Probes on their way and probes done for others, by number.
#[derive(Debug, Default)]
pub(crate) struct ProbeBook {
    last: u64,
    pending: BTreeMap<u64, PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
}

impl ProbeBook {
    /// A number for the next probe.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Waits for the acknowledgement of a probe.
    pub(crate) fn wait_for(&mut self, number: u64, pending: PendingProbe) {
        self.pending.insert(number, pending);
    }

    /// Relays the acknowledgement of a probe when it arrives.
    pub(crate) fn relay(&mut self, number: u64, relayed: RelayedProbe) {
        self.relayed.insert(number, relayed);
    }

    /// Takes an acknowledgement; returns where to relay it, if it was asked for by another.
    pub(crate) fn acknowledge(&mut self, number: u64) -> Option<RelayedProbe> {
        self.pending.remove(&number);
        self.relayed.remove(&number)
    }

    /// Takes the probes for which others are to be asked now.
    pub(crate) fn take_unanswered(&mut self, now: ClockTime) -> Vec<(u64, VmId)> {
        let mut unanswered = Vec::new();
        for (&number, pending) in &mut self.pending {
            if pending.ask_at.is_some_and(|ask_at| ask_at <= now) {
                pending.ask_at = None;
                unanswered.push((number, pending.target));
            }
        }
        unanswered
    }

    /// Takes the probes that have failed, and gives up relays.
    pub(crate) fn take_failed(&mut self, now: ClockTime) -> Vec<PendingProbe> {
        self.relayed.retain(|_, relayed| relayed.expires > now);
        self.pending.extract_if(.., |_, pending| pending.fail_at <= now).map(|(_, it)| it).collect()
    }

    /// Gives up all probes, after a pause in which no answer could be taken.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    /// When the next probe has to be looked at.
    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.pending.values().map(|pending| pending.ask_at.unwrap_or(pending.fail_at)).min()
    }
}

/// Members in the random order in which they are probed, each once a round.
#[derive(Debug, Default)]
pub(crate) struct ProbeRound {
    order: VecDeque<VmId>,
}

impl ProbeRound {
    /// The next member that `accepts`; `members` makes up a new round when one is over.
    pub(crate) fn next(
        &mut self,
        random: &mut StdRng,
        members: impl Iterator<Item = VmId>,
        accepts: impl Fn(VmId) -> bool,
    ) -> Option<VmId> {
        while let Some(vm) = self.order.pop_front() {
            if accepts(vm) {
                return Some(vm);
            }
        }
        let mut round: Vec<VmId> = members.collect();
        round.shuffle(random);
        self.order = round.into();
        self.order.pop_front()
    }
}
