//! Simulates without a network how often routers call a store that turns them away.

use catkin_entry::StorePace;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Times of the calls of one router, in milliseconds, while the store fails for `outage`.
fn call_times(informed: bool, outage: u64, seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut pace = StorePace::default();
    let mut times = vec![0];
    while *times.last().unwrap() < outage {
        let last = *times.last().unwrap();
        times.push(last + pace.next_delay(informed, &mut random));
    }
    times
}

/// Guards against a third of a fleet calling a store that is overloaded three times a second each.
#[test]
fn routers_that_serve_call_a_store_that_turns_them_away_at_most_once_a_second() {
    const OUTAGE: u64 = 10_000;
    let calls: usize = (0..65).map(|seed| call_times(true, OUTAGE, seed).len()).sum();

    let allowed = 65 * (OUTAGE as usize / 1_000 + 5);
    assert!(calls <= allowed, "{calls} calls");
}

#[test]
fn a_router_without_declarations_finds_the_store_soon_after_its_return() {
    for seed in 0..200 {
        for outage in [500, 4_000, 9_000] {
            let found = *call_times(false, outage, seed).last().unwrap();
            assert!(found <= outage + 600, "{found} after an outage of {outage}, seed {seed}");
        }
    }
}

#[test]
fn a_router_that_serves_finds_the_store_within_two_seconds_of_its_return() {
    for seed in 0..200 {
        let found = *call_times(true, 9_000, seed).last().unwrap();
        assert!(found <= 11_000, "{found}, seed {seed}");
    }
}

#[test]
fn a_successful_call_returns_to_the_first_delay() {
    let mut random = StdRng::seed_from_u64(1);
    let mut pace = StorePace::default();
    for _ in 0..10 {
        pace.next_delay(true, &mut random);
    }

    pace.reset();

    assert!(pace.next_delay(true, &mut random) <= 60);
}
