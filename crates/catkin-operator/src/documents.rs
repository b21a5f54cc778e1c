//! Requests and answers between the operators' client and a router.

use std::collections::BTreeMap;

use catkin_base::document_type;
use catkin_settings::FleetDeclarations;

use crate::head::RevisionHead;

document_type! {
    /// What one router knows of the fleet.
    #[derive(Default)]
    pub struct FleetStatus {
        /// VM of the router that answers.
        pub router: String,
        /// Its domain.
        pub domain: String,
        /// Revision in force on it; absent if it has no declarations.
        pub revision: Option<u64>,
        /// Whether it is draining.
        pub draining: bool,
        /// Routers of the fleet, itself included.
        pub members: Vec<MemberStatus>,
        /// Backend servers.
        pub servers: Vec<ServerStatus>,
        /// Leases and their holders.
        pub leases: Vec<LeaseStatus>,
        /// Requests that are refused because they crashed servers.
        pub quarantine: Vec<QuarantineStatus>,
        /// The platform as this router sees it.
        pub platform: PlatformStatus,
    }

    /// One router.
    #[derive(Eq)]
    pub struct MemberStatus {
        /// Its VM.
        pub vm: String,
        /// `alive`, `suspect`, `leaving` or `dead`.
        pub state: String,
        /// Its domain.
        pub domain: String,
        /// The revision it last reported.
        pub revision: Option<u64>,
    }

    /// One backend server.
    #[derive(Eq)]
    pub struct ServerStatus {
        /// Its name.
        pub name: String,
        /// `live`, `suspect`, `down` or `unknown`.
        pub state: String,
        /// VM of the router that owns its admission.
        pub owner: String,
        /// Requests admitted and not released.
        pub open: u32,
        /// Most requests that may be open now.
        pub bound: u32,
        /// Whether it gets no new work because it is leaving.
        pub leaving: bool,
        /// Whether it gets no new work because it flapped.
        pub held_down: bool,
    }

    /// One lease.
    #[derive(Eq)]
    pub struct LeaseStatus {
        /// Its name.
        pub name: String,
        /// VM that holds it or held it last; absent if it was given up.
        pub holder: Option<String>,
        /// The fencing number given out last.
        pub fence: u64,
    }

    /// One quarantined request.
    #[derive(Eq)]
    pub struct QuarantineStatus {
        /// Digest of the request.
        pub digest: String,
        /// Servers that died under it.
        pub strikes: u32,
        /// Milliseconds until it may run again.
        pub left_millis: u64,
    }

    /// The platform as one router sees it.
    #[derive(Eq, Default)]
    pub struct PlatformStatus {
        /// Whether its last calls were answered.
        pub healthy: bool,
        /// Calls that this router sent, by kind.
        pub calls: BTreeMap<String, u64>,
        /// Calls without a usable answer.
        pub failed: u64,
        /// Calls not sent: over the router's budget, or during its back-off.
        pub held_back: u64,
    }

    /// Asks to put declarations in force.
    pub struct ApplyRequest {
        /// The declarations, whole.
        pub declarations: FleetDeclarations,
        /// The revision they were made from; 0 if none was in force.
        pub base: Option<u64>,
        /// Identifier chosen by the client, the same in each attempt.
        pub apply_id: String,
        /// Who applies.
        pub author: String,
        /// Why.
        #[serde(default)]
        pub comment: String,
    }

    /// Asks to put an older revision in force again, as a new one.
    #[derive(Eq)]
    pub struct RollbackRequest {
        /// The revision to copy.
        pub revision: u64,
        /// The revision in force when it was asked for.
        pub base: Option<u64>,
        /// Identifier chosen by the client, the same in each attempt.
        pub apply_id: String,
        /// Who asks.
        pub author: String,
        /// Why.
        #[serde(default)]
        pub comment: String,
    }

    /// A revision was put in force.
    #[derive(Eq)]
    pub struct ApplyAnswer {
        /// Its number.
        pub revision: u64,
        /// Its digest.
        pub digest: String,
        /// Whether it was in force already.
        pub unchanged: bool,
    }

    /// What is in force.
    pub struct RevisionAnswer {
        /// The revision.
        pub revision: u64,
        /// Its digest.
        pub digest: String,
        /// The declarations.
        pub declarations: FleetDeclarations,
    }

    /// Heads of the newest revisions, newest first.
    #[derive(Eq)]
    pub struct HistoryAnswer {
        /// The heads.
        pub revisions: Vec<RevisionHead>,
    }

    /// The router drains.
    #[derive(Eq)]
    pub struct DrainAnswer {
        /// Requests still open on it.
        pub open: u32,
    }

    /// A request of an operator was refused.
    #[derive(Eq)]
    pub struct RefusalAnswer {
        /// Short word: `invalid`, `conflict`, `unavailable`, `unsettled`, `not-found`, ...
        pub reason: String,
        /// One sentence for a person.
        pub detail: String,
        /// The revision in force, for a conflict.
        #[serde(default)]
        pub revision: Option<u64>,
        /// What differs from the base, or what is wrong, by path.
        #[serde(default)]
        pub paths: Vec<String>,
    }
}
