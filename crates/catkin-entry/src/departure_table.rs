//! Servers that leave or left: what other routers are told of them, and what holds for entries of the
//! same servers that come back.
//!
//! A server that stated in an answer that it leaves does so for good: a later incarnation of it has
//! another identifier. An announcement in the store may be missing after the store was restored from a
//! copy, so it also counts for the first entry of the next era.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

use crate::store_point::StorePoint;

/// Time for which a departure is reported to other routers, in milliseconds.
const REPORT_MILLIS: u64 = 6_000;
/// Maximum number of departures in one report, so that it fits a datagram.
const MAX_REPORTED: usize = 20;
/// Maximum number of leaving servers that are remembered; the oldest ones are forgotten first.
const MAX_LEAVES: usize = 4_096;

copy_type! {
    /// A departure, for the reports to other routers.
    pub struct ServerDeparture {
        /// The server.
        pub server: ServerId,
        /// Point of the store that showed the departure.
        pub point: StorePoint,
        /// Whether the server itself stated it in an answer, so that no entry revokes it.
        pub stated: bool,
    }
}

copy_type! {
    /// The routers that reports of one kind go to. Each is told of every departure.
    pub enum ReportAudience {
        /// The routers that get this router's own reports.
        Direct,
        /// The relays of other domains.
        OtherDomains,
        /// The routers of the own domain that get what this router relays.
        OwnDomain,
    }
}

copy_type! {
    /// A departure that is reported.
    struct ReportedDeparture {
        departure: ServerDeparture,
        /// When this router learned of it.
        at: ClockTime,
        /// Number of reports that named it, by audience.
        reports: [u32; 3],
    }
}

copy_type! {
    /// From where it is known that a server leaves.
    enum LeaveSource {
        /// Its entry in the store announced it, or was in place before the store was restored.
        Entry(StorePoint),
        /// The server stated it in an answer.
        Statement,
    }
}

/// Departures by server.
#[derive(Debug, Clone, Default)]
pub struct DepartureTable {
    /// Departures that are reported.
    recent: BTreeMap<ServerId, ReportedDeparture>,
    /// Servers that announced or stated that they leave, and when this router learned of it.
    leaves: BTreeMap<ServerId, (LeaveSource, ClockTime)>,
}

impl DepartureTable {
    /// Records a departure that is to be reported.
    pub fn record_departure(&mut self, now: ClockTime, departure: ServerDeparture) {
        let reported = ReportedDeparture { departure, at: now, reports: [0; 3] };
        self.recent.insert(departure.server, reported);
    }

    /// Records that a server stated in an answer that it leaves; returns false if that is known.
    pub fn record_statement(&mut self, now: ClockTime, server: ServerId) -> bool {
        let before = self.leaves.insert(server, (LeaveSource::Statement, now));
        self.limit_leaves();
        !matches!(before, Some((LeaveSource::Statement, _)))
    }

    /// Applies an entry of a server as of `point`, which says whether the server is `leaving`; returns
    /// whether the server counts as leaving.
    pub fn apply_entry(
        &mut self,
        now: ClockTime,
        server: ServerId,
        point: StorePoint,
        leaving: bool,
    ) -> bool {
        let leaves = match self.leaves.get(&server) {
            Some((LeaveSource::Statement, _)) => return true,
            Some((LeaveSource::Entry(before), _)) => leaving || point.era() > before.era(),
            None => leaving,
        };
        if leaves {
            self.leaves.insert(server, (LeaveSource::Entry(point), now));
            self.limit_leaves();
        } else {
            self.leaves.remove(&server);
        }
        leaves
    }

    /// Whether the server stated in an answer that it leaves.
    pub fn has_stated(&self, server: ServerId) -> bool {
        matches!(self.leaves.get(&server), Some((LeaveSource::Statement, _)))
    }

    /// How long it has been known that a server leaves, by its last statement or entry; `None` if it
    /// doesn't leave.
    pub fn leave_age_millis(&self, now: ClockTime, server: ServerId) -> Option<u64> {
        self.leaves.get(&server).map(|(_, at)| now.millis_since(*at))
    }

    /// Forgets that a server leaves.
    pub fn forget_leave(&mut self, server: ServerId) {
        self.leaves.remove(&server);
    }

    /// Departures for a report that no other depends on, the newest ones.
    pub fn newest(&self) -> impl Iterator<Item = ServerDeparture> {
        let mut newest: Vec<_> = self.recent.values().collect();
        newest.sort_by_key(|reported| Reverse(reported.at));
        newest.into_iter().take(MAX_REPORTED).map(|reported| reported.departure)
    }

    /// Chooses the departures of the next report to an audience: those that it was told of the fewest times,
    /// the newest ones first.
    pub fn choose_reported(&mut self, audience: ReportAudience) -> Vec<ServerDeparture> {
        let index = audience as usize;
        let mut rarest: Vec<_> = self.recent.values_mut().collect();
        rarest.sort_by_key(|reported| (reported.reports[index], Reverse(reported.at)));
        let chosen = rarest.into_iter().take(MAX_REPORTED);
        chosen
            .map(|reported| {
                reported.reports[index] += 1;
                reported.departure
            })
            .collect()
    }

    /// Whether a departure is in no report to the routers that get this router's own reports.
    pub fn has_unreported(&self) -> bool {
        let direct = ReportAudience::Direct as usize;
        self.recent.values().any(|reported| reported.reports[direct] == 0)
    }

    /// Removes departures that are no longer reported.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.recent.retain(|_, reported| now.millis_since(reported.at) < REPORT_MILLIS);
    }

    fn limit_leaves(&mut self) {
        if self.leaves.len() <= MAX_LEAVES {
            return;
        }
        let oldest = self.leaves.iter().min_by_key(|(_, (_, at))| *at).map(|(server, _)| *server);
        if let Some(server) = oldest {
            self.leaves.remove(&server);
        }
    }
}
