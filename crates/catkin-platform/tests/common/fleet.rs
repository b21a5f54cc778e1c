//! A fleet's calls to the platform through an outage, without input or output.

use catkin_base::ClockTime;
use catkin_platform::{GuardLimits, PlatformGuard, PlatformHealth, PlatformRates};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Routers of the fleet.
pub const ROUTERS: u32 = 330;

/// Writes that the platform handles a second.
pub const PLATFORM_WRITES: u32 = 400;

/// Reads that the platform handles a second.
pub const PLATFORM_READS: u32 = 2000;

pub const OUTAGE_START_MILLIS: u64 = 10_000;
pub const OUTAGE_END_MILLIS: u64 = 130_000;
const END_MILLIS: u64 = 180_000;
const STEP_MILLIS: u64 = 10;

/// Calls that the platform saw, by second.
pub struct FleetTrace {
    pub calls: Vec<usize>,
    pub healthy_at_end: usize,
}

/// Runs routers that each want a read every 50 ms, through an outage of two minutes.
pub fn run_fleet(seed: u64) -> FleetTrace {
    let mut generator = StdRng::seed_from_u64(seed);
    let rates =
        PlatformRates { writes_per_second: PLATFORM_WRITES, reads_per_second: PLATFORM_READS };
    let limits = GuardLimits::default().for_fleet(ROUTERS, rates);
    let mut guards: Vec<PlatformGuard> = (0..ROUTERS).map(|_| PlatformGuard::new(limits)).collect();
    let mut calls = vec![0; (END_MILLIS / 1000) as usize];
    for millis in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        let now = ClockTime::from_millis(millis);
        let is_down = (OUTAGE_START_MILLIS..OUTAGE_END_MILLIS).contains(&millis);
        for (router, guard) in guards.iter_mut().enumerate() {
            let wants_call = (millis / STEP_MILLIS + router as u64).is_multiple_of(5);
            if !wants_call || guard.admit(now, false).is_err() {
                continue;
            }
            calls[(millis / 1000) as usize] += 1;
            if is_down {
                guard.record_failure(now, &mut generator);
            } else {
                guard.record_success(now);
            }
        }
    }
    let healthy_at_end = guards.iter().filter(|guard| guard.health() == PlatformHealth::Up).count();
    FleetTrace { calls, healthy_at_end }
}
