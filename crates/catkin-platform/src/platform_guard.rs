//! Call budget and circuit breaker for a router's calls to the platform.

use std::time::Duration;

use catkin_base::{ClockTime, copy_type};
use rand::Rng;

copy_type! {
    /// Limits of a router's calls to the platform.
    pub struct GuardLimits {
        /// Writes that the router may send per second.
        pub writes_per_second: u32,
        /// Reads, lists and watches that the router may send per second.
        pub reads_per_second: u32,
        /// Unused budget that accumulates, in seconds of the rate.
        pub burst_seconds: u32,
        /// Minimum number of calls that accumulate, so that a claim can make all of its calls even
        /// if the rate of one router is small.
        pub min_burst: u32,
        /// Number of consecutive failures that open the circuit.
        pub failures_to_open: u32,
        /// Upper bound of the first back-off; the bound doubles with each further one.
        pub first_backoff: Duration,
        /// Maximum upper bound of a back-off.
        pub max_backoff: Duration,
        /// Time over which the rate grows back linearly after a back-off.
        pub recovery: Duration,
    }
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self {
            writes_per_second: 50,
            reads_per_second: 50,
            burst_seconds: 2,
            min_burst: 20,
            failures_to_open: 3,
            first_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(10),
            recovery: Duration::from_secs(10),
        }
    }
}

copy_type! {
    /// Calls per second that the platform handles for the whole fleet.
    pub struct PlatformRates {
        /// Writes per second.
        pub writes_per_second: u32,
        /// Reads, lists and watches per second.
        pub reads_per_second: u32,
    }
}

impl Default for PlatformRates {
    fn default() -> Self {
        Self { writes_per_second: 400, reads_per_second: 2000 }
    }
}

impl GuardLimits {
    /// Returns these limits with the rates of one out of `routers` routers.
    pub fn for_fleet(self, routers: u32, rates: PlatformRates) -> Self {
        let routers = routers.max(1);
        Self {
            writes_per_second: (rates.writes_per_second / routers).max(1),
            reads_per_second: (rates.reads_per_second / routers).max(1),
            ..self
        }
    }
}

copy_type! {
    /// Why a call is not sent.
    pub enum BlockReason {
        /// The circuit is open until this time.
        BackingOff(ClockTime),
        /// Another call is probing the platform.
        Probing,
        /// The call budget is exhausted.
        OverBudget,
    }
}

copy_type! {
    /// Health of the platform as observed by this router.
    pub enum PlatformHealth {
        /// Calls succeed.
        Up,
        /// Calls fail and the circuit is open.
        Down,
        /// One call is in progress to check whether the platform has recovered.
        Probing,
    }
}

/// Token bucket for reads or writes.
struct CallBudget {
    per_second: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: ClockTime,
}

impl CallBudget {
    fn new(per_second: u32, limits: GuardLimits) -> Self {
        let capacity =
            f64::from(per_second.saturating_mul(limits.burst_seconds).max(limits.min_burst).max(1));
        Self {
            per_second: f64::from(per_second),
            capacity,
            tokens: capacity,
            refilled_at: ClockTime::ZERO,
        }
    }

    /// Changes the rate and keeps the accumulated tokens up to the new capacity.
    fn resize(&mut self, per_second: u32, limits: GuardLimits) {
        let resized = Self::new(per_second, limits);
        self.tokens = self.tokens.min(resized.capacity);
        self.capacity = resized.capacity;
        self.per_second = resized.per_second;
    }

    fn take_token(&mut self, now: ClockTime, fraction: f64) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second * fraction).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Reduces the tokens to a single call.
    fn reset(&mut self) {
        self.tokens = 1.0;
    }
}

enum GuardState {
    Closed,
    Open { until: ClockTime },
    Probing { since: ClockTime },
}

/// Limits the calls of one router to the platform, and rejects them at once while the platform is
/// down.
///
/// While the circuit is open, the router sends one probe after a delay drawn uniformly between zero
/// and a bound that doubles with each back-off (full jitter). After a successful probe the budget
/// starts at one call, and the rate grows back linearly over the recovery time. This prevents a
/// thundering herd when a whole fleet recovers.
pub struct PlatformGuard {
    limits: GuardLimits,
    reads: CallBudget,
    writes: CallBudget,
    state: GuardState,
    failures: u32,
    backoffs: u32,
    recovered_at: Option<ClockTime>,
}

