//! What is kept for each member.

use catkin_base::{ClockTime, hash_parts};

use crate::member::{MemberSpec, MemberState, MemberUpdate, MemberView};

/// What is kept for each member.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) view: MemberView,
    pub(crate) refutation: u32,
    /// When it is taken as dead unless it is heard.
    pub(crate) deadline: Option<ClockTime>,
    /// When it is probed again before the deadline.
    pub(crate) recheck_at: Option<ClockTime>,
    /// When it is forgotten if it is dead or unverified.
    pub(crate) forget_at: ClockTime,
    /// Digest of the live members that it last sent.
    pub(crate) heard_view: u64,
}

impl MemberRecord {
    /// A member known from a belief.
    pub(crate) fn new(update: &MemberUpdate, forget_at: ClockTime) -> Self {
        let view = MemberView { spec: update.spec, state: update.state, revision: 0 };
        Self {
            view,
            refutation: update.refutation,
            deadline: None,
            recheck_at: None,
            forget_at,
            heard_view: 0,
        }
    }

    /// A member known from the platform's list or from settings only.
    pub(crate) fn unverified(spec: &MemberSpec, forget_at: ClockTime) -> Self {
        let spec = MemberSpec { incarnation: 0, ..*spec };
        Self::new(&MemberUpdate { spec, refutation: 0, state: MemberState::Dead }, forget_at)
    }

    /// The belief that is held of it.
    pub(crate) fn belief(&self) -> MemberUpdate {
        let MemberView { spec, state, .. } = self.view;
        MemberUpdate { spec, refutation: self.refutation, state }
    }

    /// Whether a message from it, or a belief about it, ever arrived.
    pub(crate) fn is_verified(&self) -> bool {
        self.view.spec.incarnation > 0
    }

    /// Whether it counts as live.
    pub(crate) fn is_live(&self) -> bool {
        self.view.state <= MemberState::Suspect
    }

    /// Whether its process is taken as gone.
    pub(crate) fn is_dead(&self) -> bool {
        self.view.state == MemberState::Dead
    }

    /// Whether the digest of live members tells all of this belief.
    pub(crate) fn is_in_digest(&self) -> bool {
        self.refutation == 0 && self.view.state != MemberState::Suspect
    }

    /// Its part of the digest of live members.
    pub(crate) fn digest(&self) -> u64 {
        let MemberSpec { vm, incarnation, .. } = self.view.spec;
        hash_parts(&[&vm.0.to_le_bytes(), &incarnation.to_le_bytes()])
    }
}
