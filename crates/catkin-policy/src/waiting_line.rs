//! The requests that wait at one router for room at a service, in the order in which they get it.
//!
//! Answers the load of callers that ask for more than a service has room for: without an order, whoever
//! is woken first goes first, and a less urgent request passes a more urgent one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkin_base::{ClockTime, copy_type};

/// Maximum number of requests that wait for one service at a router.
const MAX_WAITING: usize = 512;
/// One place in this many goes to the request that has waited longest.
const OLDEST_PERIOD: u64 = 64;
/// Time constant with which places given lose their weight, in seconds.
const GRANT_SECONDS: f64 = 2.0;
/// Time with waiting requests, in seconds, and places given, from which on their rate counts as known.
const MIN_BUSY_SECONDS: f64 = 0.2;
const MIN_GRANTS: f64 = 2.0;

copy_type! {
    /// Rank of a request for room; the least goes first. The fields are in the order of their weight.
    pub struct WaitingRank {
        /// Priority of the team; 0 is the highest.
        pub team_priority: u8,
        /// Whether the request is beyond its team's share.
        pub is_surplus: bool,
        /// Priority of the route; 0 is the highest.
        pub route_priority: u8,
        /// Whether the request is new: not declined by a server, nor back after a refusal.
        pub is_new: bool,
        /// Recent use of the team at this router, in factors of two.
        pub use_level: u8,
        /// Latest start at which the answer is still of use.
        pub latest_start: ClockTime,
    }
}

copy_type! {
    /// A request in a line. Tickets rise in the order in which requests come.
    pub struct LineTicket(pub u64);
}

copy_type! {
    /// When room is expected for a request.
    pub struct StartForecast {
        /// Expected time until then.
        pub expected: Duration,
        /// Time until then if room comes sooner by one standard deviation.
        pub earliest: Duration,
    }
}

impl StartForecast {
    /// Predicts the start of the `place`-th request in a line, from 1, that gets room at a rate.
    pub fn new(place: usize, per_second: f64) -> Self {
        let place = place as f64;
        let seconds = |requests: f64| {
            let seconds = requests.max(0.0) / per_second;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        };
        Self { expected: seconds(place), earliest: seconds(place - place.sqrt()) }
    }
}

/// Places given while requests waited, and for how long some did; both lose weight over time.
#[derive(Debug, Clone, Copy, Default)]
struct GrantRate {
    grants: f64,
    busy_seconds: f64,
    updated: ClockTime,
}

impl GrantRate {
    fn advance(&mut self, now: ClockTime, is_busy: bool) {
        let seconds = now.since(self.updated).as_secs_f64();
        let factor = (-seconds / GRANT_SECONDS).exp();
        self.updated = self.updated.max(now);
        if is_busy {
            self.grants *= factor;
            self.busy_seconds = self.busy_seconds * factor + GRANT_SECONDS * (1.0 - factor);
        }
    }
}

/// The waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub struct WaitingLine {
    order: BTreeSet<(WaitingRank, LineTicket)>,
    ranks: BTreeMap<LineTicket, WaitingRank>,
    next_ticket: u64,
    grant_count: u64,
    rate: GrantRate,
}

impl WaitingLine {
    /// Adds a request. If the line is full, the last one in it, which may be this one, leaves it.
    pub fn join(&mut self, now: ClockTime, rank: WaitingRank) -> LineTicket {
        self.rate.advance(now, !self.is_empty());
        let ticket = LineTicket(self.next_ticket);
        self.next_ticket += 1;
        self.order.insert((rank, ticket));
        self.ranks.insert(ticket, rank);
        if self.order.len() > MAX_WAITING
            && let Some((_, last)) = self.order.pop_last()
        {
            self.ranks.remove(&last);
        }
        ticket
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, now: ClockTime, ticket: LineTicket) {
        self.rate.advance(now, !self.is_empty());
        if let Some(rank) = self.ranks.remove(&ticket) {
            self.order.remove(&(rank, ticket));
        }
    }

    /// Removes a request that gets room.
    pub fn record_grant(&mut self, now: ClockTime, ticket: LineTicket) {
        let has_others = self.ranks.len() > 1;
        self.leave(now, ticket);
        self.grant_count += 1;
        if has_others {
            self.rate.grants += 1.0;
        }
    }

    /// The rank of a request that waits.
    pub fn rank(&self, ticket: LineTicket) -> Option<WaitingRank> {
        self.ranks.get(&ticket).copied()
    }

    /// The request that gets the next room.
    pub fn first(&self) -> Option<LineTicket> {
        if self.is_oldest_turn()
            && let Some((oldest, _)) = self.ranks.first_key_value()
        {
            return Some(*oldest);
        }
        self.order.first().map(|(_, ticket)| *ticket)
    }

    /// Whether the next room goes to the request that has waited longest.
    pub fn is_oldest_turn(&self) -> bool {
        (self.grant_count + 1).is_multiple_of(OLDEST_PERIOD)
    }

    /// Number of waiting requests that rank before this one.
    pub fn count_ahead(&self, ticket: LineTicket) -> usize {
        let Some(rank) = self.ranks.get(&ticket) else { return self.order.len() };
        self.order.range(..(*rank, ticket)).count()
    }

    /// Rate at which waiting requests got room lately, in requests per second, if it is known.
    pub fn grant_rate(&mut self, now: ClockTime) -> Option<f64> {
        self.rate.advance(now, !self.is_empty());
        let GrantRate { grants, busy_seconds, .. } = self.rate;
        let is_known = busy_seconds >= MIN_BUSY_SECONDS && grants >= MIN_GRANTS;
        is_known.then(|| grants / busy_seconds)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
