//! A limit on the rate of calls.

use tokio::time::Instant;

/// Token bucket: `per_second` calls a second, with bursts of one second's worth.
pub(crate) struct CallRate {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl CallRate {
    /// A full bucket.
    pub(crate) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, tokens: per_second, filled_at: Instant::now() }
    }

    /// Takes `count` tokens if they are there.
    pub(crate) fn take(&mut self, count: f64) -> bool {
        self.fill(Instant::now());
        if self.tokens < count {
            return false;
        }
        self.tokens -= count;
        true
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.per_second);
        self.filled_at = now;
    }
}
