//! Keeps the rate of requests that a server takes from all routers together.
//!
//! A server that names a limit does so towards the router whose request it answers. Each router gives
//! itself a share of the limit, in proportion to its part of the requests for the service. Its credit
//! for the server grows at that rate, and each request spends one. What all routers sent lately, as
//! far as they reported it, bounds the sum; while that is well below the limit, credits grow faster.
//!
//! Reports take a moment, in which a sudden crowd of requests could spend the unused credits of all
//! routers. So only as many idle routers hold one as the limit leaves room for.
//!
//! A limit holds until a later answer names another one or none. A server that allows hardly anything
//! gets a request now and then all the same, or it could never say that its limit is over.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use catkin_base::{ClockTime, ServerId, copy_type, hash_parts};

/// Time constant with which requests sent to a server lose their weight, in seconds.
const SEND_WEIGHT_SECONDS: f64 = 1.5;
/// Requests that all routers may have sent lately beyond what the limit allows on average.
const SENDS_SLACK: f64 = 1.5;
/// Requests per second that all routers together send to a server at least, however low its limit.
const MIN_RATE_PER_SECOND: f64 = 0.25;
/// Time for which credit beyond one request accumulates, in seconds. A router without it would lose
/// what grows until its next request comes.
const CREDIT_SECONDS: f64 = 0.5;
/// Part of a limit below which it counts as hardly used, so that credits grow faster.
const USED_PART: f64 = 0.8;
/// Time until a request shows in the reports of the other routers, in seconds.
const REPORT_SECONDS: f64 = 0.3;
/// Requests that routers may send before they know of one another's: some, and those that the limit
/// allows in part of a second.
const CROWD_REQUESTS: f64 = 2.5;
const CROWD_SECONDS: f64 = 0.2;
/// Requests that may come at once after a time with few.
const MIN_CROWD: f64 = 8.0;
/// Time after which a router without a request for a server's service counts as idle, in seconds.
const IDLE_SECONDS: f64 = 1.5;
/// Part of the highest rate of requests for a service below which a crowd may come at once.
const QUIET_PART: f64 = 0.75;
/// Longest time for which credit grows faster at once, in seconds.
const FAST_SECONDS: f64 = 0.1;
/// Time constant with which the highest rate of requests for the service is forgotten, in seconds.
const PEAK_SECONDS: f64 = 30.0;
/// Part of a limit that is shared equally, so that a router without requests so far has a share.
const EQUAL_PART: f64 = 0.1;
/// Time for which the end of a limit, or the limit of a server that is not listed, is remembered, in
/// milliseconds. Reports of a limit may arrive after its end, and before its server is listed.
const END_MILLIS: u64 = 10_000;

copy_type! {
    /// A rate of requests.
    pub struct RequestRate {
        /// Requests in a thousand seconds.
        pub per_thousand_seconds: u32,
    }
}

impl RequestRate {
    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_thousand_seconds) / 1_000.0
    }
}

copy_type! {
    /// What a server said of its limit.
    pub struct LimitStatement {
        /// The server.
        pub server: ServerId,
        /// Requests that it takes from all routers together; `None` if it names no limit.
        pub rate: Option<RequestRate>,
        /// When it said so.
        pub stated: ClockTime,
    }
}

/// What a router may use of the limits of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Part of each limit that is this router's, from 0 to 1.
    pub fraction: f64,
    /// Requests that the other routers sent to the server lately, as reported, each weighted by its
    /// age.
    pub other_sends: f64,
    /// Requests per second for the service at all routers, as reported.
    pub service_rate: f64,
}

/// Computes the part of the limits of a service that is a router's own. `own` and `others` are the
/// recent requests for the service at this router and, as reported, at the other ones. `heard` routers
/// of `known` ones, this one included, report; the silent ones count like these.
pub fn compute_fraction(own: f64, others: f64, heard: u32, known: u32) -> f64 {
    let known = f64::from(known.max(heard).max(1));
    let total = (own + others) * known / f64::from(heard.max(1));
    let by_requests = if total > 0.0 { own / total } else { 1.0 / known };
    by_requests * (1.0 - EQUAL_PART) + EQUAL_PART / known
}

#[derive(Debug, Clone, Copy)]
struct ServerLimit {
    rate: Option<RequestRate>,
    stated: ClockTime,
    /// Requests that this router may send at once.
    credit: f64,
    /// Credit of this router at first, from 0 to 1 and spread evenly over the routers.
    first_credit: f64,
    /// Requests that this router sent, each weighted by its age.
    sends: f64,
    /// Highest rate of requests for the service lately, in requests per second.
    peak_rate: f64,
    /// Time to which all these refer.
    updated: ClockTime,
}

impl ServerLimit {
    /// Rate at which all routers together may send.
    fn fleet_rate(&self) -> Option<f64> {
        self.rate.map(|rate| rate.per_second().max(MIN_RATE_PER_SECOND))
    }

    /// Advances credit and sends to `now`.
    fn advance(&mut self, now: ClockTime, share: LimitShare) {
        let seconds = now.millis_since(self.updated) as f64 / 1_000.0;
        self.updated = self.updated.max(now);
        self.sends *= (-seconds / SEND_WEIGHT_SECONDS).exp();
        self.peak_rate = (self.peak_rate * (-seconds / PEAK_SECONDS).exp()).max(share.service_rate);
        let Some(rate) = self.fleet_rate() else { return };
        let own_rate = rate * share.fraction;
        let may_crowd = self.peak_rate * REPORT_SECONDS > crowd_room(rate)
            && share.service_rate < self.peak_rate * QUIET_PART;
        if may_crowd && seconds > IDLE_SECONDS {
            let holds_credit = self.first_credit * self.crowd() < crowd_room(rate);
            let most = if holds_credit { 1.0 } else { self.first_credit };
            self.credit = (self.credit + own_rate * seconds).min(most);
            return;
        }
        let grown = own_rate * seconds + self.fast_rate(rate, share) * seconds.min(FAST_SECONDS);
        self.credit = (self.credit + grown).min(1.0 + own_rate * CREDIT_SECONDS);
    }

