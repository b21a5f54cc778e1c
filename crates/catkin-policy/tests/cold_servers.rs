//! Tests of the pace of requests to cold servers, without clock or network.

mod cold_fleet;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{ColdShare, ColdTable};
use cold_fleet::{COUNTED_MILLIS, ColdScenario, END_MILLIS, MOST, RATE, most_in_second, play};

const SERVER: ServerId = ServerId(1);
/// Part of the rate that must be used while there are requests for it.
const USED_PART: f64 = 0.8;
const ALONE: ColdShare = ColdShare {
    rate: RATE,
    most: MOST,
    fraction: 1.0,
    equal_fraction: 1.0,
    other_sends: 0.0,
    own_rate: 100.0,
    is_complete: true,
    knows_demand: false,
};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// A fleet without faults whose requests all are for the cold server.
fn fleet(routers: usize) -> ColdScenario {
    let is_large = routers > 100;
    ColdScenario {
        seed: 0,
        routers,
        busy_routers: routers,
        demand: 540.0,
        wanted: [9.0, 540.0],
        rush_millis: 0,
        report_millis: if is_large { 100 } else { 50 },
        delay_millis: if is_large { 200 } else { 100 },
        loss: 0.05,
        stale: (0.0, 0),
        cut: 0.0,
        frozen: 0.0,
        restarted: 0.0,
    }
}

/// Plays a scenario with several seeds; none may exceed the bound on a second, and `used` part of the
/// rate must be used.
fn assert_paced(scenario: &ColdScenario, used: f64) {
    let seeds = if scenario.routers > 100 { 2 } else { 6 };
    for seed in 0..seeds {
        let times = play(&ColdScenario { seed, ..scenario.clone() });
        let most = most_in_second(&times);
        let counted = times.iter().filter(|at| **at >= COUNTED_MILLIS).count();
        let seconds = (END_MILLIS - COUNTED_MILLIS) as f64 / 1_000.0;
        let part = counted as f64 / seconds / RATE;
        let routers = scenario.routers;
        println!("{routers} routers, seed {seed}: most {most} in a second, {part:.2} used");
        assert!(most as f64 <= MOST, "{most} requests in a second, {routers} routers, seed {seed}");
        assert!(part >= used, "{part:.2} of the rate used, {routers} routers, seed {seed}");
    }
}

/// Guards against a rate that the routers together exceed, and against one that is kept by not using it.
#[test]
fn a_fleet_uses_the_rate_and_keeps_the_bound() {
    for routers in [1, 2, 7, 20, 66, 195, 330] {
        assert_paced(&fleet(routers), USED_PART);
    }
}

/// Guards against routers that each save up a request for a server that nobody wants, and then all send it.
#[test]
fn a_rush_after_a_quiet_time_keeps_the_bound() {
    for routers in [1, 7, 66, 330] {
        let rush = ColdScenario { rush_millis: 3_000, wanted: [4.0, 2_000.0], ..fleet(routers) };
        assert_paced(&rush, USED_PART);
    }
}

/// Guards against shares by the number of routers while few of them have the requests.
#[test]
fn few_busy_routers_use_the_rate() {
    for routers in [7_usize, 66, 330] {
        let few = ColdScenario { busy_routers: routers.div_ceil(5), ..fleet(routers) };
        assert_paced(&few, USED_PART);
    }
}

/// Guards against routers that learn of it only from late entries.
#[test]
fn routers_with_stale_entries_keep_the_bound() {
    for routers in [7, 66, 330] {
        assert_paced(&ColdScenario { stale: (0.8, 1_500), ..fleet(routers) }, 0.0);
    }
}

/// Guards against routers that take the part of those that they don't hear.
#[test]
fn routers_that_are_cut_off_keep_the_bound() {
    for (routers, cut) in [(7, 0.2), (66, 0.2), (330, 0.2), (7, 1.0), (66, 1.0)] {
        assert_paced(&ColdScenario { cut, ..fleet(routers) }, 0.0);
    }
}

/// Guards against routers that were frozen when the server turned cold and resume with what they knew.
#[test]
fn frozen_routers_keep_the_bound() {
    for routers in [7, 66, 330] {
        assert_paced(&ColdScenario { frozen: 0.3, ..fleet(routers) }, 0.0);
    }
}

/// Guards against routers that have forgotten what they sent.
#[test]
fn routers_that_start_again_keep_the_bound() {
    for routers in [7, 66, 330] {
        assert_paced(&ColdScenario { restarted: 0.6, ..fleet(routers) }, 0.0);
    }
}

#[test]
fn a_server_is_warm_after_its_time() {
    let mut table = ColdTable::new(1);

    let is_new = table.record_cold(at(1_000), SERVER, at(4_000));
    let is_repeated = table.record_cold(at(1_100), SERVER, at(3_900));

    assert!(is_new && !is_repeated);
    assert!(table.is_cold(at(3_999), SERVER) && !table.is_cold(at(4_000), SERVER));
    assert_eq!(table.wait_millis(at(4_000), SERVER, &ALONE), 0);
    assert_eq!(table.remove_warm(at(4_000)), [SERVER]);
}

/// Guards against a server that restarted under its old identifier and counts as warm.
#[test]
fn a_server_that_is_reached_again_is_cold_until_an_entry_shows_otherwise() {
    let mut table = ColdTable::new(1);
    table.record_failure(at(1_000), SERVER);

    table.confirm_warm(at(2_000), SERVER);
    let after_early_entry = table.is_cold(at(2_000), SERVER);
    table.record_answer(at(3_000), SERVER, 4_000);
    let [before_end, at_end] = [6_999, 7_000].map(|millis| table.is_cold(at(millis), SERVER));
    table.confirm_warm(at(3_600), SERVER);

    assert!(after_early_entry && before_end && !at_end);
    assert!(!table.is_cold(at(3_600), SERVER));
}

/// Guards against a failure that keeps a server cold although its entry names the time.
#[test]
fn an_entry_without_cold_time_does_not_end_a_stated_one() {
    let mut table = ColdTable::new(1);
    table.record_cold(at(0), SERVER, at(5_000));

    table.confirm_warm(at(4_000), SERVER);

    assert!(table.is_cold(at(4_000), SERVER));
}
