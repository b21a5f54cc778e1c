//! Rates between two readings of the router, and the tables that print them.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::measure::ProcessReading;
use crate::state::KindCount;

/// Values of the measured router at one time.
pub(crate) struct RouterReading {
    pub(crate) process: ProcessReading,
    pub(crate) bytes: f64,
    pub(crate) kinds: BTreeMap<&'static str, KindCount>,
    pub(crate) platform_calls: u64,
    pub(crate) read_at: Instant,
}

/// Messages and bytes of one kind per second.
struct KindRate {
    messages: f64,
    bytes: f64,
}

/// Rates measured in one window.
pub(crate) struct WindowRates {
    core_percent: f64,
    bytes: f64,
    messages: f64,
    platform_calls: f64,
    kinds: BTreeMap<&'static str, KindRate>,
}

impl WindowRates {
    /// Computes the rates between two readings.
    pub(crate) fn between(before: &RouterReading, after: &RouterReading) -> Self {
        let seconds = (after.read_at - before.read_at).as_secs_f64();
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
            core_percent: after.process.percent_since(&before.process, seconds),
            bytes: (after.bytes - before.bytes) / seconds,
            messages: kinds.values().map(|rate| rate.messages).sum(),
            platform_calls: (after.platform_calls - before.platform_calls) as f64 / seconds,
            kinds,
        }
    }

    /// Prints one row of the table of steps.
    pub(crate) fn print(&self, name: &str, process: &ProcessReading) {
        println!(
            "{name:<20} {:>10} {:>9} {:>7.2} {:>9.0} {:>10.1} {:>11.2}",
            process.resident_kib,
            process.peak_kib,
            self.core_percent,
            self.bytes,
            self.messages,
            self.platform_calls,
        );
    }

    /// Prints the table of rates per kind of message.
    pub(crate) fn print_kinds(&self) {
        println!("\nsent by the router, all loads on     messages/s   body bytes/s");
        for (kind, rate) in &self.kinds {
            println!("{kind:<36} {:>11.2} {:>14.0}", rate.messages, rate.bytes);
        }
    }
}

/// Prints the column heads of the table of steps.
pub(crate) fn print_header() {
    println!("\nstep                 resident  peak KiB   core%   bytes/s messages/s  platform/s");
}
