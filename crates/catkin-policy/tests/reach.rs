//! Tests of what a router concludes from connects that fail.

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{ReachChange, ReachKey, ReachTable};

const MODEL: ReachKey = ReachKey(1);
const DESK: ReachKey = ReachKey(2);
const SERVERS: usize = 9;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

/// Records a failed connect to each of these servers of a service, one each 10 ms.
fn fail(table: &mut ReachTable, service: ReachKey, servers: &[u64], size: usize) -> ReachChange {
    let mut last = ReachChange::Unchanged;
    for (index, server) in servers.iter().enumerate() {
        last = table.record_failure(at(index as u64 * 10), service, ServerId(*server), size);
    }
    last
}

#[test]
fn a_service_is_lost_after_three_of_its_servers_could_not_be_connected_to() {
    let mut table = ReachTable::default();

    assert_eq!(fail(&mut table, MODEL, &[1, 2], SERVERS), ReachChange::Unchanged);
    assert_eq!(fail(&mut table, MODEL, &[3], SERVERS), ReachChange::Lost);

    assert!(table.is_lost(MODEL) && !table.is_lost(DESK));
    assert_eq!(table.lost_services().collect::<Vec<_>>(), [MODEL]);
}

/// Guards against one server that fails again and again and counts as a cut.
#[test]
fn one_server_that_fails_often_is_no_cut() {
    let mut table = ReachTable::default();

    fail(&mut table, MODEL, &[1; 20], SERVERS);

    assert!(!table.is_lost(MODEL) && table.is_doubtful(at(200), MODEL));
}

/// Guards against crashes of single servers, one after the other, that count as a cut.
#[test]
fn a_connect_in_between_is_a_sign_of_reach() {
    let mut table = ReachTable::default();
    fail(&mut table, MODEL, &[1, 2], SERVERS);

    table.record_connect(at(50), MODEL);
    fail(&mut table, MODEL, &[3], SERVERS);

    assert!(!table.is_lost(MODEL));
}

/// Guards against crashes that are seconds apart and count together.
#[test]
fn failures_count_for_a_moment_only() {
    let mut table = ReachTable::default();
    fail(&mut table, MODEL, &[1, 2], SERVERS);

    let change = table.record_failure(at(2_000), MODEL, ServerId(3), SERVERS);

    assert_eq!(change, ReachChange::Unchanged);
    assert!(!table.is_doubtful(at(4_000), MODEL));
}

/// Guards against the only server of a service that is silent for a second and counts as a cut.
#[test]
fn the_only_server_of_a_service_is_no_cut_by_itself() {
    let mut table = ReachTable::default();

    fail(&mut table, DESK, &[1, 1, 1], 1);

    assert!(!table.is_lost(DESK));
}

#[test]
fn a_small_service_is_lost_with_another_one() {
    let mut table = ReachTable::default();
    fail(&mut table, MODEL, &[1, 2, 3], SERVERS);

    assert_eq!(fail(&mut table, DESK, &[9], 1), ReachChange::Lost);
}

/// Guards against a router that goes on avoiding servers after a cut.
#[test]
fn one_connect_regains_a_service() {
    let mut table = ReachTable::default();
    fail(&mut table, MODEL, &[1, 2, 3], SERVERS);
    fail(&mut table, DESK, &[8, 9], 2);

    assert_eq!(table.record_connect(at(100), MODEL), ReachChange::Regained);

    assert!(!table.is_lost(MODEL) && !table.is_doubtful(at(100), MODEL) && table.is_lost(DESK));
    assert_eq!(table.connect_age_millis(at(300)), Some(200));
}
