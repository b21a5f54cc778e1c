//! Which services a router reaches: whether it can open connections to their servers.
//!
//! A server that can't be connected to may be down. A router that can connect to none of several servers
//! of a service, and whose failures began with all of them at about the same time, is probably cut off from
//! them. Both look the same from here for a service whose servers are all down; other routers tell
//! them apart. Sound servers may all be silent for a second: several connects without any answer raise a
//! suspicion, which is enough to pass requests on, and the service is out of reach only once they have gone on
//! for longer.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Number of servers of a service that can't be connected to from which on it counts as out of reach; all of
/// them if it has fewer.
const MIN_FAILED: usize = 3;
/// Minimum number of such servers over all services. A single server may be down.
const MIN_FAILED_TOTAL: usize = 2;
/// Time for which a failed connect counts, in milliseconds.
const FAILURE_MILLIS: u64 = 1_500;
/// Minimum time between the starts of the first and the last of the connects without an answer for which a
/// service counts as out of reach, in milliseconds.
const MIN_SILENCE_MILLIS: u64 = 1_200;
/// Time since the last connect to any server after which the router connects to one by itself, in milliseconds.
const QUIET_MILLIS: u64 = 1_000;

copy_type! {
    /// A service of this router, by a hash of its name. `ServiceKey` of `catkin-entry` has the same value.
    pub struct ReachKey(pub u64);
}

copy_type! {
    /// What a connect changed.
    pub enum ReachChange {
        /// Nothing.
        Unchanged,
        /// The service may be out of reach.
        Suspected,
        /// The service is out of reach from now on.
        Lost,
        /// The service is in reach again, or the suspicion was wrong.
        Regained,
    }
}

copy_type! {
    /// How a connect failed.
    pub enum ConnectFailure {
        /// The machine of the server answered that it accepts no connection.
        Refused,
        /// No answer came. The connect began at this time or earlier.
        Unanswered(ClockTime),
    }
}

#[derive(Debug, Clone, Copy)]
struct FailedConnect {
    at: ClockTime,
    is_refused: bool,
}

#[derive(Debug, Clone, Default)]
struct ServiceReach {
    /// Servers that could not be connected to since the last connect to one of the service.
    failed: BTreeMap<ServerId, FailedConnect>,
    /// Start of the first of these connects that had no answer.
    silent_since: Option<ClockTime>,
    /// When a server of the service was last connected to.
    connected: Option<ClockTime>,
    /// Whether as many failed as a cut takes, which may be a short silence.
    is_suspected: bool,
    is_lost: bool,
}

impl ServiceReach {
    fn remove_old_failures(&mut self, now: ClockTime) {
        self.failed.retain(|_, failed| now.millis_since(failed.at) < FAILURE_MILLIS);
        if self.failed.is_empty() {
            self.silent_since = None;
            self.is_suspected = false;
        }
    }

    /// Records a connect without an answer and returns the time between the starts of the first such connect and
    /// of this one, in milliseconds.
    fn record_silence(&mut self, started: ClockTime) -> u64 {
        let started = self.connected.map_or(started, |connected| started.max(connected));
        let since = *self.silent_since.get_or_insert(started);
        started.millis_since(since)
    }
}

/// The reach of one router, by service.
#[derive(Debug, Clone, Default)]
pub struct ReachTable {
    services: BTreeMap<ReachKey, ServiceReach>,
}

impl ReachTable {
    /// Records that a server of the service was connected to.
    pub fn record_connect(&mut self, now: ClockTime, service: ReachKey) -> ReachChange {
        let reach = self.services.entry(service).or_default();
        reach.failed.clear();
        reach.silent_since = None;
        reach.connected = Some(now);
        let was_suspected = std::mem::take(&mut reach.is_suspected);
        if std::mem::take(&mut reach.is_lost) || was_suspected {
            return ReachChange::Regained;
        }
        ReachChange::Unchanged
    }

