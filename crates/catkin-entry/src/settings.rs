//! Settings of an entry router: JSON with comments.

use std::net::SocketAddr;
use std::time::Duration;

use json_comments::StripComments;
use miette::{Diagnostic, NamedSource, SourceOffset, SourceSpan};
use serde::Deserialize;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The text is not what is expected.
    #[error("settings cannot be read: {reason}")]
    Malformed {
        /// What the parser says.
        reason: String,
        /// The text.
        #[source_code]
        text: NamedSource<String>,
        /// Where it stopped.
        #[label("here")]
        at: SourceSpan,
    },
    /// A value is out of its range.
    #[error("setting \"{key}\" is {value}, not {wanted}")]
    Range {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What it may be.
        wanted: &'static str,
    },
}

/// Settings of an entry router.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this router takes callers.
    pub ready: SocketAddr,
    /// Where the other routers reach this one, UDP and TCP.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Seconds between a stop signal and the kill.
    #[serde(default = "default_grace_seconds")]
    pub grace_seconds: f64,
    /// Retries allowed for each request of a service, over the whole fleet.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Retries allowed in each window beyond that, over the whole fleet.
    #[serde(default)]
    pub retry_extra: f64,
    /// Requests that one server may hold against the mean of its service.
    #[serde(default = "default_load_factor")]
    pub load_factor: f64,
    /// Whether the whole fleet starts for the first time, so that no server keeps anything yet.
    #[serde(default)]
    pub first_start: bool,
    /// Memory that the process may take, in megabytes.
    pub memory_megabytes: f64,
    /// File descriptors that the process may open.
    pub descriptors: u64,
    /// Bandwidth of the VM's link, in megabits a second.
    #[serde(default = "default_link_megabits")]
    pub link_megabits: f64,
    /// Share of a processor core that the VM has.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Most log lines a second; more are dropped and counted.
    #[serde(default = "default_log_lines")]
    pub log_lines_per_second: u32,
}

/// As long as the platform gives where it says nothing else.
fn default_grace_seconds() -> f64 {
    8.0
}

/// As in `catkin-router`: one retry for each ten requests.
fn default_retry_ratio() -> f64 {
    0.1
}

/// As wide as the placement works with where no bound is in force.
fn default_load_factor() -> f64 {
    3.0
}

fn default_log_lines() -> u32 {
    400
}

/// The link of a plain VM.
fn default_link_megabits() -> f64 {
    1_000.0
}

fn default_cpu_share() -> f64 {
    1.0
}

impl EntrySettings {
    /// The time between a stop signal and the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    /// How much this router can do for the others, against other routers.
    pub fn strength(&self) -> u32 {
        (self.link_megabits * self.cpu_share) as u32
    }
}

/// Reads settings; `name` is shown in errors.
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
    check_range("load_factor", settings.load_factor, 1.0..=100.0, "1 to 100")?;
    Ok(settings)
}

fn check_range(
    key: &'static str,
    value: f64,
    range: std::ops::RangeInclusive<f64>,
    wanted: &'static str,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Range { key, value: value.to_string(), wanted })
}
