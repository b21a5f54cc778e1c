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
        /// Failures in a row after which it backs off.
        pub failures_to_open: u32,
        /// Longest first back-off.
        pub first_backoff: Duration,
        /// Longest back-off.
        pub longest_backoff: Duration,
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
            failures_to_open: 3,
            first_backoff: Duration::from_millis(200),
            longest_backoff: Duration::from_secs(10),
            recovery: Duration::from_secs(10),
        }
    }
}

impl GuardLimits {
    /// Limits of one of `routers` routers that share what the platform handles a second.
    pub fn for_fleet(routers: u32, writes_per_second: u32, reads_per_second: u32) -> Self {
        let routers = routers.max(1);
        Self {
            writes_per_second: (writes_per_second / routers).max(1),
            reads_per_second: (reads_per_second / routers).max(1),
            ..Self::default()
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
    fn new(per_second: u32, burst_seconds: u32) -> Self {
        let per_second = f64::from(per_second);
        let most = (per_second * f64::from(burst_seconds)).max(1.0);
        Self { per_second, most, tokens: most, filled_at: ClockTime::ZERO }
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
            reads: CallBudget::new(limits.reads_per_second, limits.burst_seconds),
            writes: CallBudget::new(limits.writes_per_second, limits.burst_seconds),
            state: GuardState::Closed,
            failures: 0,
            backoffs: 0,
            recovered_at: None,
        }
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
    pub fn note_success(&mut self, now: ClockTime) {
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
    pub fn note_failure<Generator: Rng>(&mut self, now: ClockTime, generator: &mut Generator) {
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
        if now.since(since) < self.limits.longest_backoff {
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
        let bound = doubled.min(self.limits.longest_backoff);
        let delay = bound.mul_f64(generator.random::<f64>());
        self.backoffs = self.backoffs.saturating_add(1);
        self.state = GuardState::Open { until: now.plus(delay) };
    }
}
