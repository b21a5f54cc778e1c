//! Health of servers, judged from the outcomes of requests.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Time after which outcomes count half, in milliseconds.
const HALF_LIFE_MILLIS: f64 = 2_000.0;
/// Failures, after decay, below which a server is never set aside.
const MIN_FAILURES: f64 = 2.5;
/// Share of failures above which a server is set aside, if the others are sound.
const MIN_FAILURE_RATE: f64 = 0.25;
/// How many times the rate of the whole service a server's rate must be.
const SERVICE_RATE_FACTOR: f64 = 2.0;
/// First time that a server is set aside for, in milliseconds.
const FIRST_EJECTION_MILLIS: u64 = 500;
/// Time that another router's word counts, in milliseconds; it is repeated while it holds.
pub(crate) const PEER_EJECTION_MILLIS: u64 = 500;
/// Longest time that a server is set aside for, in milliseconds.
const MAX_EJECTION_MILLIS: u64 = 4_000;
/// Time without failures after which the hold starts over, in milliseconds.
const EJECTION_RESET_MILLIS: u64 = 6_000;

copy_type! {
    /// How an attempt at a server ended.
    pub enum AttemptOutcome {
        /// With a whole answer.
        Served,
        /// With a failure of the server.
        Failed,
        /// The server could not be reached at all, or another one has its address.
        Unreachable,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct OutcomeRow {
    served: f64,
    failed: f64,
    updated: ClockTime,
    /// Set aside by this router's own judgement until then.
    ejected_until: ClockTime,
    /// Set aside by another router's word until then.
    peer_ejected_until: ClockTime,
    unreachable_until: ClockTime,
    ejection_millis: u64,
    last_failure: ClockTime,
}

impl OutcomeRow {
    fn decay(&mut self, now: ClockTime) {
        let millis = now.millis_since(self.updated) as f64;
        let factor = 0.5f64.powf(millis / HALF_LIFE_MILLIS);
        self.served *= factor;
        self.failed *= factor;
        self.updated = now;
    }

    fn eject(&mut self, now: ClockTime) {
        if now < self.ejected_until {
            return;
        }
        let fresh = now.millis_since(self.last_failure) > EJECTION_RESET_MILLIS
            || self.ejection_millis == 0;
        self.ejection_millis = if fresh {
            FIRST_EJECTION_MILLIS
        } else {
            (self.ejection_millis * 2).min(MAX_EJECTION_MILLIS)
        };
        self.ejected_until = now.plus_millis(self.ejection_millis);
    }
}

/// Recent outcomes by server.
#[derive(Debug, Clone, Default)]
pub struct OutcomeBook {
    rows: BTreeMap<ServerId, OutcomeRow>,
}

impl OutcomeBook {
    /// Counts outcomes of attempts at `server`; true if it is set aside from now on.
    ///
    /// `peers` are all servers of its service, against which its rate of failures is judged.
    pub fn record(
        &mut self,
        now: ClockTime,
        server: ServerId,
        outcome: AttemptOutcome,
        peers: impl Iterator<Item = ServerId>,
    ) -> bool {
        let row = self.rows.entry(server).or_default();
        row.decay(now);
        let failures = match outcome {
            AttemptOutcome::Served => {
                row.served += 1.0;
                return false;
            }
            AttemptOutcome::Failed => 1.0,
            AttemptOutcome::Unreachable => MIN_FAILURES,
        };
        let service_rate = self.failure_rate(now, server, peers);
        let row = self.rows.entry(server).or_default();
        row.failed += failures;
        let was_ejected = now < row.ejected_until;
        let rate = row.failed / (row.failed + row.served);
        let outlier = rate > MIN_FAILURE_RATE && rate > service_rate * SERVICE_RATE_FACTOR;
        let unreachable = outcome == AttemptOutcome::Unreachable;
        if row.failed >= MIN_FAILURES && (outlier || unreachable) {
            row.eject(now);
        }
        if unreachable {
            row.unreachable_until = row.ejected_until;
        }
        row.last_failure = now;
        !was_ejected && now < row.ejected_until
    }

    /// Whether `server` is set aside.
    pub fn is_ejected(&self, now: ClockTime, server: ServerId) -> bool {
        self.rows
            .get(&server)
            .is_some_and(|row| now < row.ejected_until.max(row.peer_ejected_until))
    }

    /// Whether `server` could not be reached lately, so that others can't fetch from it either.
    pub fn is_unreachable(&self, now: ClockTime, server: ServerId) -> bool {
        self.rows.get(&server).is_some_and(|row| now < row.unreachable_until)
    }

    /// Sets `server` aside because another router found it failing.
    pub fn record_peer_ejection(&mut self, now: ClockTime, server: ServerId) {
        let row = self.rows.entry(server).or_default();
        row.peer_ejected_until = now.plus_millis(PEER_EJECTION_MILLIS);
    }

    /// Servers that this router itself set aside, which others are told. What it was told by others
    /// is left out, or routers would keep a server out by each other's word for good.
    pub fn local_ejections(&self, now: ClockTime) -> impl Iterator<Item = ServerId> {
        let ejected = self.rows.iter().filter(move |(_, row)| now < row.ejected_until);
        ejected.map(|(server, _)| *server)
    }

    /// Forgets a server that restarted or left.
    pub fn forget_server(&mut self, server: ServerId) {
        self.rows.remove(&server);
    }

    fn failure_rate(
        &self,
        now: ClockTime,
        server: ServerId,
        peers: impl Iterator<Item = ServerId>,
    ) -> f64 {
        let mut served = 0.0;
        let mut failed = 0.0;
        for peer in peers.filter(|peer| *peer != server) {
            if let Some(row) = self.rows.get(&peer) {
                let mut row = *row;
                row.decay(now);
                served += row.served;
                failed += row.failed;
            }
        }
        if served + failed < 1.0 { 0.0 } else { failed / (served + failed) }
    }
}
