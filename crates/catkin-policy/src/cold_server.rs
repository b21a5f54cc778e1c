//! Paces the requests to servers that are cold, which take few from all routers together for a while
//! after their start.
//!
//! A cold server has the lowest load of all, so that every router prefers it at the same moment. The
//! bound is on each second, which is hardly longer than the time that reports take. So each router has
//! a share of the rate, by its part of the requests for the service, and needs no report to keep to it.
//! A share grows to a permit for one request, which lapses if it is not used soon; otherwise a crowd of
//! requests could spend the unused permits of all routers at once. Reports of recent sends raise the
//! shares while they are used in part, and stop requests while routers sent too many.
//!
//! A router whose knowledge may be outdated counts a server as cold, too: after it could not reach it,
//! which may have been a restart, and after the process was paused.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ClockTime, ServerId, hash_parts};

/// Part of the rate that routers aim at.
const TARGET_PART: f64 = 0.93;
/// Time constant with which requests sent to a server lose their weight, in seconds, as in the reports
/// of limits.
const SEND_WEIGHT_SECONDS: f64 = 1.5;
/// Recent sends above which no request is sent, in multiples of those at the target rate.
const MOST_SENDS: f64 = 1.1;
/// Sends within a second above which no request is sent, in multiples of the target rate.
const MOST_NEW_SENDS: f64 = 1.15;
/// Sends within a second between which shares grow faster, in multiples of the target rate. With fewer,
/// requests are lacking rather than shares.
const FEW_SENDS: std::ops::Range<f64> = 0.45..1.0;
/// Faster growth, in multiples of the part of the permits that lapse without a request, and at most.
const FAST_GROWTH: f64 = 2.6;
const MAX_FAST_GROWTH: f64 = 1.0;
/// Requests for the service that a router gets while it has a permit, on average.
const PERMIT_REQUESTS: f64 = 1.2;
/// Minimum and maximum time for which a permit counts, in seconds.
const MIN_PERMIT_SECONDS: f64 = 0.05;
const MAX_PERMIT_SECONDS: f64 = 0.55;
/// Time for which a permit counts at a router with many requests, in seconds.
const MIN_WAIT_SECONDS: f64 = 0.3;
/// Time over which new sends are counted, and between two samples of them, in milliseconds.
const SAMPLED_MILLIS: u64 = 1_000;
const SAMPLE_STEP_MILLIS: u64 = 100;
/// Time after a server turned cold in which all routers have equal shares, since they don't know the
/// requests of one another yet, in milliseconds.
const EQUAL_MILLIS: u64 = 800;
/// Time after which the requests of a router that is silent no longer count, in milliseconds.
const REPORT_LIFETIME_MILLIS: u64 = 3_100;
/// Longest time for which a server that could not be reached counts as cold, in milliseconds.
const MAX_BREAK_MILLIS: u64 = 60_000;
/// Minimum age of a failure from which on an entry shows that the server did not restart, in
/// milliseconds. Entries may be read late.
const CONFIRM_MILLIS: u64 = 2_500;
/// Time by which the end of the cold time must move to be reported again, in milliseconds.
const REPORT_STEP_MILLIS: u64 = 500;

/// What a router may use of the rate of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdShare {
    /// Requests per second that the server takes from all routers together.
    pub rate: f64,
    /// Requests that it may get at most within one second.
    pub most: f64,
    /// Part of the rate that is this router's by its requests, from 0 to 1.
    pub fraction: f64,
    /// Part of the rate if all routers have the same.
    pub equal_fraction: f64,
    /// Requests that the other routers sent to the server lately, as reported, each weighted by its
    /// age.
    pub other_sends: f64,
    /// Requests per second that this router gets for the service.
    pub own_rate: f64,
    /// Whether all known routers reported just now.
    pub is_complete: bool,
    /// Whether other routers reported their requests for the service.
    pub knows_demand: bool,
}

impl ColdShare {
    fn target(&self) -> f64 {
        self.rate * TARGET_PART
    }

    /// Time for which an unused permit counts, in seconds: until the router had a request to use it for,
    /// and not so long that the unused permits of all routers exceed the room above the rate.
    fn permit_seconds(&self) -> f64 {
        let room = (self.most / self.rate - 1.0).clamp(MIN_PERMIT_SECONDS, MAX_PERMIT_SECONDS);
        (PERMIT_REQUESTS / self.own_rate).clamp(room.min(MIN_WAIT_SECONDS), room)
    }

    /// Recent sends at the target rate.
    fn steady_sends(&self) -> f64 {
        self.target() * SEND_WEIGHT_SECONDS
    }
}

/// Weight of a request that was sent some time ago.
fn decay(millis: u64) -> f64 {
    (-(millis as f64) / 1_000.0 / SEND_WEIGHT_SECONDS).exp()
}

