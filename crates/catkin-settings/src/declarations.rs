//! What operators declare: teams, classes, models, services and backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::document_type;

document_type! {
    /// All that is in force at one revision.
    pub struct FleetDeclarations {
        /// Name of the deployment.
        pub deployment: String,
        /// Request classes by name.
        pub classes: BTreeMap<String, ClassRule>,
        /// Class of a request that names none.
        pub default_class: String,
        /// Models by name.
        pub models: BTreeMap<String, ModelRule>,
        /// Plain services by name.
        #[serde(default)]
        pub services: BTreeMap<String, ServiceRule>,
        /// Backend servers by name.
        pub servers: BTreeMap<String, ServerRule>,
        /// Teams by name.
        pub teams: BTreeMap<String, TeamRule>,
        /// How chats are placed.
        pub placement: PlacementRules,
        /// Limits of the whole fleet.
        pub limits: LimitRules,
    }

    /// Treatment of one class of requests.
    pub struct ClassRule {
        /// Quick or long work.
        pub work: WorkKind,
        /// Deadline of a request that gives none, in milliseconds.
        pub deadline_millis: u64,
        /// Priority given to engines; lower runs first.
        pub priority: u32,
        /// Tokens expected in an answer before any was seen.
        pub expected_tokens: u32,
    }

    /// Whether a class waits or must be prompt.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum WorkKind {
        /// Must come back promptly; may use the reserved slots.
        Quick,
        /// May be slow but must arrive.
        Long,
    }

    /// A model.
    pub struct ModelRule {
        /// Versions or adapters to load with it.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Version to load.
        #[serde(default)]
        pub version: u64,
    }

    /// A plain service.
    pub struct ServiceRule {
        /// Whether its calls may be sent more than once.
        pub idempotent: bool,
        /// Path of its look-up of a recorded key, if it has one.
        #[serde(default)]
        pub look_up_path: Option<String>,
    }

    /// A backend server.
    pub struct ServerRule {
        /// Engine or plain service.
        pub kind: ServerKind,
        /// Its address.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// Its region.
        pub region: String,
        /// Models it serves, for an engine.
        #[serde(default)]
        pub models: Vec<String>,
        /// Service it serves, for a plain service.
        #[serde(default)]
        pub service: Option<String>,
        /// Relative capacity.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Requests it may run at once.
        pub slots: u32,
        /// Whether it refuses an order with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether it resumes an interrupted stream.
        #[serde(default)]
        pub resumes: bool,
    }

    /// Kind of a backend server.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum ServerKind {
        /// Model engine.
        Engine,
        /// Plain service.
        Service,
    }

    /// A team.
    pub struct TeamRule {
        /// SHA-256 digest of its bearer token, hexadecimal.
        pub token_digest: String,
        /// Share relative to other teams.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Most requests open at once in the whole fleet.
        pub max_open: u32,
        /// Classes it may use; all if empty.
        #[serde(default)]
        pub classes: Vec<String>,
    }

    /// How chats are placed.
    pub struct PlacementRules {
        /// Most load on an engine relative to the mean, in percent.
        pub bound_percent: u32,
        /// Cost of computing one prompt token that is not cached, in microseconds.
        pub prefill_micros_per_token: u32,
        /// Weight of a lost cached prefix against waiting, in percent.
        pub reuse_weight_percent: u32,
        /// Weight of a server's load above the mean, in percent.
        pub skew_weight_percent: u32,
        /// Share of slots that long work may hold, in percent.
        pub long_share_percent: u32,
    }

    /// Limits of the whole fleet.
    pub struct LimitRules {
        /// Retries allowed relative to recent requests, in percent.
        pub retry_percent: u32,
        /// Servers that a request may crash before it is refused.
        pub crash_strikes: u32,
        /// How long such a request is refused, in milliseconds.
        pub quarantine_millis: u64,
        /// How long a flapping server gets no work, in milliseconds.
        pub hold_down_millis: u64,
        /// Model loads from the weight store at once, in each region.
        pub loads_at_once: u32,
    }
}

fn default_weight() -> u32 {
    1
}
