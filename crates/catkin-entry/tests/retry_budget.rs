//! Tests of the retry budgets of all routers together, against the limit for the fleet: in each ten
//! seconds, the repeats at a service stay within a ratio of the requests for it in these ten seconds, in
//! the ten before or in the ten around their start, whichever has most, plus an extra number.

mod repeat_fleet;

use catkin_base::ClockTime;
use catkin_entry::{BudgetBook, RetryPayment, may_have_sent};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use repeat_fleet::{RepeatLimits, RouterDay, SERVICE, WINDOW_MILLIS, play_day};

const LIMITS: RepeatLimits = RepeatLimits { ratio: 0.2, extra: 174.0 };
const ROUTERS: usize = 27;
const SECONDS: usize = 40;

/// Traffic of four domains, each a wave of 15 s with its peak a second after that of the one before.
fn wave_days() -> Vec<RouterDay> {
    let requests_in = |router: usize, second: usize| {
        let phase = (second as f64 - (router % 4) as f64) / 15.0 * std::f64::consts::TAU;
        (17.0 + 12.0 * phase.sin()).round() as u64
    };
    let day = |router| RouterDay {
        requests: (0..SECONDS).map(|second| requests_in(router, second)).collect(),
        kills: Vec::new(),
    };
    (0..ROUTERS).map(day).collect()
}

fn steady_days(kills: &[u64]) -> Vec<RouterDay> {
    let day = RouterDay { kills: kills.to_vec(), ..RouterDay::steady(17, SECONDS) };
    vec![day; ROUTERS]
}

/// Guards against more repeats than allowed where servers reject requests from a peak of the traffic on:
/// each router spent by the ten seconds in which it had most requests.
#[test]
fn repeats_after_a_peak_stay_within_the_budget_of_all_routers() {
    for begin in (8_000..24_000).step_by(500) {
        let record = play_day(LIMITS, &wave_days(), |millis| millis >= begin);

        let excesses = record.list_excesses(LIMITS);

        assert!(excesses.is_empty(), "rejecting from {begin}: {:?}", excesses.first());
    }
}

/// Guards against more repeats than allowed where routers start again: requests of the earlier process
/// had paid for its repeats, and those of the next one paid again in the same ten seconds.
#[test]
fn repeats_of_killed_routers_stay_within_the_budget_of_all_routers() {
    let kills = [11_500, 16_000];
    let record = play_day(LIMITS, &steady_days(&kills), |millis| millis >= 10_000);

    let excesses = record.list_excesses(LIMITS);

    assert!(excesses.is_empty(), "{} excesses, {:?}", excesses.len(), excesses.first());
}

/// Guards against an extra share for each start of a router that starts again and again.
#[test]
fn repeats_of_routers_that_start_again_and_again_stay_within_the_budget() {
    let kills: Vec<u64> = (10..SECONDS as u64).map(|second| second * 1_000).collect();
    let days: Vec<RouterDay> = (0..ROUTERS)
        .map(|_| RouterDay { kills: kills.clone(), ..RouterDay::steady(1, SECONDS) })
        .collect();
    let limits = RepeatLimits { extra: 400.0, ..LIMITS };
    let record = play_day(limits, &days, |millis| millis >= 8_000);

    let excesses = record.list_excesses(limits);

    assert!(excesses.is_empty(), "{} excesses, {:?}", excesses.len(), excesses.first());
}

/// Guards against extra repeats for the time before the start of a router whose settings still name the first
/// start of the fleet.
#[test]
fn a_first_start_that_was_none_gives_no_extra_repeats() {
    let start = ClockTime::ZERO;
    let mut book = BudgetBook::new(LIMITS.ratio, LIMITS.extra, true);
    book.accrue(start, Some(1));
    assert!(book.usage(start, SERVICE).allowed > 0);

    book.expect_earlier_process();

    assert_eq!(book.usage(start, SERVICE).allowed, 0);
}

/// Guards against a budget that holds because it is hardly used: in steady traffic, all routers together
/// make at least as many repeats as the ratio allows, the extra ones aside.
#[test]
fn repeats_in_steady_traffic_use_the_whole_ratio() {
    let record = play_day(LIMITS, &steady_days(&[]), |millis| millis >= 20_000);

    let (from, until) = (20_000, 20_000 + 2 * WINDOW_MILLIS);
    let repeats = record.count_repeats(from, until);
    let requests = record.count_requests(from, until);
    assert!(repeats as f64 >= LIMITS.ratio * requests as f64, "{repeats} for {requests}");
}

/// Guards against repeats that were paid for in one window and arrive in another, since they waited for a
/// server or a connection.
#[test]
fn a_retry_that_waited_is_paid_for_again() {
    let payment = RetryPayment::new(ClockTime::from_millis(1_000));

    assert!(payment.holds(ClockTime::from_millis(1_300)));
    assert!(!payment.holds(ClockTime::from_millis(1_301)));
}

/// Guards against unpaid repeats after another router, to which a request was passed on, had sent it to
/// servers and then lost its way to them.
#[test]
fn a_request_that_another_router_may_have_sent_is_paid_for_before_the_next_one() {
    let refusals = ["out-of-reach", "stopping", "no-declarations", "no-key"];

    let sent: Vec<&str> = refusals.into_iter().filter(|cause| may_have_sent(cause)).collect();

    assert_eq!(sent, ["out-of-reach"]);
}

/// A day of one router: bursts, pauses and kills at any moment.
fn any_day() -> impl Strategy<Value = RouterDay> {
    let second = prop_oneof![3 => Just(0), 3 => 1..20u64, 2 => 20..200u64];
    let block = (second, 1..8usize).prop_map(|(requests, seconds)| vec![requests; seconds]);
    let requests = prop::collection::vec(block, 4..12).prop_map(|blocks| blocks.concat());
    let kills = prop::collection::vec(0..40_000u64, 0..5);
    (requests, kills).prop_map(|(requests, mut kills)| {
        kills.sort_unstable();
        RouterDay { requests, kills }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    /// Guards against more repeats than allowed under any traffic, any number of routers and any restarts.
    #[test]
    fn repeats_under_any_traffic_and_restarts_stay_within_the_budget(
        days in prop::collection::vec(any_day(), 1..9),
        extra in 0..60u32,
        rejecting in 0..25_000u64,
    ) {
        let limits = RepeatLimits { ratio: 0.2, extra: extra.into() };
        let record = play_day(limits, &days, |millis| millis >= rejecting);

        let excesses = record.list_excesses(limits);

        prop_assert!(excesses.is_empty(), "{} excesses, {:?}", excesses.len(), excesses.first());
    }
}