    /// Requests that may come before the routers know of one another's.
    fn crowd(&self) -> f64 {
        (self.peak_rate * REPORT_SECONDS).max(MIN_CROWD)
    }

    /// Rate at which the credit of a router grows in addition to its share, while the limit is hardly
    /// used. All routers with requests together then get the room that the limit leaves.
    fn fast_rate(&self, rate: f64, share: LimitShare) -> f64 {
        if self.sends + share.other_sends > rate * SEND_WEIGHT_SECONDS * USED_PART {
            return 0.0;
        }
        crowd_room(rate) / self.crowd() / REPORT_SECONDS
    }

    /// Time until a request may be sent, in seconds.
    fn wait_seconds(&self, share: LimitShare) -> f64 {
        let Some(rate) = self.fleet_rate() else { return 0.0 };
        let lacking = (1.0 - self.credit).max(0.0);
        let growth = rate * share.fraction + self.fast_rate(rate, share);
        let until_credit = lacking / growth.max(f64::MIN_POSITIVE);
        let most = rate * SEND_WEIGHT_SECONDS + SENDS_SLACK - 1.0;
        let sends = self.sends + share.other_sends;
        let until_decayed = (sends / most).ln().max(0.0) * SEND_WEIGHT_SECONDS;
        until_credit.max(until_decayed)
    }
}

/// Requests that routers may send at a server that allows `rate` before they know of one another's.
fn crowd_room(rate: f64) -> f64 {
    CROWD_REQUESTS + rate * CROWD_SECONDS
}

/// The limits that servers name, and this router's use of them.
#[derive(Debug, Clone)]
pub struct LimitTable {
    /// Number of this router, which differs from those of the others.
    seed: u64,
    limits: BTreeMap<ServerId, ServerLimit>,
}

impl LimitTable {
    /// Creates the table of the router with this number. The numbers spread the first requests of the
    /// routers over time.
    pub fn new(seed: u64) -> Self {
        Self { seed, limits: BTreeMap::new() }
    }

    /// Records what a server said, here or, as reported, to another router; returns whether it is new.
    /// A statement that is older than the latest one is ignored.
    pub fn record_statement(&mut self, now: ClockTime, statement: LimitStatement) -> bool {
        let LimitStatement { server, rate, stated } = statement;
        let first_credit = self.first_credit(server);
        let limit = match self.limits.entry(server) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(_) if rate.is_none() => return false,
            Entry::Vacant(entry) => entry.insert(ServerLimit {
                rate: None,
                stated,
                credit: first_credit,
                first_credit,
                sends: 0.0,
                peak_rate: 0.0,
                updated: now,
            }),
        };
        if stated < limit.stated {
            return false;
        }
        limit.stated = stated;
        let before = std::mem::replace(&mut limit.rate, rate);
        if before.is_none() && rate.is_some() {
            limit.updated = now;
            limit.credit = first_credit;
        }
        before != rate
    }

    /// Credit of this router at first.
    fn first_credit(&self, server: ServerId) -> f64 {
        let hash = hash_parts(&[&self.seed.to_le_bytes(), &server.0.to_le_bytes()]);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The limit that a server names now.
    pub fn rate(&self, server: ServerId) -> Option<RequestRate> {
        self.limits.get(&server).and_then(|limit| limit.rate)
    }

    /// Whether no server names a limit or did lately.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Time until this router may send a request to a server, in milliseconds; 0 if it may send one
    /// now.
    pub fn wait_millis(&mut self, now: ClockTime, server: ServerId, share: LimitShare) -> u64 {
        let Some(limit) = self.limits.get_mut(&server) else { return 0 };
        limit.advance(now, share);
        (limit.wait_seconds(share) * 1_000.0).ceil() as u64
    }

    /// Records that this router sends a request to a server.
    pub fn record_send(&mut self, now: ClockTime, server: ServerId, share: LimitShare) {
        if let Some(limit) = self.limits.get_mut(&server) {
            limit.advance(now, share);
            limit.credit -= 1.0;
            limit.sends += 1.0;
        }
    }

    /// Requests that this router sent lately to servers that name a limit, each weighted by its age.
    pub fn recent_sends(&self, now: ClockTime) -> impl Iterator<Item = (ServerId, f64)> {
        let limited = self.limits.iter().filter(|(_, limit)| limit.rate.is_some());
        limited.map(move |(server, limit)| {
            let seconds = now.millis_since(limit.updated) as f64 / 1_000.0;
            (*server, limit.sends * (-seconds / SEND_WEIGHT_SECONDS).exp())
        })
    }

    /// The limits that servers name now, for routers that start.
    pub fn statements(&self) -> impl Iterator<Item = LimitStatement> {
        let limited = self.limits.iter().filter(|(_, limit)| limit.rate.is_some());
        limited.map(|(server, limit)| LimitStatement {
            server: *server,
            rate: limit.rate,
            stated: limit.stated,
        })
    }

    /// Removes what is known of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.limits.remove(&server);
    }

    /// Removes limits that ended long ago, or that were named long ago by servers that are not listed.
    pub fn remove_expired(&mut self, now: ClockTime, is_listed: impl Fn(ServerId) -> bool) {
        self.limits.retain(|server, limit| {
            let counts = limit.rate.is_some() && is_listed(*server);
            counts || now.millis_since(limit.stated) < END_MILLIS
        });
    }
}