#[derive(Debug, Clone)]
struct ColdServer {
    /// Since when this router counts it as cold.
    since: ClockTime,
    /// Until when it is cold, as its entry, its answers, its start or another router say.
    until: ClockTime,
    /// Until when it may be cold because it may have restarted.
    doubted_until: ClockTime,
    /// Time of the last attempt that did not reach it, unless an answer came later.
    failed: Option<ClockTime>,
    /// Share of this router that is not used yet; 1 and more is a permit.
    credit: f64,
    /// Requests that this router sent, each weighted by its age.
    sends: f64,
    /// Recent sends of all routers when they were last sampled.
    sampled_sends: f64,
    /// Requests that all routers sent within the last second, by the time at which this showed.
    new_sends: VecDeque<(ClockTime, f64)>,
    /// Time to which `credit` and `sends` refer.
    updated: ClockTime,
}

impl ColdServer {
    fn end(&self) -> ClockTime {
        self.until.max(self.doubted_until)
    }

    /// Part of the rate that is this router's.
    fn fraction(&self, now: ClockTime, share: &ColdShare) -> f64 {
        let millis = now.millis_since(self.since);
        let is_alone =
            !share.knows_demand && (millis < REPORT_LIFETIME_MILLIS || !share.is_complete);
        if millis < EQUAL_MILLIS || is_alone {
            share.equal_fraction.min(share.fraction)
        } else {
            share.fraction
        }
    }

    /// Samples the recent sends of all routers. Reports that are missing hide earlier sends, which count
    /// all the same.
    fn sample_sends(&mut self, now: ClockTime, share: &ColdShare, millis: u64) {
        let sends = self.sends + share.other_sends;
        let new = (sends - self.sampled_sends * decay(millis)).max(0.0);
        self.sampled_sends = sends;
        match self.new_sends.back_mut() {
            Some((at, count)) if now.millis_since(*at) < SAMPLE_STEP_MILLIS => *count += new,
            _ => self.new_sends.push_back((now, new)),
        }
        let is_old = |(at, _): &(ClockTime, f64)| now.millis_since(*at) >= SAMPLED_MILLIS;
        while self.new_sends.front().is_some_and(is_old) {
            self.new_sends.pop_front();
        }
    }

    /// Requests that all routers sent within the last second, as far as it is known.
    fn count_new_sends(&self) -> f64 {
        self.new_sends.iter().map(|(_, count)| count).sum()
    }

    /// Rate at which the share of this router grows, in requests per second.
    fn growth(&self, now: ClockTime, share: &ColdShare) -> f64 {
        let few = FEW_SENDS.contains(&(self.count_new_sends() / share.target()));
        let is_known = share.is_complete && now.millis_since(self.since) >= EQUAL_MILLIS;
        let unused = (-share.own_rate * share.permit_seconds()).exp();
        let fast = if few && is_known { (FAST_GROWTH * unused).min(MAX_FAST_GROWTH) } else { 0.0 };
        share.target() * self.fraction(now, share) * (1.0 + fast)
    }

    fn advance(&mut self, now: ClockTime, share: &ColdShare) {
        let millis = now.millis_since(self.updated);
        let seconds = millis as f64 / 1_000.0;
        self.sends *= decay(millis);
        self.updated = self.updated.max(now);
        self.sample_sends(now, share, millis);
        let growth = self.growth(now, share);
        let credit = self.credit + growth * seconds;
        let lapsed = (credit - 1.0 - growth * share.permit_seconds()).max(0.0).ceil();
        self.credit = credit - lapsed;
    }

    fn wait_seconds(&self, now: ClockTime, share: &ColdShare) -> f64 {
        let lacking = (1.0 - self.credit).max(0.0);
        let until_permit = lacking / self.growth(now, share).max(f64::MIN_POSITIVE);
        let over_most = (self.sends + share.other_sends) / (share.steady_sends() * MOST_SENDS);
        let until_decayed = over_most.ln().max(0.0) * SEND_WEIGHT_SECONDS;
        let over_new = self.count_new_sends() >= share.target() * MOST_NEW_SENDS;
        let until_aged = if over_new { SAMPLE_STEP_MILLIS as f64 / 1_000.0 } else { 0.0 };
        until_permit.max(until_decayed).max(until_aged)
    }
}

/// The servers that are cold or may be, and this router's use of them.
#[derive(Debug, Clone)]
pub struct ColdTable {
    /// Number of this router, which differs from those of the others.
    seed: u64,
    servers: BTreeMap<ServerId, ColdServer>,
}

impl ColdTable {
    /// Creates the table of the router with this number. The numbers spread the first requests of the
    /// routers over time.
    pub fn new(seed: u64) -> Self {
        Self { seed, servers: BTreeMap::new() }
    }

    /// Records that a server is cold until a time; returns whether other routers are to learn of it.
    /// A time that is known is never shortened.
    pub fn record_cold(&mut self, now: ClockTime, server: ServerId, until: ClockTime) -> bool {
        if until <= now {
            return false;
        }
        let cold = self.open_server(now, server);
        let is_new = cold.until < now || cold.until.plus_millis(REPORT_STEP_MILLIS) < until;
        cold.until = cold.until.max(until);
        is_new
    }

