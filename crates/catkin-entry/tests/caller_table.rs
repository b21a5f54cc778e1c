//! Which connections of callers end near the limit.

use catkin_base::ClockTime;
use catkin_entry::{CallerId, CallerTable, count_allowed_callers};

const LIMIT: usize = 16;
/// Connections from which on idle ones end, and from which on answers end theirs.
const CLOSE_COUNT: usize = 14;
const LAST_ANSWER_COUNT: usize = 12;
/// Connections with requests from which on there is no room.
const FULL_COUNT: usize = 15;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Opens connections one second apart, whose signals are their numbers from 0 on.
fn open_callers(count: usize) -> (CallerTable<usize>, Vec<CallerId>) {
    let mut table = CallerTable::new(LIMIT);
    let ids = (0..count).map(|number| table.open(number, at(number as u64 * 1_000))).collect();
    (table, ids)
}

/// A time long after the connections were opened.
fn later() -> ClockTime {
    at(100_000)
}

#[test]
fn no_connection_ends_far_from_the_limit() {
    let (mut table, _) = open_callers(CLOSE_COUNT - 1);

    assert!(table.take_excess(later()).is_empty());
    assert!(!table.update_full(later()));
}

#[test]
fn the_longest_idle_connections_end_first() {
    let (mut table, ids) = open_callers(LIMIT);
    table.begin_wait(ids[0], at(50_000));

    assert_eq!(table.take_excess(later()), [1, 2, 3]);
    assert!(table.take_excess(later()).is_empty());
}

#[test]
fn connections_with_a_request_do_not_end() {
    let (mut table, ids) = open_callers(LIMIT);
    ids[..LIMIT - 1].iter().for_each(|id| table.begin_request(*id));

    assert_eq!(table.take_excess(later()), [LIMIT - 1]);
    assert!(table.take_excess(later()).is_empty());
}

#[test]
fn a_connection_that_began_to_wait_just_now_does_not_end() {
    let mut table = CallerTable::new(LIMIT);
    for number in 0..LIMIT {
        table.open(number, at(1_000));
    }

    assert!(table.take_excess(at(1_499)).is_empty());
    assert_eq!(table.take_excess(at(1_500)).len(), LIMIT + 1 - CLOSE_COUNT);
}

#[test]
fn a_request_that_crosses_the_end_is_served() {
    let (mut table, ids) = open_callers(LIMIT);
    table.take_excess(later());

    table.begin_request(ids[0]);

    assert_eq!(table.take_excess(later()), [3]);
}

#[test]
fn ended_connections_make_room() {
    let (mut table, ids) = open_callers(LIMIT);
    assert!(!table.has_room());
    table.take_excess(later());

    ids[..3].iter().for_each(|id| table.remove(*id));

    assert!(table.has_room());
    assert_eq!(table.len(), LIMIT - 3);
    assert!(table.take_excess(later()).is_empty());
}

#[test]
fn answers_end_their_connections_near_the_limit() {
    let (mut table, ids) = open_callers(LAST_ANSWER_COUNT);
    assert!(table.ends_answered());

    table.remove(ids[0]);

    assert!(!table.ends_answered());
}

#[test]
fn there_is_no_room_while_nearly_all_connections_have_requests() {
    let (mut table, ids) = open_callers(LIMIT);
    assert!(!table.update_full(later()));

    ids[..FULL_COUNT].iter().for_each(|id| table.begin_request(*id));
    assert!(table.update_full(later()));

    // There is room again only once some more have no request.
    table.begin_wait(ids[0], at(90_000));
    assert!(table.update_full(later()));
    table.begin_wait(ids[1], at(90_000));
    assert!(!table.update_full(later()));
}

#[test]
fn a_connection_that_is_not_open_changes_nothing() {
    let (mut table, ids) = open_callers(2);
    table.remove(ids[0]);

    table.begin_wait(ids[0], later());
    table.begin_request(ids[0]);
    table.remove(ids[0]);

    assert_eq!(table.len(), 1);
    assert!(!table.is_empty());
}

#[test]
fn descriptors_and_memory_bound_the_connections() {
    assert_eq!(count_allowed_callers(4_100, 260.0), 1_983);
    assert_eq!(count_allowed_callers(1_000, 260.0), 400);
    assert_eq!(count_allowed_callers(0, 260.0), LIMIT);
}
