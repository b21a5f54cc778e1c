//! Rates between two readings of the router, and the tables that show them.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::measure::ProcessReading;
use crate::traffic::KindCount;

/// What was read at one moment.
pub(crate) struct Reading {
    pub(crate) process: ProcessReading,
    pub(crate) bytes: f64,
    pub(crate) kinds: BTreeMap<&'static str, KindCount>,
    pub(crate) platform_calls: u64,
    pub(crate) at: Instant,
}

/// Messages and bytes of one kind, a second.
struct KindRate {
    messages: f64,
    bytes: f64,
}

/// What was measured in one window.
pub(crate) struct WindowRates {
    percent: f64,
    bytes: f64,
    messages: f64,
    platform_calls: f64,
    kinds: BTreeMap<&'static str, KindRate>,
}

impl WindowRates {
    /// Rates between two readings.
    pub(crate) fn between(before: &Reading, after: &Reading) -> Self {
        let seconds = (after.at - before.at).as_secs_f64();
        let mut kinds = BTreeMap::new();
        for (kind, count) in &after.kinds {
            let old = before.kinds.get(kind).copied().unwrap_or_default();
            let rate = KindRate {
                messages: (count.messages - old.messages) as f64 / seconds,
                bytes: (count.bytes - old.bytes) as f64 / seconds,
            };
            kinds.insert(*kind, rate);
        }
        Self {
            percent: after.process.percent_since(&before.process, seconds),
            bytes: (after.bytes - before.bytes) / seconds,
            messages: kinds.values().map(|rate| rate.messages).sum(),
            platform_calls: (after.platform_calls - before.platform_calls) as f64 / seconds,
            kinds,
        }
    }

    /// Prints the step's line.
    pub(crate) fn print(&self, name: &str, process: &ProcessReading) {
        println!(
            "{name:<20} {:>10} {:>9} {:>7.2} {:>9.0} {:>10.1} {:>11.2}",
            process.resident_kib,
            process.peak_kib,
            self.percent,
            self.bytes,
            self.messages,
            self.platform_calls,
        );
    }

    /// Prints the rates of each kind of message.
    pub(crate) fn print_kinds(&self) {
        println!("\nsent by the router, all loads on     messages/s   body bytes/s");
        for (kind, rate) in &self.kinds {
            println!("{kind:<36} {:>11.2} {:>14.0}", rate.messages, rate.bytes);
        }
    }
}

/// Prints the heads of the columns.
pub(crate) fn print_header() {
    println!("\nstep                 resident  peak KiB   core%   bytes/s messages/s  platform/s");
}
