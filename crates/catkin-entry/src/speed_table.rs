//! Servers' own statements of how long work takes there.
//!
//! Answers the pattern of servers that share machines: which of them are slow changes many times a
//! second, before the pace of answers shows it. A statement is compared with the median of its service,
//! loses its weight within a second and is bounded by the measured pace of the server, so that a false
//! or stuck figure costs little.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Time for which a statement counts, in milliseconds.
const STATEMENT_LIFETIME_MILLIS: u64 = 1_000;
/// Half-life of the deviation that a statement shows, in milliseconds.
const STATEMENT_HALF_LIFE_MILLIS: f64 = 300.0;
/// Range that a stated percentage is limited to.
const PERCENT_RANGE: (u32, u32) = (20, 1_000);
/// Maximum number of digits of a percentage.
const MAX_PERCENT_DIGITS: usize = 4;
/// Position of the percentage in the statement of a server's load.
const PERCENT_POSITION: usize = 3;
/// Maximum factor that a statement counts with while the pace of the server is not known.
const MAX_UNMEASURED_FACTOR: f64 = 3.0;
/// Maximum factor that a statement counts with, relative to the measured pace of the server.
const MAX_MEASURED_FACTOR: f64 = 1.5;
/// Factor above the median of the service from which on a statement is reported to other routers.
const REPORTED_FACTOR: f64 = 1.5;

copy_type! {
    /// How long work takes at a server, as it stated.
    pub struct SpeedStatement {
        /// The server.
        pub server: ServerId,
        /// The time, in percent of the usual one.
        pub percent: u32,
        /// When the server stated it.
        pub stated: ClockTime,
    }
}

impl SpeedStatement {
    fn is_live(&self, now: ClockTime) -> bool {
        now.millis_since(self.stated) < STATEMENT_LIFETIME_MILLIS
    }
}

/// Reads the percentage from the statement of a server's load: running requests, waiting requests,
/// slots and percentage, separated by commas. `None` if there is no percentage or an impossible one.
pub fn read_stated_speed(value: &[u8]) -> Option<u32> {
    let text = value.split(|byte| *byte == b',').nth(PERCENT_POSITION)?.trim_ascii();
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number);
    let percent: u32 = text.filter(|text| text.len() <= MAX_PERCENT_DIGITS)?.parse().ok()?;
    let (least, greatest) = PERCENT_RANGE;
    (percent > 0).then(|| percent.clamp(least, greatest))
}

/// The latest statement of each server.
#[derive(Debug, Clone, Default)]
pub struct SpeedTable {
    statements: BTreeMap<ServerId, SpeedStatement>,
}

impl SpeedTable {
    /// Records a statement. Returns whether it is newer than the one known.
    pub fn record_statement(&mut self, now: ClockTime, statement: SpeedStatement) -> bool {
        let known = self.statements.get(&statement.server);
        let is_newer = known.is_none_or(|known| known.stated < statement.stated);
        if !is_newer || !statement.is_live(now) {
            return false;
        }
        let (least, greatest) = PERCENT_RANGE;
        let percent = statement.percent.clamp(least, greatest);
        self.statements.insert(statement.server, SpeedStatement { percent, ..statement });
        true
    }

    /// Whether no statement is known.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the statement of a server that counts, if there is one.
    pub fn statement(&self, now: ClockTime, server: ServerId) -> Option<SpeedStatement> {
        self.statements.get(&server).copied().filter(|statement| statement.is_live(now))
    }

    /// Returns the median of the percentages that the servers of a service stated.
    pub fn find_median(
        &self,
        now: ClockTime,
        servers: impl Iterator<Item = ServerId>,
    ) -> Option<f64> {
        if self.is_empty() {
            return None;
        }
        let statements = servers.filter_map(|server| self.statement(now, server));
        let mut percents: Vec<u32> = statements.map(|statement| statement.percent).collect();
        let middle = percents.len().checked_sub(1)? / 2;
        Some(f64::from(*percents.select_nth_unstable(middle).1))
    }

    /// Returns the factor by which a server states that it takes longer than the median of its service;
    /// 1 without a statement. With its age it tends to 1.
    pub fn stated_factor(&self, now: ClockTime, server: ServerId, median: f64) -> f64 {
        let Some(statement) = self.statement(now, server) else { return 1.0 };
        let factor = (f64::from(statement.percent) / median).max(1.0);
        let age = now.millis_since(statement.stated) as f64;
        1.0 + (factor - 1.0) * 0.5f64.powf(age / STATEMENT_HALF_LIFE_MILLIS)
    }

    /// Removes what a server that left or restarted stated.
    pub fn remove_server(&mut self, server: ServerId) {
        self.statements.remove(&server);
    }

    /// Removes statements that no longer count.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.statements.retain(|_, statement| statement.is_live(now));
    }
}

/// Whether a statement is worth a row in reports.
pub(crate) fn is_reported(percent: u32, median: f64) -> bool {
    f64::from(percent) >= median * REPORTED_FACTOR
}

/// Returns the median of the factors by which the servers of a service are slow by their pace. If most are,
/// as with few requests of varying length, none is slow beside the others.
pub fn find_typical_factor(factors: impl Iterator<Item = f64>) -> f64 {
    let mut factors: Vec<f64> = factors.collect();
    let Some(middle) = factors.len().checked_sub(1).map(|last| last / 2) else { return 1.0 };
    factors.select_nth_unstable_by(middle, f64::total_cmp).1.max(1.0)
}

/// Combines the factor that a server states with those that were measured. `slow_factor` is what
/// servers are charged with by their measured pace, relative to the typical one of their service; `measured` is their pace
/// relative to their service, if enough of their answers were measured.
pub fn combine_factors(stated: f64, slow_factor: f64, measured: Option<f64>) -> f64 {
    let most = measured.map_or(MAX_UNMEASURED_FACTOR, |pace| pace.max(1.0) * MAX_MEASURED_FACTOR);
    slow_factor.max(stated.min(most))
}
