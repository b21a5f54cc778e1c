//! One router's part of a retry budget that all routers keep together without asking one another.
//!
//! Answers the load of servers that reject most of their requests while traffic peaks, falls or moves from
//! router to router, and while routers start again.
//!
//! The limit is on all routers: the retries that arrive in any ten seconds, against a ratio of the requests
//! that callers sent in these ten seconds or in the ten before, whichever has more, plus a number of extra
//! retries. Each process spends at most half of the credit of both spans. That of the larger one is at least
//! as much, and halves of disjoint requests add up, however they are spread over routers and over processes
//! that follow one another. Credit that depended on a process's own best span would not add up. A share of the
//! extra retries is credited for the time for which the process runs, so that it adds up, too.

use catkin_base::ClockTime;

use crate::retry::BudgetUsage;

/// Length of a bucket, in milliseconds.
const BUCKET_MILLIS: u64 = 100;
/// Length of the window of the limit, in buckets.
const WINDOW_BUCKETS: u64 = 100;
/// Maximum time between the payment for a retry and its arrival, in buckets.
const ARRIVAL_BUCKETS: u64 = 6;
/// Maximum time between the sending of a request and its arrival at the router, in buckets.
const REQUEST_BUCKETS: u64 = 5;
/// Buckets that are kept: two windows.
const BUCKETS: u64 = 2 * WINDOW_BUCKETS;
/// Number of the bucket in which the clock starts, so that there are buckets before it.
const START_BUCKET: u64 = BUCKETS;
/// Credit for one retry.
pub const RETRY_CREDIT: u64 = 1_000_000;

/// Retries that one router may make, in proportion to its requests and to the time for which it runs.
#[derive(Debug, Clone)]
pub struct SharedBudget {
    /// Credit for each request.
    request_credit: u64,
    /// Credit for the extra retries of a window, as last known; `None` until it is known.
    extra_credit: Option<u64>,
    /// The first bucket without extra credit so far.
    uncredited: u64,
    buckets: [CreditBucket; BUCKETS as usize],
}

#[derive(Debug, Clone, Copy, Default)]
struct CreditBucket {
    number: u64,
    request_credit: u64,
    extra_credit: u64,
    requests: u64,
    retries: u64,
}

impl SharedBudget {
    /// Creates a budget with this credit for each request, in units of which [`RETRY_CREDIT`] allow one retry.
    /// `first_start` tells that no process of this router ran before.
    pub fn new(request_credit: u64, first_start: bool) -> Self {
        Self {
            request_credit,
            extra_credit: None,
            uncredited: if first_start { START_BUCKET - BUCKETS } else { START_BUCKET },
            buckets: [CreditBucket::default(); BUCKETS as usize],
        }
    }

    /// Takes back the credit for the time before the start, since another process ran then. Has no effect
    /// on what has been credited since.
    pub fn expect_earlier_process(&mut self) {
        self.uncredited = self.uncredited.max(START_BUCKET);
        let early = self.buckets.iter_mut().filter(|bucket| bucket.number < START_BUCKET);
        early.for_each(|bucket| bucket.extra_credit = 0);
    }

    /// Sets the credit for each request from now on.
    pub fn set_request_credit(&mut self, request_credit: u64) {
        self.request_credit = request_credit;
    }

    /// Credits the extra retries for the time that has passed. `extra_credit` is this router's share of those
    /// of a window. A share that has shrunk since the last call was too large before.
    pub fn accrue(&mut self, now: ClockTime, extra_credit: u64) {
        let current = bucket_number(now);
        let last = self.extra_credit.replace(extra_credit).unwrap_or(extra_credit);
        let credit = last.min(extra_credit) / WINDOW_BUCKETS;
        for number in self.uncredited.max((current + 1).saturating_sub(BUCKETS))..current {
            self.bucket(number).extra_credit = credit;
        }
        self.uncredited = self.uncredited.max(current);
        if extra_credit < last {
            for bucket in &mut self.buckets {
                bucket.extra_credit = bucket.extra_credit.min(credit);
            }
        }
    }

    /// Credits a request that is not a retry.
    pub fn record_request(&mut self, now: ClockTime) {
        let request_credit = self.request_credit;
        let bucket = self.bucket(bucket_number(now));
        bucket.requests += 1;
        bucket.request_credit += request_credit;
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: ClockTime) -> bool {
        let allowed = self.count_allowed(now) > 0;
        if allowed {
            self.bucket(bucket_number(now)).retries += 1;
        }
        allowed
    }

    /// Returns what counts in the budget now: requests and retries of the last ten seconds.
    pub fn usage(&self, now: ClockTime) -> BudgetUsage {
        let current = bucket_number(now);
        let (mut requests, mut retries) = (0, 0);
        for number in current - WINDOW_BUCKETS..=current {
            let bucket = self.read_bucket(number);
            requests += bucket.requests;
            retries += bucket.retries;
        }
        BudgetUsage { requests, retries, allowed: retries + self.count_allowed(now) }
    }

    /// Number of retries allowed now: the least that is left of any window that contains this moment.
    fn count_allowed(&self, now: ClockTime) -> u64 {
        const CREDIT_BUCKETS: u64 = WINDOW_BUCKETS - ARRIVAL_BUCKETS - REQUEST_BUCKETS - 1;
        let current = bucket_number(now);
        let first_credit = |from: u64| from.saturating_sub(CREDIT_BUCKETS);
        let mut credit = 0;
        let mut retries = 0;
        let mut least = u64::MAX;
        let mut credited_from = current + 1;
        for from in (current - WINDOW_BUCKETS - ARRIVAL_BUCKETS..=current).rev() {
            while credited_from > first_credit(from) {
                credited_from -= 1;
                let bucket = self.read_bucket(credited_from);
                credit += bucket.request_credit + bucket.extra_credit;
            }
            retries += self.read_bucket(from).retries;
            least = least.min((credit / 2 / RETRY_CREDIT).saturating_sub(retries));
        }
        least
    }

    fn read_bucket(&self, number: u64) -> CreditBucket {
        let bucket = self.buckets[(number % BUCKETS) as usize];
        if bucket.number == number { bucket } else { CreditBucket::default() }
    }

    fn bucket(&mut self, number: u64) -> &mut CreditBucket {
        let bucket = &mut self.buckets[(number % BUCKETS) as usize];
        if bucket.number != number {
            *bucket = CreditBucket { number, ..CreditBucket::default() };
        }
        bucket
    }
}

fn bucket_number(now: ClockTime) -> u64 {
    START_BUCKET + now.millis_since(ClockTime::ZERO) / BUCKET_MILLIS
}
