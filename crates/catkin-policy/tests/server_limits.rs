//! Tests of the limits that servers name, without clock or network.

mod limit_fleet;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{LimitShare, LimitStatement, LimitTable, RequestRate, compute_fraction};
use limit_fleet::{CONTACT_MILLIS, LimitScenario, WINDOW_MILLIS, most_in_window, play};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVER: ServerId = ServerId(1);
/// The only router with requests.
const ALL: LimitShare = LimitShare { fraction: 1.0, other_sends: 0.0, service_rate: 50.0 };

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn statement(per_second: Option<f64>, stated: u64) -> LimitStatement {
    let rate = per_second.map(|rate| RequestRate { per_thousand_seconds: (rate * 1_000.0) as u32 });
    LimitStatement { server: SERVER, rate, stated: at(stated) }
}

fn limited_table(per_second: f64) -> LimitTable {
    let mut table = LimitTable::new(7);
    table.record_statement(at(0), statement(Some(per_second), 0));
    table
}

/// Number of requests that a router sends in `millis` if it always has one.
fn count_sends(table: &mut LimitTable, from: u64, millis: u64) -> usize {
    let sends = (from..from + millis).step_by(10).filter(|now| {
        let may_send = table.wait_millis(at(*now), SERVER, ALL) == 0;
        if may_send {
            table.record_send(at(*now), SERVER, ALL);
        }
        may_send
    });
    sends.count()
}

/// Requests that a server with this limit may get in a window.
fn allowed(per_second: f64) -> usize {
    (per_second * WINDOW_MILLIS as f64 / 1_000.0 * 1.5 + 5.0) as usize
}

#[test]
fn a_router_with_all_requests_uses_the_limit() {
    let mut table = limited_table(5.0);

    let sends = count_sends(&mut table, 0, 20_000);

    assert!((95..=105).contains(&sends), "{sends} requests");
}

#[test]
fn a_lower_limit_counts_from_the_answer_that_names_it_on() {
    let mut table = limited_table(10.0);
    count_sends(&mut table, 0, 4_000);

    table.record_statement(at(4_000), statement(Some(1.0), 4_000));
    let sends = count_sends(&mut table, 4_000, 4_000);

    assert!(sends <= 5, "{sends} requests");
}

/// Guards against a server that gets no requests at all and so can't name another limit.
#[test]
fn a_server_that_allows_nothing_gets_a_request_now_and_then() {
    let mut table = limited_table(0.0);

    let windows =
        [0, 1, 2, 3].map(|number| count_sends(&mut table, number * WINDOW_MILLIS, WINDOW_MILLIS));

    assert!(windows.iter().all(|sends| (1..=allowed(0.0)).contains(sends)), "{windows:?}");
}

#[test]
fn a_server_without_a_limit_may_always_get_a_request() {
    let mut table = limited_table(1.0);
    table.record_statement(at(500), statement(None, 500));

    assert_eq!(count_sends(&mut table, 500, 100), 10);
    assert_eq!(table.wait_millis(at(600), ServerId(2), ALL), 0);
}

/// Guards against an older statement that ends a limit, or brings it back: answers and reports
/// overtake each other.
#[test]
fn an_older_statement_is_ignored() {
    let mut table = limited_table(1.0);
    table.record_statement(at(1_000), statement(Some(2.0), 1_000));

    let ended = table.record_statement(at(1_100), statement(None, 900));
    let rate_after_older = table.rate(SERVER);
    table.record_statement(at(1_200), statement(None, 1_200));
    let returned = table.record_statement(at(1_300), statement(Some(2.0), 1_100));

    assert!(!ended && !returned);
    assert_eq!(rate_after_older.map(RequestRate::per_second), Some(2.0));
    assert_eq!(table.rate(SERVER), None);
}

/// Guards against limits of servers that are gone and are kept, and told to routers that start, for good.
#[test]
fn the_limit_of_a_server_that_is_not_listed_is_forgotten() {
    let mut table = limited_table(1.0);

    table.remove_expired(at(60_000), |_| true);
    let listed = table.rate(SERVER);
    table.remove_expired(at(60_000), |_| false);

    assert!(listed.is_some() && table.is_empty());
}

