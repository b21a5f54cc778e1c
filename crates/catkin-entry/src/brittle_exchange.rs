//! Records which servers say that they fall over when they have to turn requests away, and tells the other
//! routers, with each request that such a server declined.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};
use catkin_peer::messages::{BrittleServer, EntryReport};
use catkin_policy::{BrittleRoom, BrittleStatement, RequestRate, compute_fraction};

use crate::limit_exchange::{DEMAND_SECONDS, decode_count};
use crate::load_table::ServiceKey;
use crate::server_book::KnownServer;
use crate::server_notice::{LimitNotice, NoticeSource};
use crate::state::EntryState;

/// Number of reports that each row is sent in. Reports are datagrams, which may be lost.
const REPORTS_PER_ROW: u32 = 3;
/// Maximum number of rows in one report, so that it fits a datagram with what else it has.
pub(crate) const MAX_BRITTLE: usize = 12;

copy_type! {
    /// What routers tell one another of a brittle server.
    pub(crate) struct BrittleRow {
        pub(crate) statement: BrittleStatement,
        /// When it last declined a request, if that is new.
        pub(crate) declined: Option<ClockTime>,
    }
}

impl From<BrittleStatement> for BrittleRow {
    fn from(statement: BrittleStatement) -> Self {
        Self { statement, declined: None }
    }
}

/// Rows that are still to be reported, and in how many reports.
#[derive(Debug, Default)]
pub(crate) struct BrittleUpdates {
    pending: BTreeMap<ServerId, (BrittleRow, u32)>,
}

impl BrittleUpdates {
    /// Queues a row; it replaces an earlier one of the same server, whose decline it keeps.
    pub(crate) fn push(&mut self, row: BrittleRow) {
        let server = row.statement.server;
        let before = self.pending.get(&server).and_then(|(before, _)| before.declined);
        let row = BrittleRow { declined: row.declined.max(before), ..row };
        self.pending.insert(server, (row, REPORTS_PER_ROW));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Moves the next rows to a report, those reported least often first, and queues them in `relayed`,
    /// if there is such a queue.
    pub(crate) fn fill_report(
        &mut self,
        now: ClockTime,
        report: &mut EntryReport,
        mut relayed: Option<&mut Self>,
    ) {
        let mut order: Vec<(u32, ServerId)> =
            self.pending.iter().map(|(server, (_, reports))| (*reports, *server)).collect();
        order.sort_by_key(|(reports, _)| std::cmp::Reverse(*reports));
        for (_, server) in order.into_iter().take(MAX_BRITTLE) {
            let Some((row, reports)) = self.pending.get_mut(&server) else { continue };
            report.brittle.push(encode_brittle(now, row));
            if let Some(relayed) = relayed.as_deref_mut() {
                relayed.push(*row);
            }
            *reports -= 1;
            if *reports == 0 {
                self.pending.remove(&server);
            }
        }
    }
}

/// This router's share of the room of the brittle servers of a service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoomShare {
    fraction: f64,
    other_rate: f64,
    report_millis: f64,
}

impl<W> EntryState<W> {
    /// Records what an answer says of how many requests its server can turn away.
    pub(crate) fn record_brittle_notice(
        &self,
        server: ServerId,
        notice: LimitNotice,
        source: NoticeSource,
        request: &str,
    ) {
        let (declines, stated) = match (notice, source) {
            (LimitNotice::Named(declines), NoticeSource::Answer(_)) => (Some(declines), self.now()),
            (LimitNotice::Named(declines), NoticeSource::Other(sent)) => (Some(declines), sent),
            // The server may have become brittle between the request and its answer.
            (LimitNotice::Absent, NoticeSource::Answer(sent)) => (None, sent),
            (LimitNotice::Absent, NoticeSource::Other(_)) => return,
            (LimitNotice::Unreadable, _) => {
                log::info!(
                    "servers: declines that it bears are no decimal number; ignoring them. \
                     server={server} request={request}"
                );
                return;
            }
        };
        let statement = BrittleStatement { server, declines, stated };
        if self.record_brittle(statement, request) {
            self.updates.borrow_mut().brittle.push(statement.into());
        }
    }

    /// Records a statement, of a server here or, as reported, to another router; returns whether it is new.
    fn record_brittle(&self, statement: BrittleStatement, source: &str) -> bool {
        if !self.brittle.borrow_mut().record_statement(statement) {
            return false;
        }
        log::info!(
            "servers: requests that it can turn away in a second changed. server={} declines={} \
             source={source}",
            statement.server,
            statement.declines.map_or_else(|| "-".to_owned(), |rate| rate.per_second().to_string())
        );
        self.selection_input_change.notify_waiters();
        true
    }

