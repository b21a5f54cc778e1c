//! Tests of what a router knows of evacuated failure domains, and when it reads the store for them.

use std::time::Duration;

use catkin_base::{ClockTime, DomainId, VmId};
use catkin_entry::{
    EvacuationChange, EvacuationReport, EvacuationTable, EvacuationTimes, MAX_REPORTED_DOMAINS,
    ReadDecision, StorePoint,
};

/// Bound within which routers must obey.
const BOUND: Duration = Duration::from_millis(5_000);
const START: ClockTime = ClockTime::from_millis(100_000);

fn domain(name: &str) -> DomainId {
    DomainId::from_name(name)
}

fn point(era: u64, revision: u64) -> StorePoint {
    StorePoint::new(era, revision)
}

fn times() -> EvacuationTimes {
    EvacuationTimes::choose(BOUND, VmId(63))
}

fn report(names: &[&str], point: StorePoint, age_millis: Option<u64>) -> EvacuationReport {
    EvacuationReport { domains: names.iter().map(|name| domain(name)).collect(), point, age_millis }
}

/// A table that listed these domains.
fn listed(names: &[&str], point: StorePoint) -> EvacuationTable {
    let mut table = EvacuationTable::default();
    table.apply_list(START, START, point, names.iter().copied());
    table
}

fn began(changes: &[EvacuationChange], begins: bool) -> Vec<DomainId> {
    let found = changes.iter().filter(|change| change.begins == begins);
    found.map(|change| change.domain).collect()
}

#[test]
fn a_list_evacuates_domains_and_a_later_one_ends_it() {
    let mut table = listed(&["a", "b"], point(0, 5));
    let evacuated = (table.contains(domain("a")), table.contains(domain("c")));

    let changes = table.apply_list(START, START, point(0, 6), ["b"].into_iter());

    assert_eq!(evacuated, (true, false));
    assert!(!table.contains(domain("a")) && table.contains(domain("b")));
    assert_eq!(began(&changes, false), [domain("a")]);
    assert_eq!(changes[0].name.as_deref(), Some("a"));
}

#[test]
fn changes_add_and_remove_domains() {
    let mut table = listed(&["a"], point(0, 5));
    let events = [("b", false), ("a", true), ("c", false), ("c", true)];

    let changes = table.apply_changes(START, START, point(0, 9), events.into_iter());

    assert_eq!(
        (began(&changes, true), began(&changes, false)),
        (vec![domain("b")], vec![domain("a")])
    );
    assert_eq!(table.point(), Some(point(0, 9)));
}

/// Guards against an evacuation that ends because a report or an answer was late.
#[test]
fn a_set_as_of_the_same_or_an_earlier_point_changes_nothing() {
    let mut table = listed(&["a"], point(1, 5));
    for (names, at) in [(&["b"][..], point(1, 5)), (&[][..], point(1, 4)), (&[], point(0, 900))] {
        let reported = table.apply_report(START, &report(names, at, Some(0)));
        let list = table.apply_list(START, START, at, names.iter().copied());
        assert_eq!((reported, list), (vec![], vec![]), "{at}");
    }
    assert!(table.contains(domain("a")) && !table.contains(domain("b")));
}

/// Guards against points that are compared by their revisions, which fall when the store is restored.
#[test]
fn a_set_of_a_later_era_replaces_one_with_a_higher_revision() {
    let mut table = listed(&["a"], point(1, 900));

    let changes = table.apply_report(START, &report(&["b"], point(2, 3), None));

    assert_eq!(
        (began(&changes, true), began(&changes, false)),
        (vec![domain("b")], vec![domain("a")])
    );
}

/// Guards against a router that heard of an evacuation from a peer and does not obey because the store
/// never confirmed it to that peer.
#[test]
fn what_a_peer_only_heard_of_is_obeyed_and_confirms_nothing() {
    let mut table = EvacuationTable::default();

    table.apply_report(START, &report(&["a"], point(0, 5), None));

    assert!(table.contains(domain("a")));
    assert_eq!(table.choose_read(START, false, times()), ReadDecision::Read);
}

#[test]
fn a_router_reads_the_store_once_no_report_confirmed_its_set_for_a_while() {
    let mut table = EvacuationTable::default();
    table.apply_report(START, &report(&[], point(0, 5), Some(300)));
    let age = times().maximum_age;
    let at = |millis| START.plus_millis(millis);

    let decisions = [0, 1_000].map(|millis| table.choose_read(at(millis), false, times()));
    let later = table.choose_read(START.plus(age), false, times());

    let left = age - Duration::from_millis(300);
    assert_eq!(decisions[0], ReadDecision::Rely(left));
    assert_eq!(decisions[1], ReadDecision::Rely(left - Duration::from_millis(1_000)));
    assert_eq!(later, ReadDecision::Read);
}

/// Guards against a router that relies on itself: nobody else would read what comes next.
#[test]
fn a_router_that_is_alone_or_that_others_rely_on_reads_always() {
    let mut alone = listed(&["a"], point(0, 5));
    let first = alone.choose_read(START, false, times());
    alone.apply_report(START, &report(&["a"], point(0, 5), Some(0)));

    assert_eq!(first, ReadDecision::Read);
    assert_eq!(alone.choose_read(START, true, times()), ReadDecision::Read);
    assert!(matches!(alone.choose_read(START, false, times()), ReadDecision::Rely(_)));
}

