//! Rate limit of calls.

use tokio::time::Instant;

/// Token bucket that is refilled with `per_second` tokens per second and holds as many.
pub(crate) struct CallRate {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl CallRate {
    /// Creates a full bucket.
    pub(crate) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    /// Takes `count` tokens if the bucket has them; returns whether it did.
    pub(crate) fn take(&mut self, count: f64) -> bool {
        self.refill(Instant::now());
        if self.tokens < count {
            return false;
        }
        self.tokens -= count;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.refilled_at = now;
    }
}
