//! What servers state of their speed. Guards against a stated figure that sends requests to slow servers
//! or, if it is false, keeps them from sound ones.

use catkin_base::{ClockTime, ServerId};
use catkin_entry::{
    SpeedBook, SpeedStatement, SpeedTable, combine_factors, find_typical_factor, read_stated_speed,
};
use proptest::prelude::*;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn servers() -> impl Iterator<Item = ServerId> {
    (1..=9).map(ServerId)
}

/// A table in which nine servers state these percentages now.
fn stated_table(percents: [u32; 9]) -> SpeedTable {
    let mut table = SpeedTable::default();
    for (server, percent) in servers().zip(percents) {
        table.record_statement(at(0), SpeedStatement { server, percent, stated: at(0) });
    }
    table
}

fn factors(table: &SpeedTable, now: ClockTime) -> Vec<f64> {
    let median = table.find_median(now, servers());
    let factor = |server| median.map_or(1.0, |median| table.stated_factor(now, server, median));
    servers().map(factor).collect()
}

#[test]
fn the_fourth_figure_of_a_load_is_its_speed() {
    assert_eq!(read_stated_speed(b"3,0,24,250"), Some(250));
    assert_eq!(read_stated_speed(b"3, 0, 24, 100 "), Some(100));
    assert_eq!(read_stated_speed(b"3,0,24,9999"), Some(1_000));
    assert_eq!(read_stated_speed(b"3,0,24,1"), Some(20));
}

#[test]
fn what_is_no_speed_is_ignored() {
    let values = [
        "3,0,24",
        "3,0,24,",
        "3,0,24,0",
        "3,0,24,fast",
        "3,0,24,-5",
        "3,0,24,1234567890",
        "",
        "1.5",
    ];

    for value in values {
        assert_eq!(read_stated_speed(value.as_bytes()), None, "{value}");
    }
}

proptest! {
    #[test]
    fn a_speed_is_in_range_whatever_a_server_states(value in prop::collection::vec(any::<u8>(), 0..30)) {
        let percent = read_stated_speed(&value);

        prop_assert!(percent.is_none_or(|percent| (20..=1_000).contains(&percent)));
    }
}

#[test]
fn a_server_that_states_more_than_its_service_is_slow_for_a_while() {
    let mut table = stated_table([100, 100, 250, 100, 100, 100, 100, 100, 100]);

    assert_eq!(factors(&table, at(0))[2], 2.5);
    let later = factors(&table, at(300))[2];
    assert!((1.5..2.0).contains(&later), "{later}");
    assert_eq!(factors(&table, at(1_000))[2], 1.0);
    table.remove_expired(at(1_000));
    assert!(table.is_empty());
}

#[test]
fn no_server_is_slow_if_all_state_the_same() {
    assert!(factors(&stated_table([1_000; 9]), at(0)).iter().all(|factor| *factor == 1.0));
}

#[test]
fn an_older_statement_does_not_replace_a_newer_one() {
    let mut table = SpeedTable::default();
    let statement = |percent, stated| SpeedStatement { server: ServerId(1), percent, stated };

    assert!(table.record_statement(at(500), statement(100, at(500))));
    assert!(!table.record_statement(at(510), statement(400, at(300))));
    assert!(!table.record_statement(at(2_000), statement(400, at(900))));

    assert_eq!(table.statement(at(510), ServerId(1)).unwrap().percent, 100);
}

#[test]
fn what_a_removed_server_stated_no_longer_counts() {
    let mut table = stated_table([100, 100, 250, 100, 100, 100, 100, 100, 100]);

    table.remove_server(ServerId(3));

    assert_eq!(factors(&table, at(0))[2], 1.0);
}

/// A book with the pace of nine servers, the first of which takes `first_millis` for each answer.
fn measured_book(first_millis: f64) -> SpeedBook {
    let mut book = SpeedBook::default();
    for round in 0..8 {
        for server in servers() {
            let millis = if server == ServerId(1) { first_millis } else { 20.0 };
            book.record_pace(at(round * 10), "s", server, millis);
        }
    }
    book
}

#[test]
fn a_server_that_always_states_that_it_is_slow_is_believed_by_its_pace() {
    let book = measured_book(20.0);
    let table = stated_table([1_000, 100, 100, 100, 100, 100, 100, 100, 100]);
    let stated = factors(&table, at(100))[0];

    let pace = book.measured_pace(at(100), ServerId(1));
    let factor = combine_factors(stated, book.slow_factor(at(100), ServerId(1)), pace);

    assert!(stated > 5.0, "{stated}");
    assert!(factor <= 1.6, "{factor}");
}

#[test]
fn a_server_that_is_slow_by_its_pace_is_slow_whatever_it_states() {
    let book = measured_book(80.0);
    let pace = book.measured_pace(at(100), ServerId(1));
    let slow_factor = book.slow_factor(at(100), ServerId(1));

    assert!(slow_factor > 2.0, "{slow_factor}");
    assert_eq!(combine_factors(1.0, slow_factor, pace), slow_factor);
}

#[test]
fn a_server_without_measured_answers_is_believed_within_bounds() {
    assert_eq!(combine_factors(2.5, 1.0, None), 2.5);
    assert_eq!(combine_factors(10.0, 1.0, None), 3.0);
}

#[test]
fn without_statements_the_measured_factor_stays_as_it_is() {
    assert_eq!(SpeedTable::default().find_median(at(0), servers()), None);
    assert_eq!(combine_factors(1.0, 4.0, Some(4.0)), 4.0);
}

#[test]
fn servers_that_are_all_slow_by_their_pace_are_compared_with_one_another() {
    assert_eq!(find_typical_factor([2.2, 2.0, 2.4, 2.2].into_iter()), 2.2);
    assert_eq!(find_typical_factor([1.0, 1.0, 1.0, 4.0].into_iter()), 1.0);
    assert_eq!(find_typical_factor(std::iter::empty()), 1.0);
}
