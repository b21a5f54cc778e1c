//! The gate admits orders in the order of their numbers. For a server that ignores the numbers it
//! admits none while an earlier order may still take effect, because that order could overwrite it.

use std::time::Duration;

use catkin_base::{ClockTime, ServerId};
use catkin_control::{GateLimits, GateRefusal, OrderGate, OrderNumber};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: GateLimits =
    GateLimits { quiet_period: Duration::from_secs(5), verify_window: Duration::from_millis(200) };

fn server() -> ServerId {
    ServerId::from_name("estimator-1")
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// A gate whose owner has owned the server for longer than the quiet period.
fn ready_gate() -> OrderGate {
    let mut gate = OrderGate::new(LIMITS);
    gate.record_read_back(server(), 0, at(0));
    gate.record_read_back(server(), 0, at(10_000));
    gate
}

#[test]
fn newer_order_is_admitted_and_older_one_refused() {
    let mut gate = ready_gate();

    let newer = gate.admit(server(), 7, false, at(10_000));
    gate.mark_resolved(server(), 7);
    gate.record_read_back(server(), 7, at(10_001));
    let older = gate.admit(server(), 6, false, at(10_001));
    let repeated = gate.admit(server(), 7, false, at(10_001));

    assert_eq!(newer, Ok(()));
    assert_eq!(older, Err(GateRefusal::Older(7)));
    assert_eq!(repeated, Ok(()));
}

#[test]
fn order_waits_while_an_unanswered_one_may_still_take_effect() {
    let mut gate = ready_gate();
    gate.admit(server(), 7, false, at(10_000)).expect("passes");

    gate.record_read_back(server(), 0, at(14_999));
    let early = gate.admit(server(), 8, false, at(14_999));
    gate.record_read_back(server(), 7, at(15_000));
    let late = gate.admit(server(), 8, false, at(15_000));

    assert_eq!(early, Err(GateRefusal::QuietPeriod(at(15_000))));
    assert_eq!(late, Ok(()));
}

#[test]
fn new_owner_waits_for_pending_orders_of_the_former_owner() {
    let mut gate = OrderGate::new(LIMITS);
    gate.record_read_back(server(), 3, at(1_000));

    let early = gate.admit(server(), 9, false, at(1_000));
    let older = gate.admit(server(), 2, false, at(1_000));

    assert_eq!(early, Err(GateRefusal::QuietPeriod(at(6_000))));
    assert_eq!(older, Err(GateRefusal::Older(3)));
}

#[test]
fn read_back_admits_one_order_within_the_verify_window() {
    let mut gate = ready_gate();

    let stale = gate.admit(server(), 7, false, at(10_201));
    gate.record_read_back(server(), 0, at(10_300));
    let passed = gate.admit(server(), 7, false, at(10_300));
    gate.mark_resolved(server(), 7);
    let second = gate.admit(server(), 8, false, at(10_300));

    assert_eq!(stale, Err(GateRefusal::Unverified));
    assert_eq!(passed, Ok(()));
    assert_eq!(second, Err(GateRefusal::Unverified));
}

#[test]
fn server_that_checks_fencing_tokens_needs_no_wait() {
    let mut gate = OrderGate::new(LIMITS);

    let first = gate.admit(server(), 7, true, at(0));
    let next = gate.admit(server(), 8, true, at(0));
    let older = gate.admit(server(), 7, true, at(0));

    assert_eq!((first, next), (Ok(()), Ok(())));
    assert_eq!(older, Err(GateRefusal::Older(8)));
}

#[test]
fn late_resolution_of_an_older_order_does_not_end_the_wait() {
    let mut gate = ready_gate();
    gate.admit(server(), 7, false, at(10_000)).expect("passes");
    gate.record_read_back(server(), 7, at(15_000));
    gate.admit(server(), 8, false, at(15_000)).expect("passes");

    gate.mark_resolved(server(), 7);
    gate.record_read_back(server(), 7, at(15_001));
    let next = gate.admit(server(), 9, false, at(15_001));

    assert_eq!(next, Err(GateRefusal::QuietPeriod(at(20_000))));
}

/// A fixed seed generates the same cases on each run.
fn seeded_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_203);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded_config())]

    #[test]
    fn admitted_numbers_never_decrease(fences in prop::collection::vec(0_u64..20, 1..60)) {
        let mut gate = ready_gate();
        let mut passed = Vec::new();

        for (step, fence) in fences.iter().enumerate() {
            let now = at(10_000 + step as u64 * 6_000);
            gate.record_read_back(server(), 0, now);
            if gate.admit(server(), *fence, false, now).is_ok() {
                passed.push(*fence);
            }
        }

        prop_assert!(passed.is_sorted());
    }

    #[test]
    fn numbers_round_trip_and_order_by_term(
        (term, sequence) in any::<(u32, u32)>(),
        (other_term, other_sequence) in any::<(u32, u32)>(),
    ) {
        let number = OrderNumber { term, sequence };
        let other = OrderNumber { term: other_term, sequence: other_sequence };

        prop_assert_eq!(OrderNumber::from_fence(number.fence()), number);
        prop_assert_eq!(number.cmp(&other), number.fence().cmp(&other.fence()));
    }
}
