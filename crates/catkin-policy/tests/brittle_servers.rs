//! Tests of servers that say that they are brittle, without clock or network.

mod brittle_fleet;

use brittle_fleet::{BrittleOutcome, BrittleScenario, play};
use catkin_base::{ClockTime, ServerId};
use catkin_policy::{BrittleRoom, BrittleStatement, BrittleTable, RequestRate};

const SERVER: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);
const SERVERS: usize = 4;
/// Time that a report of a router takes in a small fleet, and in one whose routers relay reports.
const SHORT_DELAY_MILLIS: u64 = 10;
const LONG_DELAY_MILLIS: u64 = 120;
/// Most of the room.
const MOST: f64 = 0.5;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn statement(server: ServerId, declines: Option<u32>, stated: u64) -> BrittleStatement {
    let declines = declines.map(|declines| RequestRate { per_thousand_seconds: declines * 1_000 });
    BrittleStatement { server, declines, stated: at(stated) }
}

/// A table of the only router, before a server that says that it is brittle.
fn brittle_table() -> BrittleTable {
    let mut table = BrittleTable::new(7);
    table.record_statement(statement(SERVER, Some(3), 0));
    table
}

/// The room of a server with four slots, of which this router uses `open`.
fn room(open: u32) -> BrittleRoom {
    BrittleRoom { slots: 4, open, fraction: 1.0, other_rate: 0.0, report_millis: 40.0 }
}

/// A fleet with requests for 1.5 times the room.
fn scenario(routers: usize, slots: u32, declines: usize) -> BrittleScenario {
    BrittleScenario {
        seed: 1,
        routers,
        servers: SERVERS,
        slots,
        lost_room: 0,
        declines,
        answer_millis: if slots > 10 { 3_000 } else { 800 },
        pressure: 1.5,
        busy_routers: routers,
        surge: 1.0,
        report_millis: 60,
        delay_millis: if routers > 10 { LONG_DELAY_MILLIS } else { SHORT_DELAY_MILLIS },
        loss: 0.02,
        length_millis: 13_000,
    }
}

/// All combinations of 1, 7 and 66 routers, few and many slots, few and more declines that servers bear.
fn scenarios() -> Vec<BrittleScenario> {
    let mut scenarios = Vec::new();
    for routers in [1, 7, 66] {
        for (slots, declines) in [(6, 2), (6, 5), (64, 2), (64, 5)] {
            scenarios.push(scenario(routers, slots, declines));
        }
    }
    scenarios
}

fn assert_few_falls(scenario: &BrittleScenario) -> BrittleOutcome {
    let outcome = play(scenario);
    assert!(outcome.falls <= 2 + SERVERS / 10, "{outcome:?} in {scenario:?}");
    outcome
}

/// Guards against routers that together send more than a server has room for, or that avoid this by leaving
/// the room empty.
#[test]
fn brittle_servers_stay_up_and_are_used() {
    for scenario in scenarios() {
        let outcome = assert_few_falls(&scenario);

        assert!(outcome.used > MOST, "{outcome:?} in {scenario:?}");
    }
}

/// Guards against crowds that come sooner than reports.
#[test]
fn brittle_servers_stay_up_in_surges() {
    for scenario in scenarios() {
        assert_few_falls(&BrittleScenario { pressure: 0.5, surge: 4.0, ..scenario });
    }
}

/// Guards against servers whose room is smaller than their slots, and that are tried again and again.
#[test]
fn brittle_servers_with_less_room_than_slots_stay_up() {
    for scenario in scenarios() {
        assert_few_falls(&BrittleScenario { lost_room: 2, ..scenario });
    }
}

/// Guards against equal shares of the room where few routers have all the requests.
#[test]
fn few_routers_with_all_requests_use_brittle_servers() {
    for scenario in scenarios() {
        let busy_routers = scenario.routers.div_ceil(7);
        let scenario = BrittleScenario { busy_routers, ..scenario };

        let outcome = assert_few_falls(&scenario);

        assert!(outcome.used > MOST, "{outcome:?} in {scenario:?}");
    }
}

#[test]
fn a_server_gets_as_many_requests_as_it_has_slots() {
    let mut table = brittle_table();

    let waits = [0, 3, 4, 5].map(|open| table.wait_millis(at(100), SERVER, &room(open)));

    assert!(waits[..2].iter().all(|wait| *wait == 0), "{waits:?}");
    assert!(waits[2..].iter().all(|wait| *wait > 0), "{waits:?}");
}

#[test]
fn a_decline_keeps_all_routers_from_free_slots_for_a_second() {
    let mut table = brittle_table();

    let is_new = table.record_peer_decline(SERVER, at(100));
    let is_new_again = table.record_peer_decline(SERVER, at(100));

    assert!(is_new && !is_new_again);
    assert!(table.wait_millis(at(1_099), SERVER, &room(0)) > 0);
    assert_eq!(table.wait_millis(at(1_100), SERVER, &room(0)), 0);
}

#[test]
fn an_ended_request_is_replaced_at_once_after_a_decline_elsewhere() {
    let mut table = brittle_table();
    table.wait_millis(at(90), SERVER, &room(2));
    table.record_peer_decline(SERVER, at(100));

    table.record_end(at(110), SERVER);
    let replaced = table.wait_millis(at(110), SERVER, &room(1));
    table.record_send(at(110), SERVER);
    let further = table.wait_millis(at(110), SERVER, &room(1));

    assert_eq!(replaced, 0);
    assert!(further > 0, "no wait");
}

/// Guards against a crowd at a server that is back after a fall and has said nothing yet.
#[test]
fn a_new_server_counts_as_brittle_until_it_answers_if_others_are() {
    let mut table = brittle_table();

    let presumed = table.is_brittle(OTHER, true);
    table.record_statement(statement(OTHER, None, 100));
    let answered = table.is_brittle(OTHER, true);

    assert!(presumed && !answered && table.is_brittle(SERVER, true));
}

/// Guards against an older statement that ends brittleness, or brings it back: answers and reports overtake
/// each other.
#[test]
fn an_older_statement_is_ignored() {
    let mut table = BrittleTable::new(7);
    table.record_statement(statement(SERVER, Some(3), 1_000));

    let ended_before = table.record_statement(statement(SERVER, None, 900));
    let ended = table.record_statement(statement(SERVER, None, 1_200));
    let returned = table.record_statement(statement(SERVER, Some(3), 1_100));

    assert!(!ended_before && ended && !returned);
    assert!(!table.is_brittle(SERVER, false) && table.is_empty());
}

#[test]
fn the_statement_of_a_server_that_is_not_listed_is_forgotten() {
    let mut table = brittle_table();

    table.remove_expired(at(60_000), |_| true);
    let listed = table.is_empty();
    table.remove_expired(at(60_000), |_| false);

    assert!(!listed && table.is_empty());
}
