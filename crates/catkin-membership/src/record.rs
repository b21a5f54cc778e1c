//! The record of one member.

use catkin_base::{ClockTime, hash_parts};

use crate::member::{MemberSpec, MemberState, MemberUpdate, MemberView};

/// State of one member in the table.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) view: MemberView,
    pub(crate) refutation: u32,
    /// When a suspected or leaving member is declared dead.
    pub(crate) deadline: Option<ClockTime>,
    /// When the member is pinged again before the deadline.
    pub(crate) recheck_at: Option<ClockTime>,
    /// When the record is removed if the member is dead or unverified.
    pub(crate) forget_at: ClockTime,
    /// Digest of the live members in the last message from this member; zero if none.
    pub(crate) last_view_digest: u64,
}

impl MemberRecord {
    /// Creates the record of a member known from an update.
    pub(crate) fn new(update: &MemberUpdate, forget_at: ClockTime) -> Self {
        let view = MemberView { spec: update.spec, state: update.state, revision_in_force: 0 };
        Self {
            view,
            refutation: update.refutation,
            deadline: None,
            recheck_at: None,
            forget_at,
            last_view_digest: 0,
        }
    }

    /// Creates the record of a member known only from the platform's list or from settings.
    pub(crate) fn unverified(spec: &MemberSpec, forget_at: ClockTime) -> Self {
        let spec = MemberSpec { incarnation: 0, ..*spec };
        Self::new(&MemberUpdate { spec, refutation: 0, state: MemberState::Dead }, forget_at)
    }

    /// The update that describes this member.
    pub(crate) fn to_update(&self) -> MemberUpdate {
        let MemberView { spec, state, .. } = self.view;
        MemberUpdate { spec, refutation: self.refutation, state }
    }

    /// Whether a message from the member or an update about it was ever received.
    pub(crate) fn is_verified(&self) -> bool {
        self.view.spec.incarnation > 0
    }

    /// Whether the member counts as live: alive or suspected.
    pub(crate) fn is_live(&self) -> bool {
        self.view.state <= MemberState::Suspect
    }

    /// Whether the member is declared dead, or unverified.
    pub(crate) fn is_dead(&self) -> bool {
        self.view.state == MemberState::Dead
    }

    /// Whether the digest of live members determines the update about this member.
    pub(crate) fn is_covered_by_digest(&self) -> bool {
        self.refutation == 0 && self.view.state != MemberState::Suspect
    }

    /// The member's contribution to the digest of live members.
    pub(crate) fn digest(&self) -> u64 {
        let MemberSpec { vm, incarnation, .. } = self.view.spec;
        hash_parts(&[&vm.0.to_le_bytes(), &incarnation.to_le_bytes()])
    }
}