/// Guards against routers that confirm to one another what none of them reads: each repeats what it
/// heard, and an age that is passed on loses the delay of each report.
#[test]
fn routers_that_none_reads_the_store_for_soon_read_it_themselves() {
    let mut tables = vec![listed(&[], point(0, 5)); 20];
    let first = tables[0].build_report(START).unwrap();
    tables.iter_mut().skip(1).for_each(|table| table.expire());
    tables.iter_mut().skip(1).for_each(|table| drop(table.apply_report(START, &first)));
    let age = times().maximum_age.as_millis() as u64;

    // Every router but the first, which has ended, reports each 10 ms; reports take 10 ms.
    for step in 1..=age / 10 + 1 {
        let sent = START.plus_millis(step * 10);
        let reports: Vec<_> =
            tables[1..].iter().filter_map(|table| table.build_report(sent)).collect();
        let arrived = sent.plus_millis(10);
        for table in &mut tables[1..] {
            reports.iter().for_each(|report| drop(table.apply_report(arrived, report)));
        }
    }

    let now = START.plus_millis(age + 20);
    for table in &tables[1..] {
        assert_eq!(table.choose_read(now, false, times()), ReadDecision::Read);
    }
}

/// Checks that even a router that is alone and loses an answer obeys in time: the longest time without
/// a call, a watch that is lost, and two lists, as the store client times them.
#[test]
fn the_times_leave_room_for_lost_answers_within_the_bound() {
    for vm in 0..200 {
        let EvacuationTimes { watch, maximum_age } = EvacuationTimes::choose(BOUND, VmId(vm));
        let lost_list = Duration::from_millis(350 + 60);
        let second_list = Duration::from_millis(700 + 120);
        let reports = Duration::from_millis(400);
        assert!(maximum_age + lost_list + second_list + reports < BOUND, "{maximum_age:?}");
        let lost_watch = watch + Duration::from_millis(350 + 250 + 60);
        assert!(lost_watch + second_list + reports < BOUND, "{watch:?}");
        // A set that a follower confirms is never older than this when its report arrives.
        assert!(watch + reports + Duration::from_millis(250) < maximum_age, "{maximum_age:?}");
    }
}

/// Guards against routers that all read the store at the same moment when its followers end.
#[test]
fn routers_wait_for_different_times() {
    let ages: std::collections::BTreeSet<Duration> =
        (0..60).map(|vm| EvacuationTimes::choose(BOUND, VmId(vm)).maximum_age).collect();

    assert!(ages.len() > 50, "{}", ages.len());
    let largest = Duration::from_millis(600_000);
    for bound in [Duration::from_millis(1), BOUND, largest] {
        let EvacuationTimes { watch, maximum_age } = EvacuationTimes::choose(bound, VmId(7));
        assert!(watch >= Duration::from_millis(200) && maximum_age >= watch, "{bound:?}");
        assert!(maximum_age <= Duration::from_millis(3_000), "{bound:?}");
    }
}

/// Guards against a report that does not fit a datagram, and one that leaves some domains out.
#[test]
fn a_report_has_all_domains_or_says_nothing() {
    let names: Vec<String> =
        (0..=MAX_REPORTED_DOMAINS).map(|number| format!("z-{number}")).collect();
    let mut table = EvacuationTable::default();
    let most = names.iter().skip(1).map(String::as_str);
    table.apply_list(START, START, point(0, 5), most);

    let reported = table.build_report(START).unwrap();
    table.apply_list(START, START, point(0, 6), names.iter().map(String::as_str));

    assert_eq!(reported.domains.len(), MAX_REPORTED_DOMAINS);
    assert_eq!(table.build_report(START), None);
    assert_eq!(table.len(), MAX_REPORTED_DOMAINS + 1);
}

/// Guards against a router that reports or relies on what it knew before its process was paused.
#[test]
fn after_a_pause_of_the_process_the_set_holds_and_must_be_confirmed_again() {
    let mut table = listed(&["a"], point(0, 5));
    table.apply_report(START, &report(&["a"], point(0, 5), Some(0)));

    table.expire();

    assert!(table.contains(domain("a")));
    assert_eq!(table.choose_read(START, false, times()), ReadDecision::Read);
    assert_eq!(table.build_report(START).unwrap().age_millis, None);
}

/// Guards against calls without pause, and against ages below zero, if time does not pass or an answer
/// counts from before the start of the router.
#[test]
fn a_clock_that_stands_still_and_an_age_before_the_start_do_no_harm() {
    let mut table = EvacuationTable::default();
    let early = report(&["a"], point(0, 5), Some(u64::MAX));
    table.apply_report(ClockTime::ZERO, &early);
    for _ in 0..100 {
        table.apply_report(START, &report(&["a"], point(0, 5), Some(0)));
        assert_eq!(
            table.choose_read(START, false, times()),
            ReadDecision::Rely(times().maximum_age)
        );
        assert_eq!(table.build_report(START).unwrap().age_millis, None);
    }
    assert_eq!(
        table.choose_read(ClockTime::ZERO, false, times()),
        ReadDecision::Rely(times().maximum_age)
    );
}

#[test]
fn the_first_request_kept_away_is_recognized_for_each_evacuation() {
    let mut table = listed(&["a"], point(0, 5));

    let first = table.record_kept_away(START.plus_millis(70), domain("a"));
    let second = table.record_kept_away(START.plus_millis(80), domain("a"));
    table.apply_list(START, START, point(0, 6), [].into_iter());
    let ended = table.record_kept_away(START, domain("a"));
    table.apply_list(START, START, point(0, 7), ["a"].into_iter());
    let again = table.record_kept_away(START, domain("a"));

    assert_eq!([first, second, ended, again], [Some(70), None, None, Some(0)]);
}