    /// Records that a server may be cold until a time, because what this router knows is old.
    pub fn record_doubt(&mut self, now: ClockTime, server: ServerId, until: ClockTime) {
        let cold = self.open_server(now, server);
        cold.doubted_until = cold.doubted_until.max(until);
    }

    /// Records that a server was not reached. It counts as cold until it is reached again.
    pub fn record_failure(&mut self, now: ClockTime, server: ServerId) {
        let cold = self.open_server(now, server);
        cold.failed = Some(now);
        cold.doubted_until = now.plus_millis(MAX_BREAK_MILLIS);
    }

    /// Records an answer of a server. One that was not reached before counts as cold for
    /// `start_millis` from now.
    pub fn record_answer(&mut self, now: ClockTime, server: ServerId, start_millis: u64) {
        let Some(cold) = self.servers.get_mut(&server) else { return };
        if cold.failed.take().is_some() {
            cold.doubted_until = now.plus_millis(start_millis);
        }
    }

    /// Records that an entry of the server that is new names no cold time. It ends the doubt if the
    /// server was reached at all times lately.
    pub fn confirm_warm(&mut self, now: ClockTime, server: ServerId) {
        let Some(cold) = self.servers.get_mut(&server) else { return };
        let failed_lately = cold.failed.is_some_and(|at| now.millis_since(at) < CONFIRM_MILLIS);
        if !failed_lately && now.millis_since(cold.since) >= CONFIRM_MILLIS {
            cold.doubted_until = now.min(cold.doubted_until);
            cold.failed = None;
        }
    }

    fn open_server(&mut self, now: ClockTime, server: ServerId) -> &mut ColdServer {
        let hash = hash_parts(&[&self.seed.to_le_bytes(), &server.0.to_le_bytes()]);
        let fresh = ColdServer {
            since: now,
            until: ClockTime::ZERO,
            doubted_until: ClockTime::ZERO,
            failed: None,
            credit: (hash >> 11) as f64 / (1_u64 << 53) as f64,
            sends: 0.0,
            sampled_sends: 0.0,
            new_sends: VecDeque::new(),
            updated: now,
        };
        match self.servers.entry(server) {
            Entry::Occupied(mut entry) => {
                if entry.get().end() <= now {
                    entry.insert(fresh);
                }
                entry.into_mut()
            }
            Entry::Vacant(entry) => entry.insert(fresh),
        }
    }

    /// Whether no server is or was cold lately.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Number of servers that are cold or may be.
    pub fn count(&self, now: ClockTime) -> usize {
        self.servers.values().filter(|cold| now < cold.end()).count()
    }

    /// Whether a server is cold or may be.
    pub fn is_cold(&self, now: ClockTime, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|cold| now < cold.end())
    }

    /// Time until this router may send a request to a server, in milliseconds; 0 if it may send one
    /// now.
    pub fn wait_millis(&mut self, now: ClockTime, server: ServerId, share: &ColdShare) -> u64 {
        let Some(cold) = self.servers.get_mut(&server) else { return 0 };
        if cold.end() <= now {
            return 0;
        }
        cold.advance(now, share);
        let wait = (cold.wait_seconds(now, share) * 1_000.0).ceil() as u64;
        wait.min(cold.end().millis_since(now))
    }

    /// Samples what all routers sent to a server.
    pub fn record_sample(&mut self, now: ClockTime, server: ServerId, share: &ColdShare) {
        if let Some(cold) = self.servers.get_mut(&server) {
            cold.advance(now, share);
        }
    }

    /// Records that this router sends a request to a server.
    pub fn record_send(&mut self, now: ClockTime, server: ServerId, share: &ColdShare) {
        let Some(cold) = self.servers.get_mut(&server) else { return };
        cold.advance(now, share);
        cold.credit -= 1.0;
        cold.sends += 1.0;
    }

    /// Requests that this router sent lately to servers that are cold, each weighted by its age.
    pub fn recent_sends(&self, now: ClockTime) -> impl Iterator<Item = (ServerId, f64)> {
        let cold = self.servers.iter().filter(move |(_, cold)| now < cold.end());
        cold.map(move |(server, cold)| {
            let seconds = now.millis_since(cold.updated) as f64 / 1_000.0;
            (*server, cold.sends * (-seconds / SEND_WEIGHT_SECONDS).exp())
        })
    }

    /// Servers that are cold as they or other routers say, and until when.
    pub fn stated(&self, now: ClockTime) -> impl Iterator<Item = (ServerId, ClockTime)> {
        let cold = self.servers.iter().filter(move |(_, cold)| now < cold.until);
        cold.map(|(server, cold)| (*server, cold.until))
    }

    /// Removes what is known of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Removes servers that are warm, and returns them.
    pub fn remove_warm(&mut self, now: ClockTime) -> Vec<ServerId> {
        let warm = self.servers.iter().filter(|(_, cold)| cold.end() <= now);
        let warm: Vec<ServerId> = warm.map(|(server, _)| *server).collect();
        self.servers.retain(|_, cold| now < cold.end());
        warm
    }
}
