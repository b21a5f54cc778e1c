//! Settings of one router process.

use std::net::SocketAddr;

use catkin_base::document_type;

use crate::check_router::check_router_settings;
use crate::report::SettingsReport;
use crate::source::SourceFile;

document_type! {
    /// Settings of one router process.
    pub struct RouterSettings {
        /// Name of the VM.
        pub vm: String,
        /// Failure domain of the VM.
        pub domain: String,
        /// Region of the VM.
        pub region: String,
        /// Listener for callers.
        pub caller_address: SocketAddr,
        /// Listener for other routers, TCP and UDP.
        pub peer_address: SocketAddr,
        /// Listener for operators and metrics.
        pub operator_address: SocketAddr,
        /// The platform's object API.
        pub platform_address: SocketAddr,
        /// Routers to try first when the platform does not answer.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Key shared by all routers, hexadecimal, 32 bytes.
        pub peer_key: String,
        /// SHA-256 digest of the operators' token, hexadecimal.
        pub operator_token_digest: String,
        /// Most connections of callers open at once.
        #[serde(default = "default_max_connections")]
        pub max_connections: usize,
        /// Largest body of a call, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: usize,
        /// How long a shutdown waits for open streams, in milliseconds.
        #[serde(default = "default_drain_millis")]
        pub drain_millis: u64,
        /// Logs.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// What is logged, and how.
    pub struct LogSettings {
        /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_level")]
        pub level: String,
        /// Whether each line is a JSON object.
        #[serde(default)]
        pub json: bool,
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: default_level(), json: false }
    }
}

fn default_max_connections() -> usize {
    4096
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_drain_millis() -> u64 {
    60_000
}

fn default_level() -> String {
    "info".to_owned()
}

/// Reads a router's settings; reports every fault at its place.
pub fn parse_router_settings(
    text: &str,
    file_name: &str,
) -> Result<RouterSettings, SettingsReport> {
    let file = SourceFile::new(file_name, text);
    let settings: RouterSettings =
        file.read().map_err(|diagnostics| SettingsReport { diagnostics })?;
    let issues = check_router_settings(&settings);
    if issues.is_empty() {
        return Ok(settings);
    }
    let diagnostics = issues.iter().map(|issue| file.locate_issue(issue)).collect();
    Err(SettingsReport { diagnostics })
}
