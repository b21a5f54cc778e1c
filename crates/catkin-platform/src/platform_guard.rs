//! Decides when a router may call the platform: a call budget, and a back-off after failures.

use std::time::Duration;

use catkin_base::{ClockTime, copy_type};
use rand::Rng;

copy_type! {
    /// Bounds on a router's calls to the platform.
    pub struct GuardLimits {
        /// Writes that the router may send a second.
        pub writes_per_second: u32,
        /// Reads, lists and watches that it may send a second.
        pub reads_per_second: u32,
        /// Seconds of unused budget that it may save up.
        pub burst_seconds: u32,
        /// Calls that it may save up at least, so that a claim is not cut short where the share
        /// of one router is small.
        pub min_burst: u32,
        /// Failures in a row after which it backs off.
        pub failures_to_open: u32,
        /// Longest first back-off.
        pub first_backoff: Duration,
        /// Longest back-off.
        pub max_backoff: Duration,
        /// Time over which the budget grows back after a back-off.
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
    /// Calls that the platform handles a second, for the whole fleet.
    pub struct PlatformRates {
        /// Writes.
        pub writes_per_second: u32,
        /// Reads, lists and watches.
        pub reads_per_second: u32,
    }
}

impl Default for PlatformRates {
    fn default() -> Self {
        Self { writes_per_second: 400, reads_per_second: 2000 }
    }
}

impl GuardLimits {
    /// These limits with the budget of one of `routers` routers that share the platform.
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
    /// Why a call is held back.
    pub enum HoldReason {
        /// The router backs off until this time.
        BackingOff(ClockTime),
        /// The router probes the platform with one call.
        Probing,
        /// The budget is spent.
        OverBudget,
    }
}

copy_type! {
    /// What the router knows of the platform's health.
    pub enum PlatformHealth {
        /// Calls succeed.
        Up,
        /// Calls fail, and the router backs off.
        Down,
        /// One call is under way to see whether the platform is back.
        Probing,
    }
}

/// Token bucket of one kind of call.
struct CallBudget {
    per_second: f64,
    most: f64,
    tokens: f64,
    filled_at: ClockTime,
}

impl CallBudget {
    fn new(per_second: u32, limits: GuardLimits) -> Self {
        let most =
            f64::from(per_second.saturating_mul(limits.burst_seconds).max(limits.min_burst).max(1));
        Self { per_second: f64::from(per_second), most, tokens: most, filled_at: ClockTime::ZERO }
    }

    /// Changes the rate and keeps what was saved up, as far as the new bound allows.
    fn resize(&mut self, per_second: u32, limits: GuardLimits) {
        let resized = Self::new(per_second, limits);
        self.tokens = self.tokens.min(resized.most);
        self.most = resized.most;
        self.per_second = resized.per_second;
    }

    fn take(&mut self, now: ClockTime, share: f64) -> bool {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second * share).min(self.most);
        self.filled_at = self.filled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn drain(&mut self) {
        self.tokens = 1.0;
    }
}

enum GuardState {
    Closed,
    Open { until: ClockTime },
    Probing { since: ClockTime },
}

/// Guards the platform against one router, and the router against waiting for a platform
/// that is down.
///
/// A router that backs off sends one probe after a delay drawn evenly between zero and a bound
/// that doubles. After a probe that succeeds its budget starts at one call and grows back
/// linearly over the recovery time, so that a fleet does not return all at once.
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
    /// A guard for a platform that is taken to be up.
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

    /// Changes the limits, for a fleet that has grown or shrunk.
    pub fn set_limits(&mut self, limits: GuardLimits) {
        self.reads.resize(limits.reads_per_second, limits);
        self.writes.resize(limits.writes_per_second, limits);
        self.limits = limits;
    }

    /// Whether a call may be sent now.
    pub fn admit(&mut self, now: ClockTime, is_write: bool) -> Result<(), HoldReason> {
        match self.state {
            GuardState::Open { until } if now < until => Err(HoldReason::BackingOff(until)),
            GuardState::Open { .. } => {
                self.state = GuardState::Probing { since: now };
                Ok(())
            }
            GuardState::Probing { since } => self.admit_while_probing(now, since),
            GuardState::Closed => self.take_budget(now, is_write),
        }
    }

    /// Notes an answer, even a refusal of a condition.
    pub fn record_success(&mut self, now: ClockTime) {
        self.failures = 0;
        self.backoffs = 0;
        if matches!(self.state, GuardState::Closed) {
            return;
        }
        self.state = GuardState::Closed;
        self.recovered_at = Some(now);
        self.reads.drain();
        self.writes.drain();
    }

    /// Notes a call without a usable answer.
    pub fn record_failure<Generator: Rng>(&mut self, now: ClockTime, generator: &mut Generator) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, GuardState::Probing { .. });
        let tripped = matches!(self.state, GuardState::Closed)
            && self.failures >= self.limits.failures_to_open;
        if probing || tripped {
            self.back_off(now, generator);
        }
    }

    /// What is known of the platform's health.
    pub fn health(&self) -> PlatformHealth {
        match self.state {
            GuardState::Closed => PlatformHealth::Up,
            GuardState::Open { .. } => PlatformHealth::Down,
            GuardState::Probing { .. } => PlatformHealth::Probing,
        }
    }

    /// A probe whose caller went away would block all calls: another may follow in its place.
    fn admit_while_probing(&mut self, now: ClockTime, since: ClockTime) -> Result<(), HoldReason> {
        if now.since(since) < self.limits.max_backoff {
            return Err(HoldReason::Probing);
        }
        self.state = GuardState::Probing { since: now };
        Ok(())
    }

    fn take_budget(&mut self, now: ClockTime, is_write: bool) -> Result<(), HoldReason> {
        let share = self.recovered_share(now);
        let budget = if is_write { &mut self.writes } else { &mut self.reads };
        if budget.take(now, share) { Ok(()) } else { Err(HoldReason::OverBudget) }
    }

    /// Share of the budget that has grown back, from 0 to 1.
    fn recovered_share(&self, now: ClockTime) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        let recovery = self.limits.recovery.as_secs_f64();
        if recovery <= 0.0 {
            return 1.0;
        }
        (now.since(recovered_at).as_secs_f64() / recovery).min(1.0)
    }

    fn back_off<Generator: Rng>(&mut self, now: ClockTime, generator: &mut Generator) {
        let doubled = self.limits.first_backoff.saturating_mul(1 << self.backoffs.min(16));
        let bound = doubled.min(self.limits.max_backoff);
        let delay = bound.mul_f64(generator.random::<f64>());
        self.backoffs = self.backoffs.saturating_add(1);
        self.state = GuardState::Open { until: now.plus(delay) };
    }
}
