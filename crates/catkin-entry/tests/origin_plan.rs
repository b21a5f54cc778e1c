//! Tests of what routers write to the store of the versions at which streams began.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, VmId};
use catkin_entry::{
    OriginBook, OriginPlan, OriginRecord, OriginWrite, ResumeChoice, SoftwareKey, StreamKey,
    WriterCandidate, WriterStanding, choose_origin_writer,
};

const SERVICE: &str = "s";

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn stream(number: u64) -> StreamKey {
    StreamKey::from_request(format!("r-{number}").as_bytes())
}

fn software(name: &str) -> SoftwareKey {
    SoftwareKey::from_name(name)
}

fn record_versions(book: &mut OriginBook, now: ClockTime, versions: &[&str]) {
    book.record_versions(now, versions.iter().map(|version| (SERVICE, software(version))));
}

fn services(versions: &[&str]) -> BTreeMap<String, BTreeSet<SoftwareKey>> {
    BTreeMap::from([(SERVICE.to_owned(), versions.iter().map(|name| software(name)).collect())])
}

/// A plan of a router after it wrote these versions.
fn plan_with(versions: &[&str]) -> OriginPlan {
    OriginPlan::new(at(0), Some(services(versions)), None)
}

fn written_streams(write: Option<OriginWrite>) -> BTreeSet<StreamKey> {
    match write {
        Some(OriginWrite::Origins(streams)) => streams.into_values().flatten().collect(),
        other => panic!("{other:?} writes no origins"),
    }
}

#[test]
fn one_version_is_written_once_and_no_stream_of_it() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);
    book.record_stream(at(1), stream(1), software("v1"));

    let first = OriginPlan::new(at(1), None, None).choose_write(at(1), &book);
    let later = plan_with(&["v1"]).choose_write(at(2_000), &book);

    let expected = OriginWrite::Versions(services(&["v1"]));
    assert_eq!((first, later), (Some(expected), None));
}

#[test]
fn a_list_without_servers_changes_no_versions() {
    let write = plan_with(&["v1"]).choose_write(at(0), &OriginBook::default());

    assert_eq!(write, None);
}

/// Guards against a router that does not know yet which versions there were and removes them from the
/// store.
#[test]
fn versions_are_written_only_by_a_book_that_lacks_none() {
    let mut book = OriginBook::after_restart(at(0));
    record_versions(&mut book, at(0), &["v2"]);

    let early = plan_with(&["v1"]).choose_write(at(100), &book);
    let unreadable = OriginPlan::new(at(0), None, None);
    let early_unreadable = unreadable.choose_write(at(100), &book);
    let late_unreadable = unreadable.choose_write(at(30_000), &book);

    assert_eq!((early, early_unreadable), (None, None));
    assert_eq!(late_unreadable, Some(OriginWrite::Versions(services(&["v2"]))));
}

#[test]
fn streams_are_written_at_intervals_while_several_versions_serve() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1", "v2"]);
    let mut plan = plan_with(&["v1", "v2"]);
    book.record_stream(at(1), stream(1), software("v1"));

    let first = written_streams(plan.choose_write(at(2), &book));
    plan.record_origins(at(2), &BTreeMap::from([(software("v1"), vec![stream(1)])]));
    let unchanged = plan.choose_write(at(900), &book);
    book.record_reported(at(3), stream(2), software("v2"));
    let early = plan.choose_write(at(51), &book);
    let due = plan.choose_write(at(52), &book);

    assert_eq!(first, BTreeSet::from([stream(1)]));
    assert_eq!((unchanged, early), (None, None));
    let latest = BTreeMap::from([(software("v2"), vec![stream(2)])]);
    assert_eq!(due, Some(OriginWrite::Recent(latest)));
}

