//! Admission bound of a server: a multiple of the mean load of its pool.

use catkin_base::{ClockTime, copy_type};

use crate::load::PoolLoad;

/// Margin below the reported load of a pool, in standard deviations of the change since it was
/// counted.
const MARGIN_DEVIATIONS: f64 = 5.0;
/// Maximum margin as a fraction of the load. A larger one could lower the bound to the mean, and
/// the load could not rise any more.
const MAX_MARGIN_FRACTION: f64 = 0.12;
/// Load totals older than this are not used, in milliseconds.
const MAX_TOTAL_AGE_MILLIS: u64 = 20_000;

copy_type! {
    /// Total load of a pool, as last received by the owner of one of its servers.
    pub(crate) struct PoolTotal {
        pub(crate) open: u32,
        pub(crate) weight: u32,
        /// Mean time at which the loads of the servers were counted.
        pub(crate) counted_at: ClockTime,
    }
}

impl PoolTotal {
    pub(crate) fn from_load(now: ClockTime, load: &PoolLoad) -> Self {
        let counted_at = ClockTime(now.0.saturating_sub(u64::from(load.age_millis) * 1000));
        Self { open: load.open, weight: load.weight.max(1), counted_at }
    }

    /// Returns the maximum number of open requests on a server of `weight` now, at least one.
    ///
    /// Every open request ends at a rate of one per `service_micros`, and about as many requests
    /// start as end, so that the total follows a random walk after it was counted. The bound uses
    /// the lower end of the range that the walk is likely to have reached: a mean that is too low
    /// is safe, one that is too high is not.
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
    /// Parameters of the bound other than the load.
    pub(crate) struct BoundRules {
        /// Maximum load of a server relative to the mean, in percent.
        pub(crate) percent: u32,
        /// Mean time that a request occupies a server, in microseconds.
        pub(crate) service_micros: u64,
    }
}

/// Returns the maximum number of open requests on a server of `weight`, at least one.
///
/// `open` requests are open in the pool, whose servers have the total weight `pool_weight`. The
/// result is `ceil(bound_percent / 100 * open / pool_weight * weight)`.
pub fn admission_bound(open: u32, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    compute_bound(u64::from(open) * 1000, pool_weight, weight, bound_percent)
}

fn compute_bound(open_permille: u64, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    let numerator = open_permille * u64::from(bound_percent) * u64::from(weight.max(1));
    let denominator = 1000 * 100 * u64::from(pool_weight.max(1));
    (numerator.div_ceil(denominator) as u32).max(1)
}
