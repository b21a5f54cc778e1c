//! Load aggregation, load reports, retry budgets, strikes and backoff.

mod fixture;

use catkin_base::{ClockTime, RequestDigest};
use catkin_policy::{
    BackoffPlan, LoadAggregator, LoadReport, ReportMode, ReportPacer, RetryBudget, ServerLoad,
    StrikeCounter,
};
use fixture::{pool, server, vm};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: ClockTime = ClockTime::from_millis(100_000);
const DIGEST: RequestDigest = RequestDigest(9);

fn report(loads: &[(u64, u32, u32)]) -> LoadReport {
    let loads = loads.iter().map(|(number, open, weight)| ServerLoad {
        server: server(*number),
        open: *open,
        weight: *weight,
    });
    LoadReport { pool: pool(), loads: loads.collect() }
}

/// Guards against two budgets within ten seconds: the window began with a whole second, so that
/// repeats at the end of a second were forgotten too early, and repeats may reach servers late.
#[test]
fn retries_of_any_ten_seconds_stay_within_the_budget() {
    const WINDOW_MILLIS: u64 = 10_000;
    const MAX_DELAY_MILLIS: u64 = 900;
    let mut budget = RetryBudget::new(20);
    budget.set_extra_retries(6);
    let mut arrivals = Vec::new();

    for millis in (950..60_000).step_by(10) {
        let now = ClockTime::from_millis(millis);
        if millis % 500 == 0 {
            budget.record_request(now);
        }
        if budget.try_retry(now) {
            let delay = if arrivals.len() % 2 == 0 { MAX_DELAY_MILLIS } else { 0 };
            arrivals.push(millis + delay);
        }
    }

    arrivals.sort_unstable();
    for from in &arrivals {
        let window = arrivals.iter().filter(|at| (*from..from + WINDOW_MILLIS).contains(*at));
        assert!(window.count() <= 6 + 4, "window from {from}: {arrivals:?}");
    }
}

#[test]
fn newest_report_of_a_server_counts_once() {
    let mut aggregator = LoadAggregator::new();
    aggregator.record_report(NOW, vm(1), &report(&[(1, 5, 1), (2, 7, 2)]));
    aggregator.record_report(NOW.plus_millis(10), vm(2), &report(&[(1, 9, 1)]));

    let total = aggregator.aggregate_load(NOW.plus_millis(10), pool()).expect("there are reports");

    assert_eq!((total.open, total.weight, total.servers), (16, 3, 2));
    assert_eq!(total.light_servers, [server(2), server(1)]);
}

#[test]
fn server_with_weight_zero_does_not_count() {
    let mut aggregator = LoadAggregator::new();
    aggregator.record_report(NOW, vm(1), &report(&[(1, 5, 1), (2, 7, 1)]));
    aggregator.record_report(NOW, vm(1), &report(&[(1, 5, 0)]));

    let total = aggregator.aggregate_load(NOW, pool()).expect("there are reports");

    assert_eq!((total.open, total.weight, total.servers), (7, 1, 1));
}

#[test]
fn pool_load_states_its_age_and_ignores_old_reports() {
    let mut aggregator = LoadAggregator::new();
    aggregator.record_report(NOW, vm(1), &report(&[(1, 5, 1)]));

    let aged =
        aggregator.aggregate_load(NOW.plus_millis(4_000), pool()).expect("the report is recent");
    let expired = aggregator.aggregate_load(NOW.plus_millis(20_000), pool());

    assert_eq!(aged.age_millis, 4_000);
    assert_eq!(expired, None);
}

#[test]
fn load_in_broadcast_mode_stays_fresh_until_heartbeats_are_missing() {
    let mut aggregator = LoadAggregator::new();
    aggregator.set_mode(ReportMode::Broadcast);
    aggregator.record_report(NOW, vm(1), &report(&[(1, 5, 1)]));

    let fresh =
        aggregator.aggregate_load(NOW.plus_millis(400), pool()).expect("the report is recent");
    let stale =
        aggregator.aggregate_load(NOW.plus_millis(3_000), pool()).expect("the report is recent");

    assert!(fresh.age_millis < 50);
    assert_eq!(stale.age_millis, 3_000);
}

#[test]
fn pacer_sends_changes_and_heartbeats_only() {
    let mut pacer = ReportPacer::new();
    let first = report(&[(1, 5, 1)]);
    let changed = report(&[(1, 6, 1)]);

    let sent = pacer.take_due(NOW, vec![first.clone()]);
    let unchanged = pacer.take_due(NOW.plus_millis(100), vec![first]);
    let update = pacer.take_due(NOW.plus_millis(100), vec![changed.clone()]);
    let heartbeat = pacer.take_due(NOW.plus_millis(2_000), vec![changed.clone()]);

    assert_eq!(sent.len(), 1);
    assert!(unchanged.is_empty());
    assert_eq!(update, std::slice::from_ref(&changed));
    assert_eq!(heartbeat, [changed]);
}

