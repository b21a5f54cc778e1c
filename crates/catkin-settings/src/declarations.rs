//! Types of the operators' declarations: teams, classes, models, services and backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::document_type;

document_type! {
    /// All declarations of a deployment; the content of one revision.
    pub struct FleetDeclarations {
        /// Name of the deployment.
        pub deployment: String,
        /// Request classes by name.
        pub classes: BTreeMap<String, ClassRule>,
        /// Class of requests that do not name one.
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
        /// Rules by which servers are selected for chats.
        pub placement: PlacementRules,
        /// Limits that apply to the whole fleet.
        pub limits: LimitRules,
    }

    /// How requests of one class are handled.
    pub struct ClassRule {
        /// Whether requests of the class are quick or long work.
        pub work: WorkKind,
        /// Deadline of requests that do not give one, in milliseconds.
        pub deadline_millis: u64,
        /// Priority sent to engines; lower values run first.
        pub priority: u32,
        /// Expected number of tokens in an answer, used until answers were observed.
        pub expected_tokens: u32,
    }

    /// Whether requests of a class are latency-sensitive or may wait.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum WorkKind {
        /// Must be answered promptly; may use the slots that long work may not occupy.
        Quick,
        /// May take long, but must be answered.
        Long,
    }

    /// A model.
    pub struct ModelRule {
        /// Versions or adapters that servers load with the model.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Version of the model that servers load.
        #[serde(default)]
        pub version: u64,
    }

    /// A plain service.
    pub struct ServiceRule {
        /// Whether a call may safely be sent more than once.
        pub idempotent: bool,
        /// Path at which the service looks up a recorded idempotency key, if it supports that.
        #[serde(default)]
        pub look_up_path: Option<String>,
    }

    /// A backend server.
    pub struct ServerRule {
        /// Whether the server is an engine or a plain service.
        pub kind: ServerKind,
        /// Address of the server.
        pub address: SocketAddr,
        /// Failure domain of the server.
        pub domain: String,
        /// Region of the server.
        pub region: String,
        /// Models that an engine serves.
        #[serde(default)]
        pub models: Vec<String>,
        /// Plain service that the server provides, unless it is an engine.
        #[serde(default)]
        pub service: Option<String>,
        /// Capacity relative to other servers.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Maximum number of requests that run concurrently.
        pub slots: u32,
        /// Whether the server rejects an order with an outdated fencing token.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Whether the server can resume an interrupted stream.
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
        /// SHA-256 digest of the team's bearer token, in lower-case hexadecimal.
        pub token_digest: String,
        /// Share of capacity relative to other teams.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Maximum number of requests open in the whole fleet.
        pub max_open: u32,
        /// Classes that the team may use; all classes if empty.
        #[serde(default)]
        pub classes: Vec<String>,
    }

    /// Rules by which servers are selected for chats.
    pub struct PlacementRules {
        /// Maximum load of an engine relative to the mean load, in percent.
        pub bound_percent: u32,
        /// Time to compute one prompt token that is not cached, in microseconds.
        pub prefill_micros_per_token: u32,
        /// Weight of a lost cached prefix relative to waiting time, in percent.
        pub reuse_weight_percent: u32,
        /// Weight of a server's load above the mean, in percent.
        pub skew_weight_percent: u32,
        /// Maximum share of slots that long work may occupy, in percent.
        pub long_share_percent: u32,
    }

    /// Limits that apply to the whole fleet.
    pub struct LimitRules {
        /// Maximum number of retries relative to recent requests, in percent.
        pub retry_percent: u32,
        /// Number of servers that a request may crash before it is quarantined.
        pub crash_strikes: u32,
        /// Time for which a quarantined request is refused, in milliseconds.
        pub quarantine_millis: u64,
        /// Time for which a flapping server receives no work, in milliseconds.
        pub hold_down_millis: u64,
        /// Maximum number of concurrent model loads from the weight store, in each region.
        pub loads_at_once: u32,
    }
}

fn default_weight() -> u32 {
    1
}
