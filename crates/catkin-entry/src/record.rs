//! Declarations of operators and entries of servers, as decoded from the store's formats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::{copy_type, value_type};

copy_type! {
    /// How the requests of a route are answered, and whether they may be repeated.
    pub enum RouteKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once.
        Single,
        /// Answered with a stream of events with increasing identifiers, decimal numbers; may be repeated
        /// if the route is `resumable`.
        Streaming,
    }
}

value_type! {
    /// A service of a route, with its weight.
    pub struct ServiceShare {
        /// Name of the service.
        pub service: String,
        /// Its share of the requests, relative to the other weights of the route.
        pub weight: u32,
    }
}

value_type! {
    /// A route, which maps requests to services.
    pub struct RouteRecord {
        /// Name, used in logs and metrics.
        pub name: String,
        /// Host that the route applies to.
        pub host: String,
        /// Prefix of the paths that the route applies to.
        pub prefix: String,
        /// How requests are answered, and whether they may be repeated.
        pub kind: RouteKind,
        /// Maximum time until a caller gets its answer.
        pub timeout: Duration,
        /// Target for the time until a caller gets its answer.
        pub target_latency: Duration,
        /// Priority; 0 is the highest.
        pub priority: u8,
        /// Services, at least one.
        pub services: Vec<ServiceShare>,
        /// Maximum number of attempts of one request that a server may have run.
        pub max_attempts: u32,
        /// Whether callers may omit a key.
        pub public: bool,
        /// Whether another server may resume an interrupted stream.
        pub resumable: bool,
    }
}

value_type! {
    /// Properties of a service whose servers are model engines.
    pub struct EngineRecord {
        /// Capacity of the KV cache of one server, in tokens.
        pub kv_capacity_tokens: u64,
    }
}

value_type! {
    /// What the servers of a service take while they are cold.
    #[derive(Copy)]
    pub struct ColdRecord {
        /// Time for which a server is cold after its start.
        pub start: Duration,
        /// Requests that a cold server takes from all routers together, in a thousand seconds.
        pub per_thousand_seconds: u32,
    }
}

value_type! {
    /// A service and the limits of its servers.
    pub struct ServiceRecord {
        /// Maximum number of connections to one server from all routers together.
        pub max_connections: u32,
        /// Properties of engines; `None` if the servers are no engines.
        pub engine: Option<EngineRecord>,
        /// What a server takes just after its start; `None` if it takes as much as later.
        pub cold: Option<ColdRecord>,
    }
}

value_type! {
    /// Limits on the size and duration of callers' requests.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Maximum length of a request head, in bytes.
        pub head_bytes: usize,
        /// Maximum length of a request body, in bytes.
        pub body_bytes: usize,
        /// Maximum time from the first byte of a request head to its last, and for each pause while
        /// the body arrives.
        pub header_timeout: Duration,
        /// Maximum time for which a connection may be idle.
        pub idle_timeout: Duration,
    }
}

value_type! {
    /// A team and its keys.
    pub struct TeamRecord {
        /// Name, sent to servers.
        pub name: String,
        /// Keys that authenticate its callers.
        pub keys: Vec<String>,
        /// Priority, which ranks before that of the route; 0 is the highest.
        pub priority: Option<u8>,
    }
}

value_type! {
    /// One version of the declarations.
    pub struct DeclarationRecord {
        /// Version; a later version has a higher number.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteRecord>,
        /// Services by name.
        pub services: BTreeMap<String, ServiceRecord>,
        /// Limits on callers' requests.
        pub bounds: CallerBounds,
        /// Teams; `None` if callers may omit a key.
        pub teams: Option<Vec<TeamRecord>>,
    }
}

value_type! {
    /// The entry that a backend server writes to the store.
    pub struct ServerRecord {
        /// Name of the service that the server belongs to.
        pub service: String,
        /// Address that the server listens on.
        pub address: SocketAddr,
        /// Failure domain of the server.
        pub domain: String,
        /// Number of requests that the server runs at once.
        pub slots: u32,
        /// Whether the server is leaving.
        pub leaving: bool,
        /// Version of the server's software, not of the weights of its model; empty if unknown.
        /// Versions have no order, and one can't continue a stream that another one began.
        pub software: String,
        /// Start time of the process, in milliseconds since the Unix epoch. Distinguishes two
        /// starts under one name.
        pub started_unix_millis: u64,
        /// How much longer the server is cold, in milliseconds, as of the entry.
        pub cold_millis: u32,
    }
}

value_type! {
    /// A part of a prompt.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Identifier of the part's content.
        pub id: u64,
        /// Length of the part, in tokens.
        pub tokens: u32,
    }
}
