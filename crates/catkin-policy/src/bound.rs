//! The admission bound: a multiple of the mean load of a pool.

use catkin_base::{ClockTime, copy_type};

use crate::load::PoolLoad;

/// Share of a sum assumed to have ended for each second of its age, in thousandths.
const DECAY_PERMILLE_PER_SECOND: u64 = 30;
/// Sums older than this are not used, in milliseconds.
const SUM_LIFE_MILLIS: u64 = 20_000;

copy_type! {
    /// Sum of a pool's load, as the owner of one of its servers knows it.
    pub(crate) struct PoolSum {
        pub(crate) open: u32,
        pub(crate) weight: u32,
        /// Mean time at which the loads in it were counted.
        pub(crate) counted: ClockTime,
    }
}

impl PoolSum {
    pub(crate) fn from_load(now: ClockTime, load: &PoolLoad) -> Self {
        let counted = ClockTime(now.0.saturating_sub(u64::from(load.age_millis) * 1000));
        Self { open: load.open, weight: load.weight.max(1), counted }
    }

    /// Most requests that a server of `weight` may carry now, never below one.
    pub(crate) fn bound(&self, now: ClockTime, weight: u32, bound_percent: u32) -> u32 {
        let age_millis = now.millis_since(self.counted);
        if age_millis > SUM_LIFE_MILLIS {
            return 1;
        }
        let lost = (age_millis * DECAY_PERMILLE_PER_SECOND / 1000).min(1000);
        let open_permille = u64::from(self.open) * (1000 - lost);
        bound_of(open_permille, self.weight, weight, bound_percent)
    }
}

/// Most requests that a server of `weight` may carry when `open` requests are open on servers with
/// `pool_weight` together: `ceil(bound * mean * weight)`, and at least one.
pub fn admission_bound(open: u32, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    bound_of(u64::from(open) * 1000, pool_weight, weight, bound_percent)
}

fn bound_of(open_permille: u64, pool_weight: u32, weight: u32, bound_percent: u32) -> u32 {
    let share = open_permille * u64::from(bound_percent) * u64::from(weight.max(1));
    let whole = 1000 * 100 * u64::from(pool_weight.max(1));
    (share.div_ceil(whole) as u32).max(1)
}
