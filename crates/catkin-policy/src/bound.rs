//! The admission bound: a multiple of the mean load of a pool.

use catkin_base::{ClockTime, copy_type};

use crate::load::PoolLoad;

/// Width of the margin below a sum, in standard deviations of its change since it was counted.
const MARGIN_DEVIATIONS: f64 = 5.0;
/// Most of a sum that the margin takes, so that the bound stays above the mean and load can rise.
const MAX_MARGIN_FRACTION: f64 = 0.12;
/// Sums older than this are not used, in milliseconds.
const MAX_TOTAL_AGE_MILLIS: u64 = 20_000;

copy_type! {
    /// Sum of a pool's load, as the owner of one of its servers knows it.
    pub(crate) struct PoolTotal {
        pub(crate) open: u32,
        pub(crate) weight: u32,
        /// Mean time at which the loads in it were counted.
        pub(crate) counted_at: ClockTime,
    }
}

impl PoolTotal {
    pub(crate) fn from_load(now: ClockTime, load: &PoolLoad) -> Self {
        let counted_at = ClockTime(now.0.saturating_sub(u64::from(load.age_millis) * 1000));
        Self { open: load.open, weight: load.weight.max(1), counted_at }
    }

    /// Most requests that a server of `weight` may carry now, never below one.
    ///
    /// Requests end at a rate of one over `service_micros` each, and about as many start, so the
    /// sum drifts by a random walk. The bound uses the lower end of that drift: a mean that is too
    /// low is safe, one that is too high is not.
    pub(crate) fn bound(&self, now: ClockTime, weight: u32, rules: BoundRules) -> u32 {
        let age = now.since(self.counted_at).as_micros() as u64;
        if age > MAX_TOTAL_AGE_MILLIS * 1000 {
            return 1;
        }
        let open = f64::from(self.open);
        let ended = open * age as f64 / rules.service_micros.max(1) as f64;
        let margin = MARGIN_DEVIATIONS * (2.0 * ended).sqrt();
        let min_open = open - margin.min(open * MAX_MARGIN_FRACTION);
        compute_bound((min_open * 1000.0) as u64, self.weight, weight, rules.percent)
    }
}

copy_type! {
    /// What the bound follows besides the load.
    pub(crate) struct BoundRules {
        /// Most load relative to the mean, in percent.
        pub(crate) percent: u32,
        /// Mean time that a request occupies a server, in microseconds.
        pub(crate) service_micros: u64,
    }
}

/// Most requests that a server of `weight` may carry when `open` requests are open on servers with
/// `pool_weight` together: `ceil(bound * mean * weight)`, and at least one.
pub fn admission_bound(open: u32, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    compute_bound(u64::from(open) * 1000, pool_weight, weight, bound_percent)
}

fn compute_bound(open_permille: u64, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    let numerator = open_permille * u64::from(bound_percent) * u64::from(weight.max(1));
    let denominator = 1000 * 100 * u64::from(pool_weight.max(1));
    (numerator.div_ceil(denominator) as u32).max(1)
}
