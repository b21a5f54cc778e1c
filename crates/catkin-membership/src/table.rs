//! The table of members.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, VmId};

use crate::member::{MemberEvent, MemberSpec, MemberState, MemberView};
use crate::message::{MemberAction, MemberMessage, MessageOrigin};
use crate::rules::MembershipRules;

/// What one router believes of the fleet.
#[derive(Debug)]
pub struct MemberTable {
    rules: MembershipRules,
    own: MemberSpec,
    views: BTreeMap<VmId, MemberView>,
    events: Vec<MemberEvent>,
    next_probe: ClockTime,
}

impl MemberTable {
    /// A table that knows only its own router.
    pub fn new(own: MemberSpec, rules: MembershipRules, _seed: u64, now: ClockTime) -> Self {
        let view = MemberView { spec: own, state: MemberState::Alive, revision: 0 };
        let views = BTreeMap::from([(own.vm, view)]);
        Self { rules, own, views, events: Vec::new(), next_probe: now }
    }

    /// Adds members from the platform's list or from settings, unverified until heard.
    pub fn seed(&mut self, _now: ClockTime, _specs: &[MemberSpec]) {}

    /// Does what is due: probes, timeouts, forgetting.
    pub fn tick(&mut self, now: ClockTime) -> Vec<MemberAction> {
        self.next_probe = now.plus_millis(self.rules.probe_interval_millis);
        Vec::new()
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        _now: ClockTime,
        _origin: MessageOrigin,
        _message: &MemberMessage,
    ) -> Vec<MemberAction> {
        Vec::new()
    }

    /// Announces that this router is shutting down.
    pub fn leave(&mut self, _now: ClockTime) -> Vec<MemberAction> {
        Vec::new()
    }

    /// Sets the configuration revision in force on this router.
    pub fn set_revision(&mut self, revision: u64) {
        if let Some(view) = self.views.get_mut(&self.own.vm) {
            view.revision = revision;
        }
    }

    /// The highest configuration revision heard of.
    pub fn highest_revision(&self) -> u64 {
        self.views.values().map(|view| view.revision).max().unwrap_or(0)
    }

    /// Members taken as live, this router included unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &MemberView> {
        self.views.values().filter(|view| view.state <= MemberState::Suspect)
    }

    /// Takes the changes since the last call.
    pub fn events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// When `tick` is due.
    pub fn next_due(&self) -> ClockTime {
        self.next_probe
    }
}