#[test]
fn the_wait_ends_when_a_request_may_be_sent() {
    let mut table = limited_table(2.0);
    count_sends(&mut table, 0, 3_000);

    let wait = table.wait_millis(at(3_000), SERVER, ALL);

    assert!(wait > 0, "no wait");
    assert!(table.wait_millis(at(3_000 + wait / 2), SERVER, ALL) > 0);
    assert_eq!(table.wait_millis(at(3_000 + wait + 1), SERVER, ALL), 0);
}

#[test]
fn the_sends_of_other_routers_count() {
    let mut table = limited_table(2.0);
    let full = LimitShare { fraction: 0.5, other_sends: 6.0, service_rate: 1.0 };
    let free = LimitShare { other_sends: 0.0, ..full };

    let [with_others, alone] = [full, free].map(|share| table.wait_millis(at(100), SERVER, share));

    assert!(with_others > alone, "{with_others} ms with other routers, {alone} ms without");
}

#[test]
fn fractions_follow_the_requests_and_count_silent_routers() {
    let fractions = [
        compute_fraction(30.0, 10.0, 4, 4),
        compute_fraction(0.0, 10.0, 4, 4),
        compute_fraction(10.0, 0.0, 1, 4),
        compute_fraction(0.0, 0.0, 1, u32::MAX),
    ];

    assert!((fractions[0] - 0.7).abs() < 1e-9, "{fractions:?}");
    assert!((fractions[1] - 0.025).abs() < 1e-9, "{fractions:?}");
    assert!((fractions[2] - 0.25).abs() < 1e-9, "{fractions:?}");
    assert!(fractions[3] < 1e-9, "{fractions:?}");
}

/// Scenarios with servers that name limits within a range, in requests per second.
fn scenarios(limits: std::ops::Range<f64>) -> impl Strategy<Value = LimitScenario> {
    let fleet = (any::<u64>(), 1..64_usize, prop::collection::vec(limits, 1..5));
    let requests = (1.5..20.0_f64, 0.0..=1.0_f64, prop::option::of(6_000..12_000_u64));
    let reports = (40..150_u64, 1..250_u64, 0.0..0.1_f64, prop::option::of(4_000..14_000_u64));
    (fleet, requests, reports, 0..6_000_u64).prop_map(|(fleet, requests, reports, quiet_millis)| {
        let (seed, routers, limits) = fleet;
        let (pressure, busy, shift_millis) = requests;
        let (report_millis, delay_millis, loss, restart) = reports;
        LimitScenario {
            seed,
            routers,
            limits,
            pressure,
            busy_routers: ((routers as f64 * busy) as usize).max(1),
            shift_millis,
            restart: restart.map(|millis| (millis / 10 * 10, seed as usize % routers)),
            report_millis,
            delay_millis,
            loss,
            quiet_millis,
            length_millis: 20_000,
        }
    })
}

/// Number of scenarios, and their seed. If the environment sets `PROPTEST_CASES`, so many others are
/// drawn at random.
const CASES: u32 = 16;
const SEED: u64 = 1;

fn config() -> ProptestConfig {
    let defaults = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    match std::env::var_os("PROPTEST_CASES") {
        Some(_) => defaults,
        None => ProptestConfig { cases: CASES, rng_seed: RngSeed::Fixed(SEED), ..defaults },
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a limit that the routers together exceed: they know of one another's requests
    /// only late, each has unused credits, and their shares of the requests change.
    #[test]
    fn no_server_gets_more_than_it_allows(scenario in scenarios(0.0..12.0)) {
        let outcome = play(&scenario);

        for (limit, times) in scenario.limits.iter().zip(&outcome.counted) {
            let most = most_in_window(times);
            prop_assert!(most <= allowed(*limit), "{most} requests with a limit of {limit}");
        }
    }

    /// Guards against a limit that is kept by not using it. Limits below a request a second are left
    /// out: whole requests make the measure too coarse.
    #[test]
    fn a_limit_is_used_while_there_are_requests(scenario in scenarios(1.0..12.0)) {
        let scenario = LimitScenario { quiet_millis: 0, shift_millis: None, ..scenario };
        let outcome = play(&scenario);

        let seconds = (scenario.length_millis - CONTACT_MILLIS) as f64 / 1_000.0;
        let allowed: f64 = scenario.limits.iter().sum::<f64>() * seconds;
        let used: usize = outcome.used.iter().sum();
        prop_assert!(used as f64 >= allowed * 0.8 - 1.0, "{used} requests, {allowed} allowed");
    }
}
