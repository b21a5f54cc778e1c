//! Records of what callers and servers saw and which faults were active. Times are milliseconds
//! since the start of the soak.

use std::collections::BTreeSet;

use catkin_base::{copy_type, value_type};

/// Number of failure domains.
pub const DOMAINS: usize = 3;

copy_type! {
    /// Kind of a request. Each kind has a route of its own.
    pub enum CallKind {
        /// A request that may run more than once.
        Idempotent,
        /// A request that runs at most once.
        Single,
        /// A stream that cannot be resumed.
        Stream,
        /// A stream that can be resumed.
        Resumable,
    }
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Idempotent, Self::Single, Self::Stream, Self::Resumable];

    /// Whether requests of this kind may run more than once.
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// First element of the path of the kind's route.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Single => "single",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }

    /// Returns the kind whose route matches a path.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        let word = path.split('/').nth(1)?;
        Self::ALL.into_iter().find(|kind| kind.as_str() == word)
    }

    /// Service that the kind's route leads to.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Idempotent | Self::Single => "desk",
            Self::Stream | Self::Resumable => "engine",
        }
    }
}

value_type! {
    /// Outcome of a request as its caller saw it.
    pub enum CallOutcome {
        /// The caller received a complete message.
        Answered {
            /// Status of the answer; 0 if the bytes were not a valid message.
            status: u16,
            /// Name of the server that produced the answer, from the seal header.
            sealed_by: Option<String>,
            /// Whether the request identifier and the content of the answer match the request.
            valid: bool,
        },
        /// The connection ended within the answer.
        Truncated,
        /// The connection ended before the first byte of the answer.
        Closed,
        /// The caller gave up waiting.
        TimedOut,
    }
}

value_type! {
    /// A request as its caller saw it.
    pub struct CallRecord {
        /// Request identifier.
        pub id: String,
        /// Kind of the request.
        pub kind: CallKind,
        /// Index of the router that it was sent to.
        pub router: usize,
        /// Time just before the request was written.
        pub sent: u64,
        /// Time at which the caller had the outcome.
        pub ended: u64,
        /// Timeout sent in the deadline header, in milliseconds.
        pub timeout: u64,
        /// Outcome of the request.
        pub outcome: CallOutcome,
        /// The server whose answer stated that it leaves.
        pub leaving_server: Option<String>,
        /// The server whose answer named a limit.
        pub limited_server: Option<String>,
        /// Whether it asked for a long stream.
        pub is_long: bool,
        /// The request that began the stream which this one resumes.
        pub resumes: Option<String>,
        /// Versions of the software of the servers whose events the caller received, in an incomplete
        /// answer too.
        pub software: BTreeSet<u32>,
    }
}

value_type! {
    /// A request that arrived at a server.
    pub struct ArrivalRecord {
        /// Request identifier.
        pub id: String,
        /// Name of the server.
        pub server: String,
        /// Index of the server's address.
        pub address_index: usize,
        /// Index of the router that sent it.
        pub router: usize,
        /// Service of the server.
        pub service: String,
        /// Version of the declarations by which the router handled the request.
        pub version: u64,
        /// Time of arrival.
        pub at: u64,
        /// Whether the server ran the request; otherwise it answered that it did not.
        pub ran: bool,
        /// Whether it answered 421, since the request was for another server.
        pub misdirected: bool,
    }
}

copy_type! {
    /// Component that a fault affects.
    pub enum FaultTarget {
        /// The process of a router.
        Router(usize),
        /// The connections between callers and a router.
        CallerLink(usize),
        /// The connections between a router and the store.
        StoreLink(usize),
        /// The connections to a server's address.
        ServerLink(usize),
        /// The connections of a router to all servers.
        ServerPaths(usize),
        /// The server at an address.
        Server(usize),
        /// The store.
        Store,
        /// The machine that runs the soak: its timers fired late.
        Machine,
    }
}

copy_type! {
    /// The time during which a fault was active.
    pub struct FaultPeriod {
        /// The affected component.
        pub target: FaultTarget,
        /// Time at which the fault began.
        pub from: u64,
        /// Time at which everything that it affected worked again.
        pub until: u64,
        /// Whether it is planned maintenance, which must not make a request fail.
        pub planned: bool,
    }
}

copy_type! {
    /// A start of a router's process.
    pub struct StartRecord {
        /// Index of the router.
        pub router: usize,
        /// Time of the start.
        pub at: u64,
    }
}

copy_type! {
    /// An exit of a router's process that violates a guarantee.
    pub struct ProcessExit {
        /// Index of the router.
        pub router: usize,
        /// Time of the exit.
        pub at: u64,
        /// Whether the process outlived its grace period after a signal to stop; otherwise it
        /// exited without a signal.
        pub exceeded_grace: bool,
    }
}