    /// Records that a server of the service, which has `servers` of them, could not be connected to.
    pub fn record_failure(
        &mut self,
        now: ClockTime,
        service: ReachKey,
        server: ServerId,
        failure: ConnectFailure,
        servers: usize,
    ) -> ReachChange {
        for reach in self.services.values_mut().filter(|reach| !reach.is_lost) {
            reach.remove_old_failures(now);
        }
        let reach = self.services.entry(service).or_default();
        let is_refused = failure == ConnectFailure::Refused;
        reach.failed.insert(server, FailedConnect { at: now, is_refused });
        let silent_millis = match failure {
            ConnectFailure::Refused => 0,
            ConnectFailure::Unanswered(started) => reach.record_silence(started),
        };
        let total: usize = self.services.values().map(|reach| reach.failed.len()).sum();
        let reach = self.services.entry(service).or_default();
        let needed = servers.clamp(1, MIN_FAILED);
        let refused = reach.failed.values().filter(|failed| failed.is_refused).count();
        let is_silent = silent_millis >= MIN_SILENCE_MILLIS;
        if reach.failed.len() < needed || total < MIN_FAILED_TOTAL {
            return ReachChange::Unchanged;
        }
        let was_suspected = std::mem::replace(&mut reach.is_suspected, true);
        if refused < needed && !is_silent {
            return if was_suspected { ReachChange::Unchanged } else { ReachChange::Suspected };
        }
        if std::mem::replace(&mut reach.is_lost, true) {
            return ReachChange::Unchanged;
        }
        ReachChange::Lost
    }

    /// Whether the service is out of reach.
    pub fn is_lost(&self, service: ReachKey) -> bool {
        self.services.get(&service).is_some_and(|reach| reach.is_lost)
    }

    /// Whether the service is out of reach or may be.
    pub fn is_suspected(&self, now: ClockTime, service: ReachKey) -> bool {
        let is_suspected = self.services.get(&service).is_some_and(|reach| reach.is_suspected);
        self.is_lost(service) || is_suspected && self.is_doubtful(now, service)
    }

    /// Whether a connect to a server of the service failed lately, and none succeeded since.
    pub fn is_doubtful(&self, now: ClockTime, service: ReachKey) -> bool {
        self.services.get(&service).is_some_and(|reach| {
            let recent = |failed: &FailedConnect| now.millis_since(failed.at) < FAILURE_MILLIS;
            reach.is_lost || reach.failed.values().any(recent)
        })
    }

    /// Whether a server could not be connected to since the last connect to one of its service.
    pub fn has_failed(&self, service: ReachKey, server: ServerId) -> bool {
        self.services.get(&service).is_some_and(|reach| reach.failed.contains_key(&server))
    }

    /// Time since any server was connected to, in milliseconds; `None` before the first time.
    pub fn connect_age_millis(&self, now: ClockTime) -> Option<u64> {
        let latest = self.services.values().filter_map(|reach| reach.connected).max()?;
        Some(now.millis_since(latest))
    }

    /// Whether no server was connected to lately, so that the router connects to one by itself.
    pub fn is_quiet(&self, now: ClockTime) -> bool {
        self.connect_age_millis(now).is_none_or(|age| age >= QUIET_MILLIS)
    }

    /// Time until no server will have been connected to lately, or until the next try if it is so already, in
    /// milliseconds.
    pub fn quiet_wait_millis(&self, now: ClockTime) -> u64 {
        let age = self.connect_age_millis(now).filter(|age| *age < QUIET_MILLIS);
        QUIET_MILLIS - age.unwrap_or(0)
    }

    /// The services that are out of reach.
    pub fn lost_services(&self) -> impl Iterator<Item = ReachKey> {
        self.services.iter().filter(|(_, reach)| reach.is_lost).map(|(service, _)| *service)
    }

    /// The services that are out of reach or may be.
    pub fn suspected_services(&self, now: ClockTime) -> impl Iterator<Item = ReachKey> {
        let services = self.services.keys().copied();
        services.filter(move |service| self.is_suspected(now, *service))
    }

    /// Removes services that are not listed any more.
    pub fn retain_services(&mut self, is_listed: impl Fn(ReachKey) -> bool) {
        self.services.retain(|service, _| is_listed(*service));
    }
}
