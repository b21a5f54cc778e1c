//! What is measured of one run.

use catkin_base::{ClassId, ClockTime, RefusalReason};
use hdrhistogram::Histogram;

use super::deployment::QUICK;

/// Counters and histograms of one run.
#[derive(Debug)]
pub struct RunMeasures {
    measured_from: ClockTime,
    pub requests: u64,
    pub admissions: u64,
    pub over_bound: u64,
    pub returning: u64,
    pub reused: u64,
    pub refused: u64,
    pub refused_deadline: u64,
    pub starved: u64,
    pub crashed: u64,
    pub doubled: u64,
    pub quick_wait: Histogram<u64>,
    pub long_wait: Histogram<u64>,
    skews: Vec<f64>,
    bound_shares: Vec<f64>,
    pub sent_bytes: Vec<u64>,
}

impl RunMeasures {
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
            crashed: 0,
            doubled: 0,
            quick_wait: wait_histogram(),
            long_wait: wait_histogram(),
            skews: Vec::new(),
            bound_shares: Vec::new(),
            sent_bytes: vec![0; routers],
        }
    }

    /// Whether the warm-up is over.
    pub fn is_measured(&self, now: ClockTime) -> bool {
        now >= self.measured_from
    }

    pub fn note_wait(&mut self, now: ClockTime, class: ClassId, micros: u64) {
        if !self.is_measured(now) {
            return;
        }
        let histogram = if class == QUICK { &mut self.quick_wait } else { &mut self.long_wait };
        histogram.saturating_record(micros.max(1));
    }

    pub fn note_reuse(&mut self, now: ClockTime, reused: bool) {
        if self.is_measured(now) {
            self.returning += 1;
            self.reused += u64::from(reused);
        }
    }

    pub fn note_refusal(&mut self, now: ClockTime, reason: RefusalReason) {
        if self.is_measured(now) {
            self.refused += 1;
            self.refused_deadline += u64::from(reason == RefusalReason::DeadlineUnmet);
        }
    }

    /// Notes the load of the busiest server of a pool against the mean and against the bound.
    pub fn note_skew(&mut self, now: ClockTime, busiest: u32, mean: f64, bound: u32) {
        if self.is_measured(now) && mean > 0.0 {
            self.skews.push(f64::from(busiest) / mean);
            self.bound_shares.push(f64::from(busiest) / f64::from(bound));
        }
    }

    pub fn note_sent(&mut self, now: ClockTime, router: usize, bytes: u64) {
        if self.is_measured(now) {
            self.sent_bytes[router] += bytes;
        }
    }

    pub fn reuse(&self) -> f64 {
        self.reused as f64 / self.returning.max(1) as f64
    }

    pub fn skew_median(&self) -> f64 {
        quantile(&self.skews, 0.5)
    }

    pub fn skew_max(&self) -> f64 {
        quantile(&self.skews, 1.0)
    }

    /// Median, over time, of the busiest server's load relative to the bound of that moment.
    pub fn bound_share_median(&self) -> f64 {
        quantile(&self.bound_shares, 0.5)
    }

    /// Mean and most bytes that a router sent in a second.
    pub fn control_bytes(&self, seconds: f64) -> (f64, f64) {
        let total: u64 = self.sent_bytes.iter().sum();
        let most = self.sent_bytes.iter().copied().max().unwrap_or(0);
        (total as f64 / self.sent_bytes.len().max(1) as f64 / seconds, most as f64 / seconds)
    }

    pub fn quick_p95_millis(&self) -> f64 {
        self.quick_wait.value_at_quantile(0.95) as f64 / 1000.0
    }

    pub fn long_p95_millis(&self) -> f64 {
        self.long_wait.value_at_quantile(0.95) as f64 / 1000.0
    }
}

fn wait_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds of the histogram are valid")
}

fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let place = ((sorted.len().saturating_sub(1)) as f64 * share).round() as usize;
    sorted.get(place).copied().unwrap_or(0.0)
}
