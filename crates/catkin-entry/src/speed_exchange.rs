//! Exchanges with the other routers what servers state of their speed. In a large fleet a router hears
//! a given server itself only every few seconds, and a statement counts for a second. Only servers that
//! state clearly more than their service are reported.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, ServerId};
use catkin_peer::messages::{EntryReport, StatedSpeed};

use crate::speed_table::{SpeedStatement, is_reported};
use crate::state::{EntryState, RelayUpdates};

/// Maximum number of statements in one report, so that it fits a datagram with what else it has.
const MAX_STATEMENTS: usize = 12;

impl<W> EntryState<W> {
    /// Returns the new statements of servers that state clearly more than their service, the slowest
    /// first.
    pub(crate) fn collect_slow_statements(
        &self,
        fresh: BTreeMap<ServerId, SpeedStatement>,
    ) -> Vec<SpeedStatement> {
        if fresh.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let servers = self.servers.borrow();
        let table = self.stated_speeds.borrow();
        let service = |server| servers.get(server).map(|known| known.record.service.as_str());
        let services: BTreeSet<&str> = fresh.keys().filter_map(|server| service(*server)).collect();
        let medians: BTreeMap<&str, f64> = services
            .into_iter()
            .filter_map(|service| {
                let of_service = servers.usable(service).map(|known| known.server);
                Some((service, table.find_median(now, of_service)?))
            })
            .collect();
        let median = |server| service(server).and_then(|service| medians.get(service).copied());
        let is_slow = |row: &SpeedStatement| {
            median(row.server).is_some_and(|median| is_reported(row.percent, median))
        };
        let mut slow: Vec<SpeedStatement> = fresh.into_values().filter(is_slow).collect();
        slow.sort_by_key(|row| std::cmp::Reverse(row.percent));
        slow.truncate(MAX_STATEMENTS);
        slow
    }

    /// Records what other routers report of servers' statements. `relayed` are the updates that a relay
    /// passes on.
    pub(crate) fn apply_stated_speeds(
        &self,
        report: &EntryReport,
        relayed: Option<&RefCell<RelayUpdates>>,
    ) {
        let now = self.now();
        for row in &report.stated_speeds {
            let statement = decode_statement(now, *row);
            let is_new = self.stated_speeds.borrow_mut().record_statement(now, statement);
            if let Some(updates) = relayed.filter(|_| is_new) {
                updates.borrow_mut().stated_speeds.insert(statement.server, statement);
            }
        }
    }
}

/// Moves statements to a relay's report. What does not fit is dropped: it soon no longer counts.
pub(crate) fn fill_relayed_speeds(
    now: ClockTime,
    updates: &mut RelayUpdates,
    report: &mut EntryReport,
) {
    let mut rows: Vec<SpeedStatement> =
        std::mem::take(&mut updates.stated_speeds).into_values().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.percent));
    rows.truncate(MAX_STATEMENTS);
    report.stated_speeds = rows.iter().map(|row| encode_statement(now, row)).collect();
}

pub(crate) fn encode_statement(now: ClockTime, statement: &SpeedStatement) -> StatedSpeed {
    StatedSpeed {
        server: statement.server.0,
        percent: statement.percent,
        age_millis: u32::try_from(now.millis_since(statement.stated)).unwrap_or(u32::MAX),
    }
}

fn decode_statement(now: ClockTime, row: StatedSpeed) -> SpeedStatement {
    SpeedStatement {
        server: ServerId(row.server),
        percent: row.percent,
        stated: now.minus_millis(u64::from(row.age_millis)),
    }
}
