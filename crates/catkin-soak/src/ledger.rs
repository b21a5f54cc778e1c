//! What callers and servers saw, and which faults were in force. Times are milliseconds since the
//! start of the soak.

use catkin_base::{copy_type, value_type};

copy_type! {
    /// Kinds of requests.
    pub enum CallKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once.
        Single,
        /// A stream that may not be resumed.
        Stream,
        /// A stream that may be resumed.
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

    /// First element of the path of its route.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Single => "single",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }

    /// The kind whose route has a path, if any.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        let word = path.split('/').nth(1)?;
        Self::ALL.into_iter().find(|kind| kind.as_word() == word)
    }

    /// Service of its route.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Idempotent | Self::Single => "desk",
            Self::Stream | Self::Resumable => "engine",
        }
    }
}

value_type! {
    /// How a request ended for its caller.
    pub enum CallEnd {
        /// With a whole answer.
        Answered {
            /// Its status.
            status: u16,
            /// The server that marked it.
            sealed_by: Option<String>,
            /// Whether identifier and content belong to the request.
            genuine: bool,
        },
        /// The connection ended within the answer.
        Cut,
        /// The connection ended before any byte of the answer.
        Closed,
        /// The caller stopped waiting.
        Silent,
    }
}

value_type! {
    /// A request of a caller.
    pub struct CallRecord {
        /// Its identifier.
        pub id: String,
        /// Its kind.
        pub kind: CallKind,
        /// The router that it was sent to.
        pub router: usize,
        /// When its last byte was sent.
        pub sent: u64,
        /// When it ended.
        pub ended: u64,
        /// How long the caller said that it would wait.
        pub patience: u64,
        /// How it ended.
        pub end: CallEnd,
    }
}

value_type! {
    /// A request that arrived at a server.
    pub struct RunRecord {
        /// Its identifier.
        pub id: String,
        /// The server.
        pub server: String,
        /// Index of the server's address.
        pub place: usize,
        /// Service of the server.
        pub service: String,
        /// Version of the declarations that the router handled it by.
        pub version: u64,
        /// When it arrived.
        pub at: u64,
        /// Whether the server ran it; otherwise it said that it did not.
        pub ran: bool,
    }
}

copy_type! {
    /// What a fault is on.
    pub enum FaultSubject {
        /// A router's process.
        Router(usize),
        /// The connections between callers and a router.
        CallerLink(usize),
        /// The connections between a router and the store.
        StoreLink(usize),
        /// The connections to a server's address.
        ServerLink(usize),
        /// The server at an address.
        Server(usize),
        /// The store.
        Store,
        /// The machine that runs the soak: its own timers were late.
        Machine,
    }
}

copy_type! {
    /// A fault in force.
    pub struct FaultPeriod {
        /// What it is on.
        pub subject: FaultSubject,
        /// When it began.
        pub from: u64,
        /// When all it harmed worked again.
        pub until: u64,
        /// Whether it is planned work, which may not harm a request.
        pub planned: bool,
    }
}

copy_type! {
    /// A router's process started.
    pub struct StartRecord {
        /// The router.
        pub router: usize,
        /// When.
        pub at: u64,
    }
}

copy_type! {
    /// A router's process ended in a way that it should not.
    pub struct ProcessEnd {
        /// The router.
        pub router: usize,
        /// When.
        pub at: u64,
        /// Whether it was told to stop and took longer than its grace; else it ended by itself.
        pub overran: bool,
    }
}

copy_type! {
    /// The store took a version of the declarations.
    pub struct VersionRecord {
        /// The version.
        pub version: u64,
        /// When.
        pub at: u64,
    }
}

value_type! {
    /// The store took a server's word that it leaves.
    pub struct LeavingRecord {
        /// The server.
        pub server: String,
        /// When.
        pub at: u64,
    }
}

/// All that was seen.
#[derive(Debug, Clone, Default)]
pub struct SoakLedger {
    /// Requests in the order of their ends.
    pub calls: Vec<CallRecord>,
    /// Arrivals at servers.
    pub runs: Vec<RunRecord>,
    /// Faults.
    pub periods: Vec<FaultPeriod>,
    /// Starts of processes.
    pub starts: Vec<StartRecord>,
    /// Ends of processes that are faults themselves.
    pub ends: Vec<ProcessEnd>,
    /// Versions of the declarations.
    pub versions: Vec<VersionRecord>,
    /// Servers that left.
    pub leavings: Vec<LeavingRecord>,
    /// When the last fault was over.
    pub calm_from: u64,
}

impl SoakLedger {
    /// Whether a fault that is not planned work was on one of these within a time.
    pub fn is_harmed(&self, subjects: &[FaultSubject], from: u64, until: u64) -> bool {
        let touches = |period: &FaultPeriod| period.from <= until && period.until >= from;
        let on = |period: &FaultPeriod| subjects.contains(&period.subject) && !period.planned;
        self.periods.iter().any(|period| on(period) && touches(period))
    }

    /// How often the router's process had started by then.
    pub fn start_count(&self, router: usize, at: u64) -> usize {
        self.starts.iter().filter(|start| start.router == router && start.at <= at).count()
    }
}
