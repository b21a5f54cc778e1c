//! Settings of an entry router, as JSON with comments.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use json_comments::StripComments;
use miette::{Diagnostic, NamedSource, SourceOffset, SourceSpan};
use serde::Deserialize;

/// Error of reading settings.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The text is not valid JSON with the fields of [`EntrySettings`].
    #[error("the settings are not valid: {reason}")]
    Malformed {
        /// Message of the parser.
        reason: String,
        /// Text of the settings.
        #[source_code]
        text: NamedSource<String>,
        /// Position at which the parser stopped.
        #[label("parsing stopped here")]
        at: SourceSpan,
    },
    /// A value is out of the allowed range.
    #[error("setting \"{key}\" is {value}; allowed: {allowed}")]
    Range {
        /// Name of the setting.
        key: &'static str,
        /// Value of the setting.
        value: String,
        /// Allowed range.
        allowed: &'static str,
    },
}

/// Settings of an entry router.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address for the other routers, UDP and TCP.
    pub peers: SocketAddr,
    /// Address of the metrics listener.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Local address of connections to backend servers, on a VM with several; the operating system
    /// chooses it unless it is set.
    #[serde(default)]
    pub server_source: Option<IpAddr>,
    /// Grace period between a stop signal and the kill, in seconds.
    #[serde(default = "default_grace_seconds")]
    pub grace_seconds: f64,
    /// Number of retries allowed per request of a service, over the whole fleet.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Number of retries allowed beyond that in each window of 10 seconds, over the whole fleet.
    #[serde(default)]
    pub retry_extra: f64,
    /// Maximum number of open requests at one server, relative to the mean of its service.
    #[serde(default = "default_load_factor")]
    pub load_factor: f64,
    /// Requests that all routers together may send to a cold server in a second, relative to what its
    /// service declares.
    #[serde(default = "default_cold_overshoot")]
    pub cold_overshoot: f64,
    /// Requests allowed beyond that.
    #[serde(default)]
    pub cold_slack: f64,
    /// Time from the start of an evacuation within which all routers must obey it, in milliseconds;
    /// `None` if failure domains are not evacuated.
    #[serde(default)]
    pub evacuation_millis: Option<u64>,
    /// Time after a disruption of this router or its connections from which on it must act in time on what the
    /// store says, in milliseconds.
    #[serde(default = "default_contact_millis")]
    pub contact_millis: u64,
    /// Whether requests that wait for room are ordered by rank, and sent at a rate of the router's own.
    #[serde(default)]
    pub orders_by_rank: bool,
    /// Terms of the platform that are in force.
    #[serde(default)]
    pub contracts: BTreeSet<String>,
    /// Whether the whole fleet starts for the first time, so that no server has cached anything.
    #[serde(default)]
    pub first_start: bool,
    /// Memory limit of the process, in megabytes.
    pub memory_megabytes: f64,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: u64,
    /// Bandwidth of the VM's network link, in megabits per second.
    #[serde(default = "default_link_megabits")]
    pub link_megabits: f64,
    /// Number of processor cores of the VM, which may be a fraction of one.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Maximum number of log lines per second. Further lines are dropped and counted.
    #[serde(default = "default_log_lines")]
    pub log_lines_per_second: u32,
}

/// The default grace period of the platform.
fn default_grace_seconds() -> f64 {
    8.0
}

/// One retry for every ten requests, as in `catkin-router`.
fn default_retry_ratio() -> f64 {
    0.1
}

/// Applies if the settings contain no bound; the widest factor that server selection is designed
/// for.
fn default_load_factor() -> f64 {
    3.0
}

fn default_cold_overshoot() -> f64 {
    1.0
}

fn default_contact_millis() -> u64 {
    3_000
}

fn default_log_lines() -> u32 {
    400
}

/// The network link of a standard VM.
fn default_link_megabits() -> f64 {
    1_000.0
}

fn default_cpu_share() -> f64 {
    1.0
}

impl EntrySettings {
    /// Time from the start of an evacuation within which all routers must obey it; `None` if failure
    /// domains are not evacuated.
    pub fn evacuation_bound(&self) -> Option<Duration> {
        self.evacuation_millis.map(Duration::from_millis)
    }

    /// Returns the grace period between a stop signal and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    /// Returns the relative capacity of this router for relaying: link bandwidth times CPU share.
    pub fn strength(&self) -> u32 {
        (self.link_megabits * self.cpu_share) as u32
    }
}

/// Parses and checks settings. `name` is the file name shown in errors. Fails on invalid JSON,
/// unknown or missing fields and values out of range.
pub fn parse_settings(text: &str, name: &str) -> Result<EntrySettings, SettingsError> {
    let stripped = StripComments::new(text.as_bytes());
    let settings: EntrySettings = serde_json::from_reader(stripped).map_err(|error| {
        let offset = SourceOffset::from_location(text, error.line(), error.column());
        SettingsError::Malformed {
            reason: error.to_string(),
            text: NamedSource::new(name, text.to_owned()),
            at: SourceSpan::new(offset, 0),
        }
    })?;
    check_range("grace_seconds", settings.grace_seconds, 0.0..=600.0, "0 to 600 seconds")?;
    check_range("retry_ratio", settings.retry_ratio, 0.0..=1.0, "0 to 1")?;
    check_range("retry_extra", settings.retry_extra, 0.0..=1e9, "0 or more")?;
    check_range("link_megabits", settings.link_megabits, 0.001..=1e6, "above 0 to 1000000")?;
    check_range("cpu_share", settings.cpu_share, 0.001..=1_000.0, "above 0 to 1000 cores")?;
    check_range("cold_overshoot", settings.cold_overshoot, 1.0..=100.0, "1 to 100")?;
    check_range("cold_slack", settings.cold_slack, 0.0..=1e6, "0 to 1000000")?;
    if let Some(millis) = settings.evacuation_millis {
        let allowed = "1 to 600000 milliseconds";
        check_range("evacuation_millis", millis as f64, 1.0..=6e5, allowed)?;
    }
    let allowed = "0 to 600000 milliseconds";
    check_range("contact_millis", settings.contact_millis as f64, 0.0..=6e5, allowed)?;
    check_range("load_factor", settings.load_factor, 1.0..=100.0, "1 to 100")?;
    Ok(settings)
}

fn check_range(
    key: &'static str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Range { key, value: value.to_string(), allowed })
}