impl PlatformGuard {
    /// Creates a guard that assumes that the platform is up.
    pub fn new(limits: GuardLimits) -> Self {
        Self {
            limits,
            reads: CallBudget::new(limits.reads_per_second, limits),
            writes: CallBudget::new(limits.writes_per_second, limits),
            state: GuardState::Closed,
            failures: 0,
            backoffs: 0,
            recovered_at: None,
        }
    }

    /// Changes the limits, for example after the fleet has grown or shrunk.
    pub fn set_limits(&mut self, limits: GuardLimits) {
        self.reads.resize(limits.reads_per_second, limits);
        self.writes.resize(limits.writes_per_second, limits);
        self.limits = limits;
    }

    /// Decides whether a call may be sent now, and consumes budget if so.
    pub fn admit(&mut self, now: ClockTime, is_write: bool) -> Result<(), BlockReason> {
        match self.state {
            GuardState::Open { until } if now < until => Err(BlockReason::BackingOff(until)),
            GuardState::Open { .. } => {
                self.state = GuardState::Probing { since: now };
                Ok(())
            }
            GuardState::Probing { since } => self.admit_while_probing(now, since),
            GuardState::Closed => self.take_budget(now, is_write),
        }
    }

    /// Records a usable response, including one that reports a failed precondition.
    pub fn record_success(&mut self, now: ClockTime) {
        self.failures = 0;
        self.backoffs = 0;
        if matches!(self.state, GuardState::Closed) {
            return;
        }
        self.state = GuardState::Closed;
        self.recovered_at = Some(now);
        self.reads.reset();
        self.writes.reset();
    }

    /// Records a call without a usable response.
    pub fn record_failure<Generator: Rng>(&mut self, now: ClockTime, generator: &mut Generator) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, GuardState::Probing { .. });
        let tripped = matches!(self.state, GuardState::Closed)
            && self.failures >= self.limits.failures_to_open;
        if probing || tripped {
            self.back_off(now, generator);
        }
    }

    /// Health of the platform as observed so far.
    pub fn health(&self) -> PlatformHealth {
        match self.state {
            GuardState::Closed => PlatformHealth::Up,
            GuardState::Open { .. } => PlatformHealth::Down,
            GuardState::Probing { .. } => PlatformHealth::Probing,
        }
    }

    /// Admits another probe once the current one has taken longer than the maximum back-off. A
    /// probe whose caller was cancelled would otherwise block all calls.
    fn admit_while_probing(&mut self, now: ClockTime, since: ClockTime) -> Result<(), BlockReason> {
        if now.since(since) < self.limits.max_backoff {
            return Err(BlockReason::Probing);
        }
        self.state = GuardState::Probing { since: now };
        Ok(())
    }

    fn take_budget(&mut self, now: ClockTime, is_write: bool) -> Result<(), BlockReason> {
        let fraction = self.recovered_fraction(now);
        let budget = if is_write { &mut self.writes } else { &mut self.reads };
        if budget.take_token(now, fraction) { Ok(()) } else { Err(BlockReason::OverBudget) }
    }

    /// Fraction of the rate that has grown back, from 0 to 1.
    fn recovered_fraction(&self, now: ClockTime) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        let recovery = self.limits.recovery.as_secs_f64();
        if recovery <= 0.0 {
            return 1.0;
        }
        (now.since(recovered_at).as_secs_f64() / recovery).min(1.0)
    }

    /// Opens the circuit for a random delay.
    fn back_off<Generator: Rng>(&mut self, now: ClockTime, generator: &mut Generator) {
        let doubled = self.limits.first_backoff.saturating_mul(1 << self.backoffs.min(16));
        let bound = doubled.min(self.limits.max_backoff);
        let delay = bound.mul_f64(generator.random::<f64>());
        self.backoffs = self.backoffs.saturating_add(1);
        self.state = GuardState::Open { until: now.plus(delay) };
    }
}
