//! Tests of what a router concludes from connects that fail.

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{ConnectFailure, ReachChange, ReachKey, ReachTable};

const MODEL: ReachKey = ReachKey(1);
const DESK: ReachKey = ReachKey(2);
const SERVERS: usize = 9;
/// Timeout of a request's connect, in milliseconds.
const REQUEST_TIMEOUT: u64 = 400;
/// Timeout of a router's own connect and their interval, in milliseconds.
const CHECK_TIMEOUT: u64 = 250;
/// Number of the router's own connects at once.
const CHECKED: u64 = 3;
/// Time after which a router that is cut off must know it, in milliseconds.
const CONTACT_MILLIS: u64 = 3_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

/// Records a refused connect to each of these servers of a service, one each 10 ms.
fn fail(table: &mut ReachTable, service: ReachKey, servers: &[u64], size: usize) -> ReachChange {
    let mut last = ReachChange::Unchanged;
    for (index, server) in servers.iter().enumerate() {
        let (now, server) = (at(index as u64 * 10), ServerId(*server));
        last = table.record_failure(now, service, server, ConnectFailure::Refused, size);
    }
    last
}

/// Plays a router's own connects to `servers` servers from `from` on, while none answers until `end`, and returns
/// when the service was lost. It ends with the first connect that succeeds.
fn check_silent(table: &mut ReachTable, servers: u64, from: u64, end: u64) -> Option<u64> {
    let mut started = from;
    let mut next = 0..;
    while started < end {
        let now = started + CHECK_TIMEOUT;
        let failure = ConnectFailure::Unanswered(at(started));
        for number in next.by_ref().take(CHECKED as usize) {
            let server = ServerId(number % servers);
            let size = servers as usize;
            if table.record_failure(at(now), MODEL, server, failure, size) == ReachChange::Lost {
                return Some(now);
            }
        }
        started = now;
    }
    table.record_connect(at(started), MODEL);
    None
}

/// Plays a request's connect at `begin`, which fails, and the router's own that follow. Reach ends at 0.
fn press_silent(servers: u64, begin: u64, end: u64) -> Option<u64> {
    let mut table = ReachTable::default();
    let failed = begin + REQUEST_TIMEOUT;
    let failure = ConnectFailure::Unanswered(at(failed));
    table.record_failure(at(failed), MODEL, ServerId(0), failure, servers as usize);
    check_silent(&mut table, servers, failed, end)
}

/// Guards against sound servers that are all silent for a second and count as a cut, under the load of callers whose
/// requests open connections at any time in that second: four servers with the first connect in the
/// first 0.3 s were lost after 0.65 s, and requests refused.
#[test]
fn a_silence_of_a_second_of_all_servers_is_no_cut() {
    for servers in [3, 4, 40] {
        for begin in (0..1_000).step_by(10) {
            assert_eq!(press_silent(servers, begin, 1_000), None, "{servers} {begin}");
            let checked = check_silent(&mut ReachTable::default(), servers, begin, 1_000);
            assert_eq!(checked, None, "{servers} {begin}");
        }
    }
}

/// Guards against requests that are refused beyond the time in which a router must know that it is cut off,
/// whether it has requests or not, however large the service is.
#[test]
fn a_router_that_is_cut_off_knows_it_in_time() {
    for servers in [2, 3, 4, 40, 400] {
        let mut quiet = ReachTable::default();
        quiet.record_connect(at(0), MODEL);
        let first = quiet.quiet_wait_millis(at(0));

        let known_by_checks = check_silent(&mut quiet, servers, first, u64::MAX).unwrap();
        let known_by_request = press_silent(servers, 0, u64::MAX).unwrap();

        assert!(known_by_checks < CONTACT_MILLIS, "{servers}: {known_by_checks}");
        assert!(known_by_request < CONTACT_MILLIS, "{servers}: {known_by_request}");
    }
}

/// Guards against callers of a router that is cut off whose requests use up their attempts before it is certain:
/// it passes them on from the suspicion on.
#[test]
fn a_silence_is_suspected_at_once_and_ends_with_a_connect() {
    let mut table = ReachTable::default();
    let unanswered = ConnectFailure::Unanswered(at(0));
    let mut last = ReachChange::Unchanged;
    for server in 0..3 {
        last = table.record_failure(at(250), MODEL, ServerId(server), unanswered, SERVERS);
    }

    assert_eq!(last, ReachChange::Suspected);
    assert!(table.is_suspected(at(250), MODEL) && !table.is_lost(MODEL));
    assert_eq!(table.suspected_services(at(250)).collect::<Vec<_>>(), [MODEL]);
    assert_eq!(table.lost_services().count(), 0);
    assert!(!table.is_suspected(at(2_000), MODEL));

    assert_eq!(table.record_connect(at(500), MODEL), ReachChange::Regained);
    assert!(!table.is_suspected(at(500), MODEL));
}

/// Guards against a router that knows of a cut up to a second later since a request connected shortly before it.
#[test]
fn a_router_connects_by_itself_a_second_after_the_last_connect() {
    let mut table = ReachTable::default();
    assert!(table.is_quiet(at(0)) && table.quiet_wait_millis(at(0)) == 1_000);

    table.record_connect(at(900), MODEL);

    assert!(!table.is_quiet(at(1_000)));
    assert_eq!(table.quiet_wait_millis(at(1_000)), 900);
    assert!(table.is_quiet(at(1_900)) && table.quiet_wait_millis(at(1_900)) == 1_000);
}

/// Guards against connects that began long ago, before one that succeeded, and count as a silence.
#[test]
fn a_silence_begins_after_the_last_connect() {
    let mut table = ReachTable::default();
    table.record_connect(at(2_000), MODEL);
    for server in 0..3 {
        let old = ConnectFailure::Unanswered(at(100));
        table.record_failure(at(2_100), MODEL, ServerId(server), old, SERVERS);
    }

    let lost = check_silent(&mut table, SERVERS as u64, 2_100, 3_100);

    assert_eq!(lost, None);
}

/// Guards against a router whose process stands still while it connects and that finds all its time over after.
#[test]
fn connects_that_began_together_are_no_silence() {
    let mut table = ReachTable::default();

    for server in 0..3 {
        let failure = ConnectFailure::Unanswered(at(0));
        table.record_failure(at(5_000), MODEL, ServerId(server), failure, SERVERS);
    }

    assert!(!table.is_lost(MODEL) && table.is_doubtful(at(5_000), MODEL));
}

#[test]
fn a_service_is_lost_after_three_of_its_servers_refused_connects() {
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

    let refused = ConnectFailure::Refused;
    let change = table.record_failure(at(2_000), MODEL, ServerId(3), refused, SERVERS);

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
