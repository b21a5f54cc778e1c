//! Tests of what a router says and reports of a service that is short of room.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, DomainId, TeamId, VmId};
use catkin_entry::{LoadSource, LoadTable, Refusal, RefusalCause, ReportedLoads, ServiceKey};
use catkin_policy::{RoomCause, RoomRefusal};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: ClockTime = ClockTime::from_millis(10_000);
const SERVICE: ServiceKey = ServiceKey(7);
const LEFT: Duration = Duration::from_secs(20);
const EXPECTED: Duration = Duration::from_millis(800);
const SPREAD: Duration = Duration::from_millis(1_600);
const CALLERS: usize = 400;

fn refusal(cause: RoomCause) -> Refusal {
    let refusal = RoomRefusal { cause, expected: EXPECTED, spread: SPREAD };
    Refusal::not_run(RefusalCause::NoRoom(refusal))
}

fn report(team: TeamId, requests: u32) -> ReportedLoads {
    let team_demands = BTreeMap::from([((SERVICE, team), requests)]);
    ReportedLoads { team_demands, ..ReportedLoads::of_router(BTreeMap::new()) }
}

/// Guards against refused callers that return together before there is room.
#[test]
fn refused_callers_return_spread_over_the_time_in_which_room_comes() {
    let mut random = SmallRng::seed_from_u64(5);
    let refusal = refusal(RoomCause::InUse);

    let mut pauses: Vec<Duration> =
        (0..CALLERS).filter_map(|_| refusal.retry_after(LEFT, &mut random)).collect();
    pauses.sort();

    assert!(pauses.len() == CALLERS && pauses[0] >= EXPECTED);
    assert!(pauses[CALLERS - 1] <= EXPECTED + SPREAD);
    let first_half = pauses.iter().filter(|pause| **pause < EXPECTED + SPREAD / 2).count();
    assert!((CALLERS * 2 / 5..=CALLERS * 3 / 5).contains(&first_half), "{first_half}");
}

#[test]
fn each_cause_has_a_word_and_says_that_nothing_ran() {
    let causes = [RoomCause::InUse, RoomCause::KeptForUrgent, RoomCause::ShareUsed];

    let words = causes.map(|cause| refusal(cause).as_word());

    assert_eq!(words, ["full", "room-kept", "share-used"]);
    assert!(causes.iter().all(|cause| refusal(*cause).status() == 503));
}

#[test]
fn demand_by_team_adds_up_and_expires_with_its_reports() {
    let mut table = LoadTable::default();
    let team = TeamId(1);
    table.record_report(NOW, LoadSource::Router(VmId(1)), report(team, 300));
    table.record_report(NOW, LoadSource::Router(VmId(1)), report(team, 200));
    table.record_report(NOW, LoadSource::Domain(DomainId(2)), report(team, 500));

    let reported = table.reported_teams(SERVICE);
    let of_domain = table.domain_team_demands(BTreeMap::from([((SERVICE, team), 50)]));
    table.remove_expired(NOW.plus_millis(3_000));

    assert_eq!(reported, BTreeMap::from([(team, 700)]));
    assert_eq!(of_domain, BTreeMap::from([((SERVICE, team), 250)]));
    assert!(table.reported_teams(SERVICE).is_empty());
}