#[test]
fn retries_are_limited_to_a_percentage_of_recent_requests() {
    let mut budget = RetryBudget::new(10);
    for _ in 0..100 {
        budget.record_request(NOW);
    }

    let allowed = (0..100).filter(|_| budget.try_retry(NOW)).count();
    let later = budget.try_retry(NOW.plus_millis(20_000));

    // 10 % of 100 requests, and the 3 retries that are always allowed.
    assert_eq!(allowed, 13);
    assert!(later);
}

#[test]
fn content_is_quarantined_after_it_crashed_two_servers() {
    let mut counter = StrikeCounter::new(2, 60_000);

    counter.record_strike(NOW, DIGEST, server(1));
    counter.record_strike(NOW, DIGEST, server(1));
    let once = counter.state(NOW, DIGEST);
    counter.record_strike(NOW, DIGEST, server(2));
    let twice = counter.state(NOW.plus_millis(1_000), DIGEST);
    let after = counter.state(NOW.plus_millis(60_000), DIGEST);

    assert_eq!((once.strikes, once.hold_millis), (1, 0));
    assert_eq!((twice.strikes, twice.hold_millis), (2, 59_000));
    assert_eq!((after.strikes, after.hold_millis), (0, 0));
}

/// Guards against a request that crashes three more servers each time its quarantine ends: the
/// strikes against it were forgotten with the quarantine.
#[test]
fn content_that_crashes_a_server_after_its_quarantine_is_quarantined_at_once() {
    let mut counter = StrikeCounter::new(3, 60_000);
    for crash in 1..=3 {
        counter.record_strike(NOW, DIGEST, server(crash));
    }
    let ended = NOW.plus_millis(61_000);
    let allowed = counter.state(ended, DIGEST);

    counter.record_strike(ended, DIGEST, server(4));

    assert_eq!(allowed.hold_millis, 0);
    assert_eq!(counter.state(ended, DIGEST).hold_millis, 60_000);
}

/// Guards against a quarantine of popular content, found by soak seed 1310: content that all
/// callers request was running on three servers that crashed one after the other for another
/// reason, and was refused from then on.
#[test]
fn content_that_is_served_between_crashes_is_not_quarantined() {
    let mut counter = StrikeCounter::new(3, 60_000);

    for crash in 1..=3 {
        counter.record_strike(NOW.plus_millis(crash * 5_000), DIGEST, server(crash));
        counter.record_served(DIGEST);
    }
    let served = counter.state(NOW.plus_millis(16_000), DIGEST);
    for crash in 4..=6 {
        counter.record_strike(NOW.plus_millis(16_000), DIGEST, server(crash));
    }
    let never_served = counter.state(NOW.plus_millis(16_000), DIGEST);

    assert_eq!((served.strikes, served.hold_millis), (0, 0));
    assert_eq!((never_served.strikes, never_served.hold_millis), (3, 60_000));
}

#[test]
fn strike_counter_is_bounded_and_retains_the_content_with_most_strikes() {
    let mut counter = StrikeCounter::new(2, 600_000);
    counter.record_strike(NOW, DIGEST, server(1));
    counter.record_strike(NOW, DIGEST, server(2));

    for other in 1_000..6_000 {
        counter.record_strike(NOW, RequestDigest(other), server(1));
    }

    assert!(counter.len() <= 4_096);
    assert_eq!(counter.state(NOW, DIGEST).strikes, 2);
}

#[test]
fn backoff_doubles_with_jitter_up_to_its_limit() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut plan = BackoffPlan::new(100, 1_000);

    let delays: Vec<u64> = (0..6).map(|_| plan.next_delay(&mut random)).collect();
    plan.reset();
    let again = plan.next_delay(&mut random);

    for (delay, ceiling) in delays.iter().zip([100, 200, 400, 800, 1_000, 1_000]) {
        assert!(
            (ceiling / 2..=ceiling).contains(delay),
            "delay {delay} is not between {ceiling} / 2 and {ceiling}"
        );
    }
    assert!(again <= 100);
}

#[test]
fn clients_of_one_failed_service_do_not_retry_together() {
    let delays: std::collections::BTreeSet<u64> = (0..50)
        .map(|seed| BackoffPlan::new(1_000, 8_000).next_delay(&mut SmallRng::seed_from_u64(seed)))
        .collect();

    assert!(delays.len() > 40);
}
