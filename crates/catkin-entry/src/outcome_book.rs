//! Outlier detection: ejects servers whose attempts fail more often than those of their service.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Half-life of the weight of an outcome, in milliseconds.
const HALF_LIFE_MILLIS: f64 = 2_000.0;
/// Failures, after decay, below which a server is never ejected. An attempt that could not reach
/// the server counts as this many, so that it ejects the server at once.
const MIN_FAILURES: f64 = 2.5;
/// Failure rate above which a server is ejected, unless the whole service fails.
const MIN_FAILURE_RATE: f64 = 0.25;
/// A server is ejected only if its failure rate exceeds that of the other servers of its service by
/// this factor.
const SERVICE_RATE_FACTOR: f64 = 2.0;
/// Duration of the first ejection of a server, in milliseconds; it doubles with each further one.
const FIRST_EJECTION_MILLIS: u64 = 500;
/// Duration of an ejection reported by another router, in milliseconds; the router repeats its
/// report while the server is ejected there.
pub(crate) const PEER_EJECTION_MILLIS: u64 = 500;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MILLIS: u64 = 4_000;
/// Time without failures after which the duration starts from the first one again, in milliseconds.
const EJECTION_RESET_MILLIS: u64 = 6_000;

copy_type! {
    /// How an attempt at a server ended.
    pub enum AttemptOutcome {
        /// The server gave a complete answer.
        Served,
        /// The server failed: an error status, a broken connection, a malformed or a late answer.
        Failed,
        /// The server could not be reached, or another server has its address.
        Unreachable,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerOutcomes {
    /// Complete answers, weighted by age.
    served: f64,
    /// Failures, weighted by age.
    failed: f64,
    /// Time to which the weights refer.
    updated: ClockTime,
    /// End of the ejection that this router decided.
    ejected_until: ClockTime,
    /// End of the ejection that another router reported.
    peer_ejected_until: ClockTime,
    /// End of the time for which the server counts as unreachable.
    unreachable_until: ClockTime,
    /// Duration of the latest ejection; zero before the first one.
    ejection_millis: u64,
    last_failure: ClockTime,
}

impl ServerOutcomes {
    /// Reduces the weights of earlier outcomes to their values at `now`.
    fn decay(&mut self, now: ClockTime) {
        let millis = now.millis_since(self.updated) as f64;
        let factor = 0.5f64.powf(millis / HALF_LIFE_MILLIS);
        self.served *= factor;
        self.failed *= factor;
        self.updated = now;
    }

    /// Ejects the server, unless it is ejected already.
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

/// Recent attempt outcomes and ejections by server.
#[derive(Debug, Clone, Default)]
pub struct OutcomeBook {
    by_server: BTreeMap<ServerId, ServerOutcomes>,
}

impl OutcomeBook {
    /// Records the outcome of an attempt at `server`; returns true if this ejects the server.
    ///
    /// `service_servers` are all servers of its service; the failure rate of the others is the
    /// reference.
    pub fn record(
        &mut self,
        now: ClockTime,
        server: ServerId,
        outcome: AttemptOutcome,
        service_servers: impl Iterator<Item = ServerId>,
    ) -> bool {
        let outcomes = self.by_server.entry(server).or_default();
        outcomes.decay(now);
        let failures = match outcome {
            AttemptOutcome::Served => {
                outcomes.served += 1.0;
                return false;
            }
            AttemptOutcome::Failed => 1.0,
            AttemptOutcome::Unreachable => MIN_FAILURES,
        };
        let service_rate = self.failure_rate(now, server, service_servers);
        let outcomes = self.by_server.entry(server).or_default();
        outcomes.failed += failures;
        let was_ejected = now < outcomes.ejected_until;
        let rate = outcomes.failed / (outcomes.failed + outcomes.served);
        let outlier = rate > MIN_FAILURE_RATE && rate > service_rate * SERVICE_RATE_FACTOR;
        let unreachable = outcome == AttemptOutcome::Unreachable;
        if outcomes.failed >= MIN_FAILURES && (outlier || unreachable) {
            outcomes.eject(now);
        }
        if unreachable {
            outcomes.unreachable_until = outcomes.ejected_until;
        }
        outcomes.last_failure = now;
        !was_ejected && now < outcomes.ejected_until
    }

    /// Whether `server` is ejected, by this router or by the report of another one.
    pub fn is_ejected(&self, now: ClockTime, server: ServerId) -> bool {
        self.by_server
            .get(&server)
            .is_some_and(|outcomes| now < outcomes.ejected_until.max(outcomes.peer_ejected_until))
    }

    /// Whether `server` could not be reached lately; other servers cannot fetch from it either.
    pub fn is_unreachable(&self, now: ClockTime, server: ServerId) -> bool {
        self.by_server.get(&server).is_some_and(|outcomes| now < outcomes.unreachable_until)
    }

    /// Ejects `server` because another router reported that it ejected it.
    pub fn record_peer_ejection(&mut self, now: ClockTime, server: ServerId) {
        let outcomes = self.by_server.entry(server).or_default();
        outcomes.peer_ejected_until = now.plus_millis(PEER_EJECTION_MILLIS);
    }

    /// Servers that this router ejected itself, for its reports to other routers. Ejections that
    /// others reported are left out: routers that repeated each other's reports would prolong an
    /// ejection for good.
    pub fn local_ejections(&self, now: ClockTime) -> impl Iterator<Item = ServerId> {
        let ejected =
            self.by_server.iter().filter(move |(_, outcomes)| now < outcomes.ejected_until);
        ejected.map(|(server, _)| *server)
    }

    /// Removes what is known of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.by_server.remove(&server);
    }

    /// Failure rate of the `service_servers` without `server`; zero while they have hardly any
    /// outcomes.
    fn failure_rate(
        &self,
        now: ClockTime,
        server: ServerId,
        service_servers: impl Iterator<Item = ServerId>,
    ) -> f64 {
        let mut served = 0.0;
        let mut failed = 0.0;
        for other in service_servers.filter(|other| *other != server) {
            if let Some(outcomes) = self.by_server.get(&other) {
                let mut outcomes = *outcomes;
                outcomes.decay(now);
                served += outcomes.served;
                failed += outcomes.failed;
            }
        }
        if served + failed < 1.0 { 0.0 } else { failed / (served + failed) }
    }
}