    /// Records that a server declined a request of this router.
    pub(crate) fn record_brittle_decline(&self, server: ServerId, request: &str) {
        let mut brittle = self.brittle.borrow_mut();
        let now = self.now();
        brittle.record_decline(now, server);
        let Some(statement) = brittle.statement(server).filter(|row| row.declines.is_some()) else {
            return;
        };
        metrics::counter!("catkin_entry_brittle_declines_total").increment(1);
        log::info!(
            "servers: brittle server declined a request; all routers keep away for a moment. \
             server={server} open={} request={request}",
            self.loads.borrow().total_load(server).open
        );
        self.updates.borrow_mut().brittle.push(BrittleRow { statement, declined: Some(now) });
    }

    /// Records what another router reports of brittle servers; returns what is new.
    pub(crate) fn apply_brittle_report(
        &self,
        report: &EntryReport,
        source: &str,
    ) -> Vec<BrittleRow> {
        let now = self.now();
        let rows = report.brittle.iter().map(|row| decode_brittle(now, row));
        let is_new = |row: &BrittleRow| {
            let is_stated = self.record_brittle(row.statement, source);
            let server = row.statement.server;
            let is_declined = row.declined.is_some_and(|declined| {
                self.brittle.borrow_mut().record_peer_decline(server, declined)
            });
            is_stated || is_declined
        };
        rows.filter(is_new).collect()
    }

    /// This router's share of the room of brittle servers; `None` if no server of the service is one.
    pub(crate) fn compute_room_share(&self, service: &str) -> Option<RoomShare> {
        let brittle = self.brittle.borrow();
        if brittle.is_empty() {
            return None;
        }
        let servers = self.servers.borrow();
        let count = servers.usable(service).count().max(1) as f64;
        let states = |known: &KnownServer| brittle.declines(known.server).is_some();
        let remembered = servers.usable(service).chain(servers.leaving(service));
        if !remembered.into_iter().any(states) {
            return None;
        }
        let now = self.now();
        let key = ServiceKey::from_name(service);
        let loads = self.loads.borrow();
        let own = self.demands.borrow().demand(now, key);
        let others = decode_count(loads.reported_demand(key));
        Some(RoomShare {
            fraction: compute_fraction(own, others, loads.live_routers(now), self.budget_routers()),
            other_rate: others / DEMAND_SECONDS / count,
            report_millis: loads.mean_report_millis(now),
        })
    }

    /// Whether a server counts as brittle. `share` is that of its service.
    pub(crate) fn is_brittle(&self, server: ServerId, share: Option<&RoomShare>) -> bool {
        share.is_some() && self.brittle.borrow().is_brittle(server, true)
    }

    /// Time until a brittle server may get a request of this router, in milliseconds; 0 if it may get one
    /// now, or if it isn't brittle.
    pub(crate) fn brittle_wait(&self, known: &KnownServer, share: Option<&RoomShare>) -> u64 {
        let server = known.server;
        let Some(share) = share.filter(|_| self.is_brittle(server, share)) else { return 0 };
        let room = BrittleRoom {
            slots: known.record.slots,
            open: self.loads.borrow().total_load(server).open,
            fraction: share.fraction,
            other_rate: share.other_rate,
            report_millis: share.report_millis,
        };
        self.brittle.borrow_mut().wait_millis(self.now(), server, &room)
    }
}

pub(crate) fn encode_brittle(now: ClockTime, row: &BrittleRow) -> BrittleServer {
    let BrittleRow { statement, declined } = row;
    let age = |at: ClockTime| u32::try_from(now.millis_since(at)).unwrap_or(u32::MAX);
    BrittleServer {
        server: statement.server.0,
        declines_per_thousand_seconds: statement
            .declines
            .map_or(0, |rate| rate.per_thousand_seconds),
        ended: statement.declines.is_none(),
        age_millis: age(statement.stated),
        decline_age_millis: declined.map(age),
    }
}

fn decode_brittle(now: ClockTime, row: &BrittleServer) -> BrittleRow {
    let rate = RequestRate { per_thousand_seconds: row.declines_per_thousand_seconds };
    let before = |millis: u32| now.minus_millis(u64::from(millis));
    let statement = BrittleStatement {
        server: ServerId(row.server),
        declines: (!row.ended).then_some(rate),
        stated: before(row.age_millis),
    };
    BrittleRow { statement, declined: row.decline_age_millis.map(before) }
}