/// Guards against streams that end before the store has their origins: half of those that are resumed must
/// go on, however short they are.
#[test]
fn streams_are_written_within_fifty_milliseconds() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1", "v2"]);
    let mut plan = plan_with(&["v1", "v2"]);
    plan.record_origins(at(0), &BTreeMap::new());
    book.record_stream(at(0), stream(1), software("v1"));

    let early = plan.choose_write(at(49), &book);
    let due = plan.choose_write(at(50), &book);

    assert_eq!(early, None);
    assert_eq!(written_streams(due), BTreeSet::from([stream(1)]));
}

/// Guards against origins that are lost when all routers end twice in a row.
#[test]
fn what_an_earlier_process_wrote_is_written_again_for_a_while() {
    let mut book = OriginBook::default();
    let own = OriginRecord {
        streams: BTreeMap::from([(software("v1"), vec![stream(1)])]),
        written_unix_millis: 0,
    };
    let versions = Some(services(&["v1", "v2"]));
    let plan = OriginPlan::new(at(1_000), versions, Some(own));

    record_versions(&mut book, at(1_000), &["v1", "v2"]);
    book.record_stream(at(1_000), stream(2), software("v2"));
    let soon = written_streams(plan.choose_write(at(2_000), &book));
    record_versions(&mut book, at(31_500), &["v1", "v2"]);
    book.record_stream(at(31_500), stream(3), software("v2"));
    let later = written_streams(plan.choose_write(at(31_600), &book));

    assert_eq!(soon, BTreeSet::from([stream(1), stream(2)]));
    assert_eq!(later, BTreeSet::from([stream(3)]));
}

/// Guards against streams that go on anywhere at a router that does not know yet which versions there
/// were.
#[test]
fn no_stream_goes_on_until_the_earlier_versions_are_known() {
    let mut unread = OriginBook::after_restart(at(0));
    record_versions(&mut unread, at(0), &["v2"]);
    let stored = |versions| {
        let mut book = unread.clone();
        book.record_stored_versions(at(100), Some(&services(versions)));
        book
    };
    let mut unstored = unread.clone();
    unstored.record_stored_versions(at(100), None);
    let choose =
        |book: &OriginBook, now| book.choose_resume(at(now), SERVICE, Some(stream(1)), false);

    assert_eq!(choose(&unread, 100), ResumeChoice::Unknown);
    assert_eq!(choose(&stored(&["v2"]), 100), ResumeChoice::OnlyVersion(software("v2")));
    assert_eq!(choose(&stored(&["v1"]), 100), ResumeChoice::LikelyVersion(software("v1")));
    assert_eq!(choose(&stored(&["v1", "v2"]), 100), ResumeChoice::Unknown);
    assert_eq!(choose(&unstored, 100), ResumeChoice::LikelyVersion(software("v2")));
    assert_eq!(choose(&unread, 30_000), ResumeChoice::OnlyVersion(software("v2")));
}

/// Guards against streams that go on at an old version at a router that has not listed the new one.
#[test]
fn a_router_with_an_old_list_asks_others() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);

    let outdated = book.choose_resume(at(1), SERVICE, Some(stream(1)), true);
    let unlisted = OriginBook::default().choose_resume(at(1), SERVICE, Some(stream(1)), false);

    assert_eq!(outdated, ResumeChoice::LikelyVersion(software("v1")));
    assert_eq!(unlisted, ResumeChoice::Unknown);
}

#[test]
fn stored_origins_count_until_their_streams_have_ended() {
    let mut book = OriginBook::after_restart(at(0));
    book.record_stored_versions(at(0), Some(&services(&["v1", "v2"])));
    book.record_stored_origins(
        at(0),
        [(stream(2), software("v2")), (stream(1), software("v1"))].into_iter(),
    );

    let found = book.find(stream(1));
    record_versions(&mut book, at(30_000), &["v1", "v2"]);

    assert_eq!(found, Some(software("v1")));
    assert_eq!(book.find(stream(1)), None);
}

