//! Jittered exponential back-off.

use rand::Rng;

/// Delays between tries, doubled at each failure and drawn at random below that ceiling, so that
/// many clients of one failed service do not return at the same moment.
#[derive(Debug, Clone)]
pub struct BackoffPlan {
    first_millis: u64,
    limit_millis: u64,
    failures: u32,
}

impl BackoffPlan {
    /// A plan whose ceiling starts at `first_millis` and doubles up to `limit_millis`.
    pub fn new(first_millis: u64, limit_millis: u64) -> Self {
        let first_millis = first_millis.max(1);
        Self { first_millis, limit_millis: limit_millis.max(first_millis), failures: 0 }
    }

    /// The delay before the next try, in milliseconds: between half the ceiling and the ceiling.
    pub fn next_delay(&mut self, random: &mut impl Rng) -> u64 {
        let factor = 1u64.checked_shl(self.failures.min(32)).unwrap_or(u64::MAX);
        let ceiling = self.first_millis.saturating_mul(factor).min(self.limit_millis);
        self.failures = self.failures.saturating_add(1);
        random.random_range(ceiling.div_ceil(2)..=ceiling)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