copy_type! {
    /// A version of the declarations that the store accepted.
    pub struct VersionRecord {
        /// The version.
        pub version: u64,
        /// Time at which the store accepted it.
        pub at: u64,
    }
}

value_type! {
    /// The announcement of a server that it leaves, or the removal of its entry.
    pub struct LeavingRecord {
        /// Name of the server.
        pub server: String,
        /// Time at which the store accepted it.
        pub at: u64,
    }
}

value_type! {
    /// The time during which a server named a limit on the requests of all routers.
    pub struct LimitRecord {
        /// Name of the server.
        pub server: String,
        /// The limit, in requests per second.
        pub per_second: u64,
        /// Time from which it named the limit.
        pub from: u64,
        /// Time until which it did.
        pub until: u64,
    }
}

value_type! {
    /// The answer of a server that asked a router for a pause.
    pub struct PauseRecord {
        /// Index of the router.
        pub router: usize,
        /// Name of the server.
        pub server: String,
        /// Index of the server's address.
        pub address_index: usize,
        /// Time of the answer.
        pub at: u64,
        /// Length of the pause, in milliseconds.
        pub millis: u64,
    }
}

value_type! {
    /// The time during which some routers were cut off from all servers.
    pub struct CutRecord {
        /// Indices of the routers.
        pub routers: Vec<usize>,
        /// Time of its begin.
        pub from: u64,
        /// Time of its end.
        pub until: u64,
    }
}

copy_type! {
    /// The time during which a failure domain was evacuated.
    pub struct EvacuationRecord {
        /// Index of the failure domain.
        pub domain: usize,
        /// Time at which the store accepted the entry, for the last time if it was lost.
        pub from: u64,
        /// Time at which the entry was removed.
        pub until: u64,
    }
}

value_type! {
    /// The time during which a server ran and was not asked to leave.
    pub struct ServingPeriod {
        /// Name of the server.
        pub server: String,
        /// Service of the server.
        pub service: String,
        /// Version of its software.
        pub software: u32,
        /// Time of its start.
        pub from: u64,
        /// Time at which it crashed or began to leave.
        pub until: u64,
    }
}

value_type! {
    /// The time during which a server was cold.
    pub struct ColdPeriod {
        /// Name of the server.
        pub server: String,
        /// Requests that it takes in a thousand seconds.
        pub per_thousand_seconds: u32,
        /// Time at which it turned cold.
        pub from: u64,
        /// Time at which it was warm, or ended.
        pub until: u64,
    }
}

/// Everything recorded during a soak.
#[derive(Debug, Clone, Default)]
pub struct SoakLedger {
    /// Requests, in the order of their outcomes.
    pub calls: Vec<CallRecord>,
    /// Requests that arrived at servers.
    pub arrivals: Vec<ArrivalRecord>,
    /// Identifiers of the requests whose streams a server spoiled.
    pub spoiled: BTreeSet<String>,
    /// Faults that were active.
    pub periods: Vec<FaultPeriod>,
    /// Starts of router processes.
    pub starts: Vec<StartRecord>,
    /// Exits of router processes that violate a guarantee.
    pub exits: Vec<ProcessExit>,
    /// Versions of the declarations.
    pub versions: Vec<VersionRecord>,
    /// Servers that left.
    pub leavings: Vec<LeavingRecord>,
    /// Limits that servers named.
    pub limits: Vec<LimitRecord>,
    /// Pauses that servers asked for.
    pub pauses: Vec<PauseRecord>,
    /// Times during which routers were cut off from all servers.
    pub cuts: Vec<CutRecord>,
    /// Evacuations of failure domains.
    pub evacuations: Vec<EvacuationRecord>,
    /// Times during which servers were cold.
    pub cold_periods: Vec<ColdPeriod>,
    /// Times during which servers ran.
    pub serving: Vec<ServingPeriod>,
    /// Time at which the last fault ended.
    pub last_fault_end: u64,
}

impl SoakLedger {
    /// Whether an unplanned fault affected one of the targets within a time span.
    pub fn is_affected(&self, targets: &[FaultTarget], from: u64, until: u64) -> bool {
        let touches = |period: &FaultPeriod| period.from <= until && period.until >= from;
        let on = |period: &FaultPeriod| targets.contains(&period.target) && !period.planned;
        self.periods.iter().any(|period| on(period) && touches(period))
    }

    /// Number of starts of a router's process up to a time.
    pub fn start_count(&self, router: usize, at: u64) -> usize {
        self.starts.iter().filter(|start| start.router == router && start.at <= at).count()
    }
}
