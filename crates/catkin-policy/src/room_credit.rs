//! Gives each router room of its own at the servers of a service that is short of it.
//!
//! Answers the load of many routers before a few servers whose work takes less time than a report: all
//! see the same free slots, fill them at the same moment, and servers decline what comes too much. While
//! room is short, each router sends at a rate of its own instead: its part of the demand, of a rate that
//! follows from what may be open and from how long answers take. Declines lower the rate and answers
//! raise it, so that few are declined and the room is used whatever the servers' queues hold.

use catkin_base::{ClockTime, hash_parts};

/// Part of the answers that are declines, at which the rate stays as it is.
const DECLINED_PART: f64 = 0.02;
/// By how much a decline lowers the logarithm of the factor.
const FACTOR_STEP: f64 = 0.2;
/// Limits of the factor, and its value at first: servers queue some requests.
const FACTOR_RANGE: (f64, f64) = (0.4, 2.0);
const FIRST_FACTOR: f64 = 1.4;
/// Time after room became short in which declines don't lower the factor, in milliseconds: they are of
/// requests that were sent before.
const SETTLE_MILLIS: u64 = 200;
/// Time constant with which requests here lose their weight, in seconds. It is short, so that a rush is
/// known before reports show it.
const RECENT_SECONDS: f64 = 1.0;
/// Time constant with which the least time of an answer is forgotten, in seconds.
const LEAST_SECONDS: f64 = 60.0;
/// Time after a decline for which room counts as short, in milliseconds.
const SHORT_MILLIS: u64 = 1_000;
/// Part of the rate above which the demand makes room short.
const SHORT_PART: f64 = 0.85;
/// Requests that a router may send at once while room is short, and while it is not.
const MAX_CREDIT: f64 = 4.5;
/// Time for which credit beyond that accumulates, in seconds.
const CREDIT_SECONDS: f64 = 0.02;
/// Time whose credit a request leaves besides whole ones, if it leaves any, in seconds.
const RESERVE_SECONDS: f64 = 0.01;
const CALM_CREDIT: f64 = 1.0;

/// What is known of a service's room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomInput {
    /// Requests that all servers run at once.
    pub slots: f64,
    /// Learned time of an answer, in milliseconds.
    pub answer_millis: f64,
    /// Part of the demand that is this router's, from 0 to 1.
    pub fraction: f64,
    /// Requests per second for the service at all routers.
    pub demand_rate: f64,
    /// Whether the loads that a router knows are older than a request takes, so that it needs credit.
    pub needs_credit: bool,
}

/// The room of one service that is this router's.
#[derive(Debug, Clone)]
pub struct RoomCredit {
    /// Logarithm of the factor.
    log_factor: f64,
    credit: f64,
    updated: ClockTime,
    short_until: ClockTime,
    /// Since when credit has been needed without a break; `None` if it isn't.
    needed_since: Option<ClockTime>,
    /// Requests of callers here, each weighted by its age, and the time to which that refers.
    recent: f64,
    recent_at: ClockTime,
    /// Least time of an answer lately, in milliseconds: without a wait at the server.
    least_millis: f64,
}

impl RoomCredit {
    /// Creates the credit of the router with this number. The numbers spread the first requests of the
    /// routers over time.
    pub fn new(seed: u64) -> Self {
        let first = (hash_parts(&[&seed.to_le_bytes()]) >> 32) as f64 / f64::from(u32::MAX);
        Self {
            log_factor: FIRST_FACTOR.ln(),
            credit: first,
            updated: ClockTime::ZERO,
            short_until: ClockTime::ZERO,
            needed_since: None,
            recent: 0.0,
            recent_at: ClockTime::ZERO,
            least_millis: f64::INFINITY,
        }
    }

    /// Rate at which all routers together may send, in requests per second.
    pub fn fleet_rate(&self, input: RoomInput) -> f64 {
        input.slots * 1_000.0 / input.answer_millis.max(1.0) * self.log_factor.exp()
    }

