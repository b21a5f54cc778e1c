//! Members, their states and what is reported of them.

use std::net::SocketAddr;

use catkin_base::{DomainId, RegionId, VmId, copy_type, value_type};

value_type! {
    /// A router process and where it runs.
    #[derive(Copy)]
    pub struct MemberSpec {
        /// Its VM.
        pub vm: VmId,
        /// Identifies the process; higher after each restart of the VM. Zero if not yet known.
        pub incarnation: u64,
        /// Address of its peer listener.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
    }
}

copy_type! {
    /// Belief about a member. Of two beliefs about the same refutation the later state wins.
    pub enum MemberState {
        /// It answers.
        Alive,
        /// It did not answer a probe and has not refuted yet.
        Suspect,
        /// It announced that it is shutting down.
        Leaving,
        /// It did not refute in time.
        Dead,
    }
}

value_type! {
    /// A belief about a member, as it spreads.
    #[derive(Copy)]
    pub struct MemberUpdate {
        /// The member.
        pub spec: MemberSpec,
        /// How often the process refuted a wrong belief of itself.
        pub refutation: u32,
        /// Its state.
        pub state: MemberState,
    }
}

impl MemberUpdate {
    /// Whether this belief replaces `other`: later process, later refutation, later state.
    pub fn overrides(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, MemberState) {
        (self.spec.incarnation, self.refutation, self.state)
    }
}

value_type! {
    /// What the table knows of a member.
    #[derive(Copy)]
    pub struct MemberView {
        /// The member.
        pub spec: MemberSpec,
        /// Its state.
        pub state: MemberState,
        /// Configuration revision in force on it when it was last heard; zero if unknown.
        pub revision: u64,
    }
}

value_type! {
    /// A change of the live members.
    #[derive(Copy)]
    pub struct MemberEvent {
        /// The member as it now is.
        pub spec: MemberSpec,
        /// What happened.
        pub kind: MemberEventKind,
    }
}

copy_type! {
    /// What happened to a member.
    pub enum MemberEventKind {
        /// It became live.
        Joined,
        /// It announced that it is shutting down; it may still finish open work.
        Left,
        /// It is gone, after `Left` or without.
        Died,
        /// A new process took the place of a live one on the same VM.
        Restarted,
        /// A newer process runs under this router's own VM name.
        Displaced,
    }
}
