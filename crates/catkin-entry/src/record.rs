//! What operators and servers declare, in the product's words.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use catkin_base::{copy_type, value_type};

copy_type! {
    /// What may be repeated of a route's requests.
    pub enum RouteKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once.
        Single,
        /// Answered by a stream of events.
        Streaming,
    }
}

value_type! {
    /// One service of a route and its share of the route's requests.
    pub struct ServiceShare {
        /// The service.
        pub service: String,
        /// Its share against the other weights of the route.
        pub weight: u32,
    }
}

value_type! {
    /// A route: which requests go to which service, and how.
    pub struct RouteRecord {
        /// Name, for logs and metrics.
        pub name: String,
        /// Host that it applies to.
        pub host: String,
        /// Paths that begin so belong to it.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer is on time.
        pub target_latency: Duration,
        /// Urgency, 0 first.
        pub priority: u8,
        /// Services, at least one.
        pub services: Vec<ServiceShare>,
        /// Most servers that one request is sent to.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub public: bool,
        /// Whether an interrupted stream may be taken up by another server.
        pub resumable: bool,
    }
}

value_type! {
    /// What is particular to a service of model engines.
    pub struct EngineRecord {
        /// Tokens that one server keeps in memory.
        pub memory_tokens: u64,
    }
}

value_type! {
    /// A service.
    pub struct ServiceRecord {
        /// Most connections that one server takes from all routers together.
        pub max_connections: u32,
        /// Set if its servers are model engines.
        pub engine: Option<EngineRecord>,
    }
}

value_type! {
    /// Bounds on what callers may send and how long they may take.
    #[derive(Copy)]
    pub struct CallerBounds {
        /// Longest head, in bytes.
        pub head_bytes: usize,
        /// Longest body, in bytes.
        pub body_bytes: usize,
        /// Longest time from the first byte of a request to its last.
        pub header_timeout: Duration,
        /// Longest time that a connection may lie idle.
        pub idle_timeout: Duration,
    }
}

value_type! {
    /// A team and its keys.
    pub struct TeamRecord {
        /// Name that servers are told.
        pub name: String,
        /// Keys that its callers send.
        pub keys: Vec<String>,
        /// Urgency, before that of routes; 0 first.
        pub priority: Option<u8>,
    }
}

value_type! {
    /// One version of the declarations.
    pub struct DeclarationRecord {
        /// Version, which only rises.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteRecord>,
        /// Services by name.
        pub services: BTreeMap<String, ServiceRecord>,
        /// Bounds on callers.
        pub bounds: CallerBounds,
        /// Teams; `None` if callers need no key.
        pub teams: Option<Vec<TeamRecord>>,
    }
}

value_type! {
    /// A backend server's own entry in the store.
    pub struct ServerRecord {
        /// Service that it belongs to.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is leaving.
        pub leaving: bool,
        /// When its process started, in Unix milliseconds; tells two starts under one name apart.
        pub started_unix_millis: u64,
    }
}

value_type! {
    /// One part of a prompt.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Identifier of the part's content.
        pub id: u64,
        /// Its length in tokens.
        pub tokens: u32,
    }
}
