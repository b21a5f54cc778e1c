//! Members, their states, and the updates and events about them.

use std::net::SocketAddr;

use catkin_base::{DomainId, RegionId, VmId, copy_type, value_type};

value_type! {
    /// A router process and its location.
    #[derive(Copy)]
    pub struct MemberSpec {
        /// Its VM.
        pub vm: VmId,
        /// Identifies the process: each restart on the VM has a higher value. Zero if unknown.
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
    /// State of a member. If two updates have the same incarnation and refutation count, the state
    /// listed later takes precedence.
    pub enum MemberState {
        /// It acknowledges probes.
        Alive,
        /// Its probes failed, and it has not refuted the suspicion yet.
        Suspect,
        /// It announced that it is shutting down.
        Leaving,
        /// It did not refute the suspicion in time.
        Dead,
    }
}

value_type! {
    /// An update about a member, as routers exchange it.
    #[derive(Copy)]
    pub struct MemberUpdate {
        /// The member.
        pub spec: MemberSpec,
        /// Number of wrong updates about itself that the process has refuted.
        pub refutation: u32,
        /// Its state.
        pub state: MemberState,
    }
}

impl MemberUpdate {
    /// Whether this update replaces `other`. The higher incarnation takes precedence, then the
    /// higher refutation count, then the state listed later in [`MemberState`].
    pub fn overrides(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, MemberState) {
        (self.spec.incarnation, self.refutation, self.state)
    }
}

value_type! {
    /// A member as the table reports it.
    #[derive(Copy)]
    pub struct MemberView {
        /// The member.
        pub spec: MemberSpec,
        /// Its state.
        pub state: MemberState,
        /// Revision of the declarations in force at its last message; zero if unknown.
        pub revision_in_force: u64,
    }
}

value_type! {
    /// A change in the set of live members.
    #[derive(Copy)]
    pub struct MemberEvent {
        /// The member after the change.
        pub spec: MemberSpec,
        /// Kind of the change.
        pub kind: MemberEventKind,
    }
}

copy_type! {
    /// Kind of a change in the set of live members.
    pub enum MemberEventKind {
        /// It became live.
        Joined,
        /// It announced that it is shutting down; it may still complete open requests.
        Left,
        /// Its process has ended, with or without a preceding `Left`.
        Died,
        /// A new process replaced a live one on the same VM.
        Restarted,
        /// A newer process runs on the local VM, so the local process is obsolete.
        Displaced,
    }
}
