//! Exponential backoff with jitter.

use rand::Rng;

/// Computes the delays between the attempts of one client.
///
/// The ceiling doubles after each failure. Each delay is drawn at random from the upper half of
/// the ceiling, so that the clients of a failed service do not all retry at the same moment.
#[derive(Debug, Clone)]
pub struct BackoffPlan {
    first_millis: u64,
    limit_millis: u64,
    failures: u32,
}

impl BackoffPlan {
    /// Creates a plan whose ceiling starts at `first_millis` and doubles up to `limit_millis`.
    pub fn new(first_millis: u64, limit_millis: u64) -> Self {
        let first_millis = first_millis.max(1);
        Self { first_millis, limit_millis: limit_millis.max(first_millis), failures: 0 }
    }

    /// Returns the delay before the next attempt, in milliseconds, and counts a failure. The delay
    /// lies between half the ceiling and the ceiling.
    pub fn next_delay(&mut self, random: &mut impl Rng) -> u64 {
        let factor = 1u64.checked_shl(self.failures.min(32)).unwrap_or(u64::MAX);
        let ceiling = self.first_millis.saturating_mul(factor).min(self.limit_millis);
        self.failures = self.failures.saturating_add(1);
        random.random_range(ceiling.div_ceil(2)..=ceiling)
    }

    /// Returns to the first ceiling after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