#[test]
fn routers_that_know_one_another_agree_on_one_writer() {
    let candidates = (1..=66).map(|vm| WriterCandidate {
        vm: VmId(vm),
        standing: WriterStanding::Able,
        strength: 3 + vm as u32 % 2,
    });
    let candidates: Vec<_> = candidates.collect();

    let writer = choose_origin_writer(candidates.iter().copied());
    let reversed = choose_origin_writer(candidates.iter().rev().copied());

    assert_eq!(writer, reversed);
    let strength = |vm| candidates.iter().find(|candidate| candidate.vm == vm).unwrap().strength;
    assert_eq!(writer.map(strength), Some(4));
}

/// Guards against origins that nobody writes while all routers are being stopped, or have failed calls behind them.
#[test]
fn the_router_with_the_best_standing_writes() {
    let standings = [
        WriterStanding::Refused,
        WriterStanding::Incomplete,
        WriterStanding::Stopping,
        WriterStanding::Able,
    ];
    let candidates = standings.into_iter().zip(1..).map(|(standing, vm)| WriterCandidate {
        vm: VmId(vm),
        standing,
        strength: 10 - vm as u32,
    });
    let candidates: Vec<_> = candidates.collect();

    let writers = (1..=candidates.len())
        .map(|count| choose_origin_writer(candidates[..count].iter().copied()));

    assert_eq!(writers.collect::<Vec<_>>(), [1, 2, 3, 4].map(|vm| Some(VmId(vm))));
}

/// Guards against streams that are lost for long after all routers ended and the store came back from a copy, though
/// there is one version, and against joining them while other versions may be missing from the copy.
#[test]
fn versions_of_a_restored_store_count_once_servers_wrote_their_entries_again() {
    let start = |listed: &[&str]| {
        let mut book = OriginBook::after_restart(at(0));
        record_versions(&mut book, at(0), listed);
        book.record_restored_versions(at(100), &services(&["v1"]));
        book
    };
    let (same, other, both) = (start(&["v1"]), start(&["v2"]), start(&["v1", "v2"]));
    let choose =
        |book: &OriginBook, millis| book.choose_resume(at(millis), SERVICE, Some(stream(1)), false);

    assert_eq!(choose(&same, 2_500), ResumeChoice::Unknown);
    assert!(same.is_incomplete(at(2_500)));
    assert_eq!(choose(&same, 2_600), ResumeChoice::OnlyVersion(software("v1")));
    assert!(!same.is_incomplete(at(2_600)));
    assert_eq!([choose(&other, 2_600), choose(&both, 2_600)], [ResumeChoice::Unknown; 2]);
    let mut told = both;
    told.record_told_versions(at(200), &services(&["v1"]));
    assert_eq!(choose(&told, 300), ResumeChoice::LikelyVersion(software("v1")));
}

/// Guards against a main object that grows with each write while streams begin, and against streams that no object has.
#[test]
fn the_latest_streams_are_written_alone_until_they_are_many() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1", "v2"]);
    let mut plan = plan_with(&["v1", "v2"]);
    let (mut main, mut recent) = (BTreeSet::new(), BTreeSet::new());
    let (mut main_writes, mut recent_writes) = (0, 0);
    for number in 0..2_000 {
        let now = at(number * 10);
        book.record_stream(now, stream(number), software("v1"));
        match plan.choose_write(now, &book) {
            Some(OriginWrite::Origins(streams)) => {
                plan.record_origins(now, &streams);
                main = streams.into_values().flatten().collect();
                main_writes += 1;
            }
            Some(OriginWrite::Recent(streams)) => {
                plan.record_recent(now, book.latest_stream());
                recent = streams.into_values().flatten().collect();
                recent_writes += 1;
            }
            other => assert_eq!(other, None),
        }
        // A write is due every 50 ms, in which five streams begin.
        let known = main.union(&recent).count() as u64;
        assert!(known + 5 > number, "{known} of {number}");
    }

    assert!(main_writes < 30 && recent_writes > 300, "{main_writes}, {recent_writes}");
}
