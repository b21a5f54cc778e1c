//! Call budget and back-off, for one router and for a fleet.

#[path = "common/fleet.rs"]
mod fleet;

use catkin_base::ClockTime;
use catkin_platform::{GuardLimits, HoldReason, PlatformGuard, PlatformHealth};
use rand::SeedableRng;
use rand::rngs::StdRng;

use fleet::{OUTAGE_END_MILLIS, PLATFORM_READS, ROUTERS, run_fleet};

#[test]
fn fleet_does_not_herd_when_the_platform_returns() {
    for seed in 0..8 {
        let trace = run_fleet(seed);

        let end = OUTAGE_END_MILLIS as usize / 1000;
        let probes = trace.calls[end - 100..end].iter().copied().max();
        let peak = trace.calls[end..].iter().copied().max();
        assert!(probes <= Some(ROUTERS as usize), "seed {seed}: {probes:?} probes in a second");
        assert!(peak <= Some(PLATFORM_READS as usize), "seed {seed}: {peak:?} calls in a second");
        assert_eq!(trace.healthy_at_end, ROUTERS as usize, "seed {seed}");
    }
}

#[test]
fn one_probe_at_a_time_after_a_back_off() {
    let mut guard = tripped_guard();
    let later = ClockTime::from_millis(60_000);

    let probe = guard.admit(later, false);
    let second = guard.admit(later, false);

    assert_eq!(probe, Ok(()));
    assert_eq!(second, Err(HoldReason::Probing));
}

#[test]
fn probe_that_never_ends_is_replaced() {
    let mut guard = tripped_guard();
    guard.admit(ClockTime::from_millis(60_000), false).expect("the probe");

    let replacement = guard.admit(ClockTime::from_millis(120_000), false);

    assert_eq!(replacement, Ok(()));
}

#[test]
fn budget_grows_back_slowly_after_an_outage() {
    let mut guard = tripped_guard();
    let back = ClockTime::from_millis(60_000);
    guard.admit(back, false).expect("the probe");
    guard.record_success(back);

    let at_once = admitted(&mut guard, back);
    let soon = admitted(&mut guard, back.plus_millis(1000));
    let late = admitted(&mut guard, back.plus_millis(20_000));

    assert_eq!(at_once, 1);
    assert_eq!(soon, 5);
    assert_eq!(late, 100);
}

#[test]
fn success_between_failures_keeps_the_guard_closed() {
    let mut generator = StdRng::seed_from_u64(1);
    let mut guard = PlatformGuard::new(GuardLimits::default());

    for millis in 0..10 {
        let now = ClockTime::from_millis(millis);
        guard.record_failure(now, &mut generator);
        guard.record_success(now);
    }

    assert_eq!(guard.health(), PlatformHealth::Up);
}

fn tripped_guard() -> PlatformGuard {
    let mut generator = StdRng::seed_from_u64(1);
    let mut guard = PlatformGuard::new(GuardLimits::default());
    for _ in 0..GuardLimits::default().failures_to_open {
        guard.record_failure(ClockTime::ZERO, &mut generator);
    }
    assert_eq!(guard.health(), PlatformHealth::Down);
    guard
}

/// Reads that are admitted at one time.
fn admitted(guard: &mut PlatformGuard, now: ClockTime) -> usize {
    (0..1000).take_while(|_| guard.admit(now, false).is_ok()).count()
}
