//! Tests of the pauses that servers ask one router for.

use std::time::Duration;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::PauseTable;

const SERVER: ServerId = ServerId(1);
const ASKED: ClockTime = ClockTime::from_millis(10_000);
const PAUSE: Duration = Duration::from_millis(2_000);
/// Time after which each router has ended its pause.
const LATEST_END_MILLIS: u64 = 2_200;
/// Time that a trial has for its answer.
const TRIAL_MILLIS: u64 = 1_000;
const ROUTERS: u64 = 50;

fn paused_table(router: u64) -> PauseTable {
    let mut table = PauseTable::new(router);
    table.record_pause(ASKED, SERVER, PAUSE);
    table
}

/// When the pause of a table ends.
fn find_end(table: &PauseTable) -> ClockTime {
    ASKED.plus_millis(table.wait_millis(ASKED, SERVER) + 1)
}

#[test]
fn a_pause_holds_from_its_statement_to_its_end() {
    let table = paused_table(1);

    let before_end = ASKED.plus(PAUSE).minus_millis(1);
    assert!(table.is_paused(ASKED, SERVER) && table.is_paused(before_end, SERVER));
    assert!(table.wait_millis(before_end, SERVER) > 0);
    assert!(!table.is_paused(ASKED.plus_millis(LATEST_END_MILLIS), SERVER));
}

/// Guards against routers that return to a server all at once.
#[test]
fn pauses_of_routers_end_at_different_times() {
    let ends: std::collections::BTreeSet<ClockTime> =
        (0..ROUTERS).map(|router| find_end(&paused_table(router))).collect();

    assert!(ends.len() as u64 > ROUTERS / 2, "{} ends of {ROUTERS}", ends.len());
    assert!(ends.iter().all(|end| *end >= ASKED.plus(PAUSE)));
}

/// Guards against a later, shorter statement that ends a pause early.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut table = paused_table(1);
    let end = find_end(&table);

    table.record_pause(ASKED.plus_millis(100), SERVER, Duration::from_millis(100));

    assert_eq!(find_end(&table), end);
}

#[test]
fn a_longer_pause_prolongs_one_in_force() {
    let mut table = paused_table(1);

    table.record_pause(ASKED.plus_millis(100), SERVER, PAUSE);

    assert!(table.is_paused(ASKED.plus(PAUSE).plus_millis(99), SERVER));
}

/// Guards against a crowd at the end of a pause.
#[test]
fn one_request_goes_first_after_a_pause() {
    let mut table = paused_table(1);
    let end = find_end(&table);
    assert_eq!(table.wait_millis(end, SERVER), 0);

    table.record_send(end, SERVER);

    assert_eq!(table.wait_millis(end, SERVER), TRIAL_MILLIS);
    assert!(!table.is_paused(end, SERVER));
}

#[test]
fn an_answer_to_the_first_request_lets_the_others_follow() {
    let mut table = paused_table(1);
    let end = find_end(&table);
    table.record_send(end, SERVER);

    table.record_answer(SERVER, end);

    assert_eq!(table.wait_millis(end, SERVER), 0);
    table.record_send(end, SERVER);
    assert_eq!(table.wait_millis(end, SERVER), 0);
}

/// Guards against a server that is not used again because the first request was never answered.
#[test]
fn another_request_goes_first_when_the_first_one_is_not_answered() {
    let mut table = paused_table(1);
    let end = find_end(&table);
    table.record_send(end, SERVER);

    let later = end.plus_millis(TRIAL_MILLIS);

    assert_eq!(table.wait_millis(later, SERVER), 0);
}

/// Guards against an answer to a request that was sent before the pause and ends it.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_pause() {
    let mut table = paused_table(1);

    table.record_answer(SERVER, ASKED.minus_millis(1));

    assert!(table.is_paused(ASKED.plus_millis(1), SERVER));
}

#[test]
fn a_pause_without_length_is_none() {
    let mut table = PauseTable::new(1);

    table.record_pause(ASKED, SERVER, Duration::ZERO);

    assert!(table.is_empty());
}

/// Guards against a server that is lost for days by one malformed value.
#[test]
fn a_pause_of_days_ends_after_an_hour() {
    let mut table = PauseTable::new(1);

    table.record_pause(ASKED, SERVER, Duration::from_secs(999_999_999));

    assert!(!table.is_paused(ASKED.plus_millis(3_601_000), SERVER));
}

#[test]
fn old_pauses_are_removed() {
    let mut table = paused_table(1);

    table.remove_expired(ASKED.plus_millis(60_000));

    assert!(table.is_empty());
}

/// Guards against a request that is assigned to a server in the last millisecond of its pause, is not sent since
/// the pause is in force, and has no server left then.
#[test]
fn no_request_is_due_while_a_pause_is_in_force() {
    for router in 0..ROUTERS {
        let table = paused_table(router);
        let mut micros = 1_900_000;
        while table.is_paused(ASKED.plus(Duration::from_micros(micros)), SERVER) {
            let now = ASKED.plus(Duration::from_micros(micros));
            assert!(table.wait_millis(now, SERVER) > 0, "router {router}, {micros} us");
            micros += 100;
        }
    }
}
