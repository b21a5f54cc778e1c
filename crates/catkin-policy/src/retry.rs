//! Retry budget: limits retries to a percentage of recent requests.

use catkin_base::{ClockTime, copy_type};

/// Length of a bucket of the sliding windows, in milliseconds.
const BUCKET_MILLIS: u64 = 100;
/// Number of buckets over which requests are counted: ten seconds, the current bucket included.
const REQUEST_BUCKETS: usize = 100;
/// Number of buckets over which retries are counted: one second more, since a retry may wait for a
/// server or a connection before it arrives, while a later one arrives at once.
const RETRY_BUCKETS: usize = REQUEST_BUCKETS + 11;
/// Default number of retries allowed in a window in addition to the percentage of requests.
const DEFAULT_EXTRA_RETRIES: u64 = 3;

copy_type! {
    /// Requests and retries that count in a budget.
    pub struct BudgetUsage {
        /// Requests in the window.
        pub requests: u64,
        /// Retries in the window.
        pub retries: u64,
        /// Retries that are allowed in it.
        pub allowed: u64,
    }
}

/// Allows retries in proportion to recent requests, so that retries can't multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    extra_retries: u64,
    buckets: [BudgetBucket; RETRY_BUCKETS],
}

#[derive(Debug, Clone, Copy, Default)]
struct BudgetBucket {
    number: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        let buckets = [BudgetBucket::default(); RETRY_BUCKETS];
        Self { percent, extra_retries: DEFAULT_EXTRA_RETRIES, buckets }
    }

    /// Sets the number of retries allowed in a window in addition to the percentage of requests.
    pub fn set_extra_retries(&mut self, extra_retries: u64) {
        self.extra_retries = extra_retries;
    }

    /// Sets the number of retries allowed per hundred requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a request that is not a retry.
    pub fn record_request(&mut self, now: ClockTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        let BudgetUsage { retries, allowed, .. } = self.usage(now);
        if retries >= allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns what counts in the budget now.
    pub fn usage(&self, now: ClockTime) -> BudgetUsage {
        let current = bucket_number(now);
        let recent = |count: usize| {
            let buckets = self.buckets.iter();
            buckets.filter(move |bucket| bucket.number + count as u64 > current)
        };
        let requests = recent(REQUEST_BUCKETS).map(|bucket| bucket.requests).sum::<u64>();
        let retries = recent(RETRY_BUCKETS).map(|bucket| bucket.retries).sum::<u64>();
        let allowed = self.extra_retries + requests * u64::from(self.percent) / 100;
        BudgetUsage { requests, retries, allowed }
    }

    fn bucket(&mut self, now: ClockTime) -> &mut BudgetBucket {
        let number = bucket_number(now);
        let bucket = &mut self.buckets[number as usize % RETRY_BUCKETS];
        if bucket.number != number {
            *bucket = BudgetBucket { number, ..BudgetBucket::default() };
        }
        bucket
    }
}

fn bucket_number(now: ClockTime) -> u64 {
    now.millis_since(ClockTime::ZERO) / BUCKET_MILLIS
}
