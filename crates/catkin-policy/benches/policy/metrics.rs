//! Measurements of one run.

use catkin_base::{ClassId, ClockTime, RefusalReason};
use hdrhistogram::Histogram;

use super::deployment::QUICK_CLASS;

/// Counters and histograms of one run. Most count only after the warm-up.
#[derive(Debug)]
pub struct RunMetrics {
    measured_from: ClockTime,
    pub requests: u64,
    pub admissions: u64,
    /// Admissions that exceeded the load bound of their server.
    pub over_bound: u64,
    /// Started requests whose chat had a request before.
    pub returning: u64,
    /// Of these, requests whose server had the chat in its cache.
    pub reused: u64,
    pub refused: u64,
    pub refused_deadline: u64,
    /// Requests that were neither started nor refused by their deadline.
    pub starved: u64,
    /// Requests lost in a crash of their server or entry router.
    pub lost: u64,
    /// Second starts of a request.
    pub doubled: u64,
    /// Wait from arrival to start, in microseconds.
    pub quick_wait: Histogram<u64>,
    pub long_wait: Histogram<u64>,
    skews: Vec<f64>,
    bound_ratios: Vec<f64>,
    /// Control traffic that each router sent.
    pub sent_bytes: Vec<u64>,
}

impl RunMetrics {
    /// Creates empty metrics that count from `measured_from`, where the warm-up ends.
    pub fn new(measured_from: ClockTime, routers: usize) -> Self {
        Self {
            measured_from,
            requests: 0,
            admissions: 0,
            over_bound: 0,
            returning: 0,
            reused: 0,
            refused: 0,
            refused_deadline: 0,
            starved: 0,
            lost: 0,
            doubled: 0,
            quick_wait: build_histogram(),
            long_wait: build_histogram(),
            skews: Vec::new(),
            bound_ratios: Vec::new(),
            sent_bytes: vec![0; routers],
        }
    }

    /// Whether the warm-up is over.
    pub fn is_measured(&self, now: ClockTime) -> bool {
        now >= self.measured_from
    }

    /// Records the wait of a request that starts.
    pub fn record_wait(&mut self, now: ClockTime, class: ClassId, micros: u64) {
        if !self.is_measured(now) {
            return;
        }
        let histogram =
            if class == QUICK_CLASS { &mut self.quick_wait } else { &mut self.long_wait };
        histogram.saturating_record(micros.max(1));
    }

    /// Records whether the server of a returning chat had it in its cache.
    pub fn record_reuse(&mut self, now: ClockTime, reused: bool) {
        if self.is_measured(now) {
            self.returning += 1;
            self.reused += u64::from(reused);
        }
    }

    /// Records a refused request.
    pub fn record_refusal(&mut self, now: ClockTime, reason: RefusalReason) {
        if self.is_measured(now) {
            self.refused += 1;
            self.refused_deadline += u64::from(reason == RefusalReason::DeadlineUnmet);
        }
    }

    /// Records the load of the busiest server of a pool relative to the mean and to the bound.
    pub fn record_skew(&mut self, now: ClockTime, busiest: u32, mean: f64, bound: u32) {
        if self.is_measured(now) && mean > 0.0 {
            self.skews.push(f64::from(busiest) / mean);
            self.bound_ratios.push(f64::from(busiest) / f64::from(bound));
        }
    }

    /// Records control traffic of a router.
    pub fn record_sent(&mut self, now: ClockTime, router: usize, bytes: u64) {
        if self.is_measured(now) {
            self.sent_bytes[router] += bytes;
        }
    }

    /// Fraction of the requests of returning chats that found their chat in the cache.
    pub fn reuse(&self) -> f64 {
        self.reused as f64 / self.returning.max(1) as f64
    }

    /// Median, over time, of the busiest server's load relative to the mean.
    pub fn skew_median(&self) -> f64 {
        compute_quantile(&self.skews, 0.5)
    }

    /// Maximum, over time, of the busiest server's load relative to the mean.
    pub fn skew_max(&self) -> f64 {
        compute_quantile(&self.skews, 1.0)
    }

    /// Median, over time, of the busiest server's load relative to the load bound at that time.
    pub fn bound_ratio_median(&self) -> f64 {
        compute_quantile(&self.bound_ratios, 0.5)
    }

    /// Bytes per second that a router sent: the mean over routers, and the maximum.
    pub fn control_bytes(&self, seconds: f64) -> (f64, f64) {
        let total: u64 = self.sent_bytes.iter().sum();
        let max = self.sent_bytes.iter().copied().max().unwrap_or(0);
        (total as f64 / self.sent_bytes.len().max(1) as f64 / seconds, max as f64 / seconds)
    }

    /// 95th percentile of the wait of quick requests.
    pub fn quick_p95_millis(&self) -> f64 {
        self.quick_wait.value_at_quantile(0.95) as f64 / 1000.0
    }

    /// 95th percentile of the wait of long requests.
    pub fn long_p95_millis(&self) -> f64 {
        self.long_wait.value_at_quantile(0.95) as f64 / 1000.0
    }
}

fn build_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds of the histogram are valid")
}

fn compute_quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len().saturating_sub(1)) as f64 * fraction).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
