//! JSON documents of the operators' HTTP API.

use std::collections::BTreeMap;

use catkin_base::document_type;
use catkin_settings::FleetDeclarations;

use crate::head::RevisionHead;

document_type! {
    /// State of the fleet as one router sees it.
    #[derive(Default)]
    pub struct FleetStatus {
        /// VM of the router that sent this answer.
        pub router: String,
        /// Failure domain of that router.
        pub domain: String,
        /// Revision in force on that router; absent if it has no declarations.
        pub revision: Option<u64>,
        /// Whether that router is draining.
        pub draining: bool,
        /// Live routers of the fleet, including the one that answers unless it is leaving.
        pub members: Vec<MemberStatus>,
        /// Backend servers.
        pub servers: Vec<ServerStatus>,
        /// Leases of the regions and their holders.
        pub leases: Vec<LeaseStatus>,
        /// Quarantined requests, which are refused because servers crashed while running them.
        pub quarantine: Vec<QuarantineStatus>,
        /// The platform as the router sees it.
        pub platform: PlatformStatus,
    }

    /// State of one router.
    #[derive(Eq)]
    pub struct MemberStatus {
        /// VM of the router.
        pub vm: String,
        /// Membership state: `alive` or `suspect`. Routers in other states are not listed.
        pub state: String,
        /// Failure domain of the router.
        pub domain: String,
        /// Revision that the router reported last; absent if it reported none.
        pub revision: Option<u64>,
    }

    /// State of one backend server.
    #[derive(Eq)]
    pub struct ServerStatus {
        /// Name of the server.
        pub name: String,
        /// `live`, `down`, or `unknown` if the answering router does not own the server's
        /// admission.
        pub state: String,
        /// VM of the router that owns the server's admission.
        pub owner: String,
        /// Number of requests that were admitted and not yet released.
        pub open: u32,
        /// Maximum number of open requests at present.
        pub bound: u32,
        /// Whether the server gets no new requests because it is leaving.
        pub leaving: bool,
        /// Whether the server gets no new requests because it is in hold-down after flapping.
        pub held_down: bool,
    }

    /// State of one lease.
    #[derive(Eq)]
    pub struct LeaseStatus {
        /// Name of the lease.
        pub name: String,
        /// VM that holds the lease or held it last; absent if the lease was released.
        pub holder: Option<String>,
        /// Fencing token that was issued last.
        pub fence: u64,
    }

    /// One quarantined request.
    #[derive(Eq)]
    pub struct QuarantineStatus {
        /// Digest of the request.
        pub digest: String,
        /// Number of servers that crashed while running the request.
        pub strikes: u32,
        /// Milliseconds until the quarantine ends.
        pub left_millis: u64,
    }

    /// The platform as one router sees it.
    #[derive(Eq, Default)]
    pub struct PlatformStatus {
        /// Whether the router's latest calls were answered.
        pub healthy: bool,
        /// Number of calls that the router sent, by kind.
        pub calls: BTreeMap<String, u64>,
        /// Number of calls without a usable response.
        pub failed: u64,
        /// Number of calls not sent because the router's call budget was spent or it was backing
        /// off.
        pub held_back: u64,
    }

    /// Request to put declarations in force.
    pub struct ApplyRequest {
        /// The complete declarations.
        pub declarations: FleetDeclarations,
        /// Revision that the change is based on; 0 if none was in force. If absent, the change is
        /// based on the revision in force.
        pub base: Option<u64>,
        /// Identifier chosen by the client; every attempt of one change uses the same.
        pub apply_id: String,
        /// Name of the operator.
        pub author: String,
        /// Reason for the change.
        #[serde(default)]
        pub comment: String,
    }

    /// Request to put the declarations of an older revision in force as a new revision.
    #[derive(Eq)]
    pub struct RollbackRequest {
        /// Revision whose declarations are copied.
        pub revision: u64,
        /// Revision that the operator expects to replace. If absent, the revision in force is
        /// replaced.
        pub base: Option<u64>,
        /// Identifier chosen by the client; every attempt of one change uses the same.
        pub apply_id: String,
        /// Name of the operator.
        pub author: String,
        /// Reason for the rollback.
        #[serde(default)]
        pub comment: String,
    }

    /// Answer to an apply or a rollback that succeeded: the revision was put in force, by this
    /// request or before it. Each router still has to load it.
    #[derive(Eq)]
    pub struct ApplyAnswer {
        /// Number of the revision.
        pub revision: u64,
        /// Digest of the revision.
        pub digest: String,
        /// Whether the revision existed before: the same content was in force, or an earlier
        /// attempt of the same apply wrote it.
        pub unchanged: bool,
    }

    /// The declarations in force on the router that answers, and their revision.
    pub struct RevisionAnswer {
        /// Number of the revision.
        pub revision: u64,
        /// Digest of the revision.
        pub digest: String,
        /// The complete declarations.
        pub declarations: FleetDeclarations,
    }

    /// Answer to a request for the history.
    #[derive(Eq)]
    pub struct HistoryAnswer {
        /// Heads of the newest revisions, newest first.
        pub revisions: Vec<RevisionHead>,
    }

    /// Answer to a drain request: the router has begun to drain.
    #[derive(Eq)]
    pub struct DrainAnswer {
        /// Number of calls that are still open on the router.
        pub open: u32,
    }

    /// Answer to a request that was refused.
    #[derive(Eq)]
    pub struct RefusalAnswer {
        /// Reason as one word: `invalid`, `conflict`, `unavailable`, `unsettled`, `not-found`, ...
        pub reason: String,
        /// Explanation in one sentence.
        pub detail: String,
        /// Revision in force; only in case of a conflict.
        #[serde(default)]
        pub revision: Option<u64>,
        /// Paths that changed since the base, in case of a conflict, or the errors of invalid
        /// declarations.
        #[serde(default)]
        pub paths: Vec<String>,
    }
}