    /// Rate at which all servers work, in requests per second. Below the rate at which routers may send while
    /// the servers' queues are short.
    pub fn work_rate(&self, input: RoomInput) -> f64 {
        input.slots * 1_000.0 / self.least_millis.min(input.answer_millis).max(1.0)
    }

    /// Rate at which this router may send, in requests per second.
    pub fn own_rate(&self, input: RoomInput) -> f64 {
        self.fleet_rate(input) * input.fraction
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: ClockTime) {
        self.recent = self.recent_requests(now) + 1.0;
        self.recent_at = self.recent_at.max(now);
    }

    fn recent_requests(&self, now: ClockTime) -> f64 {
        self.recent * (-now.since(self.recent_at).as_secs_f64() / RECENT_SECONDS).exp()
    }

    /// Rate of requests at all routers, if those here are as large a part of them as they were.
    pub fn current_demand_rate(&self, now: ClockTime, input: RoomInput) -> f64 {
        self.recent_requests(now) / RECENT_SECONDS / input.fraction.max(f64::MIN_POSITIVE)
    }

    /// Whether the service is short of room.
    pub fn is_short(&self, now: ClockTime, input: RoomInput) -> bool {
        if now < self.short_until {
            return true;
        }
        let recent = self.recent_requests(now);
        // By chance there are more requests than the mean, by about the root of their number.
        let certain = (recent - recent.sqrt()).max(0.0) / recent.max(1.0);
        let rate = input.demand_rate.max(self.current_demand_rate(now, input) * certain);
        rate > self.work_rate(input) * SHORT_PART
    }

    /// Records that no server had room.
    pub fn record_full(&mut self, now: ClockTime) {
        self.short_until = now.plus_millis(SHORT_MILLIS);
    }

    /// Records that a server answered a request or declined it.
    pub fn record_answer(&mut self, now: ClockTime, is_declined: bool) {
        if is_declined {
            self.record_full(now);
        }
        let Some(since) = self.needed_since else { return };
        if is_declined && now.millis_since(since) < SETTLE_MILLIS {
            return;
        }
        let (least, greatest) = FACTOR_RANGE;
        let step = if is_declined { DECLINED_PART - 1.0 } else { DECLINED_PART };
        self.log_factor = (self.log_factor + step * FACTOR_STEP).clamp(least.ln(), greatest.ln());
    }

    /// Records that this router sends a request.
    pub fn record_send(&mut self, now: ClockTime, input: RoomInput) {
        self.advance(now, input);
        self.credit = (self.credit - 1.0).max(-1.0);
    }

    /// Time until a request may be sent that leaves credit for `reserve` requests, and for those of a moment,
    /// in milliseconds; 0 if it may be sent now.
    pub fn wait_millis(&mut self, now: ClockTime, input: RoomInput, reserve: f64) -> u64 {
        self.advance(now, input);
        if self.needed_since.is_none() {
            return 0;
        }
        let rate = self.own_rate(input);
        let kept = reserve + reserve.min(1.0) * rate * RESERVE_SECONDS;
        let lacking = (1.0 + kept - self.credit).max(0.0);
        (lacking * 1_000.0 / rate.max(f64::MIN_POSITIVE)).ceil() as u64
    }

    fn advance(&mut self, now: ClockTime, input: RoomInput) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let forgotten = self.least_millis * (seconds / LEAST_SECONDS).exp();
        self.least_millis = forgotten.min(input.answer_millis);
        let rate = self.own_rate(input);
        let is_needed = input.needs_credit && self.is_short(now, input);
        self.needed_since = is_needed.then(|| self.needed_since.unwrap_or(now));
        let most = if is_needed { MAX_CREDIT + rate * CREDIT_SECONDS } else { CALM_CREDIT };
        self.credit = (self.credit + rate * seconds).min(most);
    }
}
