//! Settings of a router process.

use std::net::SocketAddr;

use catkin_base::document_type;

use crate::check_router::check_router_settings;
use crate::report::SettingsReport;
use crate::source::SourceFile;

document_type! {
    /// Settings of a router process.
    pub struct RouterSettings {
        /// Name of the VM on which the router runs.
        pub vm: String,
        /// Failure domain of the VM.
        pub domain: String,
        /// Region of the VM.
        pub region: String,
        /// Address on which the router listens for callers.
        pub caller_address: SocketAddr,
        /// Address on which the router listens for other routers, over TCP and UDP.
        pub peer_address: SocketAddr,
        /// Address on which the router serves the operator API and metrics.
        pub operator_address: SocketAddr,
        /// Address of the platform's object API.
        pub platform_address: SocketAddr,
        /// Peer addresses of routers to contact when the platform does not answer.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Key shared by all routers: 32 bytes in lower-case hexadecimal.
        pub peer_key: String,
        /// SHA-256 digest of the operators' token, in lower-case hexadecimal.
        pub operator_token_digest: String,
        /// Maximum number of open caller connections.
        #[serde(default = "default_max_connections")]
        pub max_connections: usize,
        /// Maximum size of a call's body, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: usize,
        /// Time that a shutdown waits for open streams to end, in milliseconds.
        #[serde(default = "default_drain_millis")]
        pub drain_millis: u64,
        /// Log settings.
        #[serde(default)]
        pub log: LogSettings,
    }

    /// Level and format of the log.
    pub struct LogSettings {
        /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
        #[serde(default = "default_level")]
        pub level: String,
        /// Whether each log line is a JSON object.
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

/// Reads and checks a router's settings.
///
/// Fails with all errors, each with its position. `file_name` is used in diagnostics only.
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
