//! Tests of the software versions at which streams began.

use catkin_base::{ClockTime, VmId};
use catkin_entry::{
    OriginBook, ResumeChoice, ServiceVersions, SoftwareKey, StreamKey, choose_asked_keepers,
    choose_keepers, tells_joining,
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

fn services(versions: &[&str]) -> ServiceVersions {
    let versions = versions.iter().map(|version| software(version)).collect();
    ServiceVersions::from([(SERVICE.to_owned(), versions)])
}

#[test]
fn a_stream_of_unknown_origin_goes_on_while_there_is_one_version() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1", "v1"]);

    let choice = book.choose_resume(at(31_000), SERVICE, Some(stream(1)), false);

    assert_eq!(choice, ResumeChoice::OnlyVersion(software("v1")));
}

/// Guards against a stream that goes on at the new version after the last server of the old one was
/// replaced.
#[test]
fn a_version_counts_for_as_long_as_its_streams_may_last() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);

    record_versions(&mut book, at(29_000), &["v2"]);
    let soon = book.choose_resume(at(31_000), SERVICE, Some(stream(1)), false);
    record_versions(&mut book, at(31_000), &["v2"]);
    let later = book.choose_resume(at(31_000), SERVICE, Some(stream(1)), false);

    assert_eq!(soon, ResumeChoice::EarlierVersion(software("v1")));
    assert_eq!(later, ResumeChoice::OnlyVersion(software("v2")));
}

#[test]
fn a_known_stream_goes_on_only_at_its_version() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1", "v2"]);
    book.record_stream(at(1), stream(1), software("v1"));
    book.record_reported(at(2), stream(1), software("v2"));

    let known = book.choose_resume(at(31_000), SERVICE, Some(stream(1)), false);
    let unstated = book.choose_resume(at(31_000), SERVICE, None, false);

    assert_eq!(known, ResumeChoice::OnlyVersion(software("v1")));
    assert_eq!(unstated, ResumeChoice::Unknown);
}

/// Guards against streams that began before a second version appeared and that no other router can
/// resume then.
#[test]
fn all_origins_are_sent_once_a_second_version_appears() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);
    book.record_stream(at(1), stream(1), software("v1"));
    let single = book.unsent_origins();

    record_versions(&mut book, at(2), &["v1", "v2"]);
    book.record_reported(at(3), stream(2), software("v2"));
    let mixed = book.unsent_origins();
    book.record_stream(at(4), stream(3), software("v2"));
    let next = book.unsent_origins();

    assert!(single.is_empty());
    assert_eq!(mixed.len(), 2);
    assert_eq!(next, [(stream(3), software("v2"))]);
}

#[test]
fn the_routers_that_are_asked_include_those_that_were_told() {
    for count in [6, 12, 195] {
        let routers: Vec<VmId> = (1..=count).map(VmId).collect();

        let told = choose_keepers(stream(1), &routers);
        let asked = choose_asked_keepers(stream(1), &routers[1..]);

        let found = told.iter().filter(|vm| asked.contains(vm)).count();
        assert!(found + 1 >= told.len(), "{count} routers");
        assert!(asked.len() <= 12);
    }
}

/// Guards against streams joined at a router that joins: the store did not have the latest version yet, of which
/// the other routers knew.
#[test]
fn versions_that_the_store_or_another_router_knows_count() {
    let mut book = OriginBook::after_restart(at(0));
    record_versions(&mut book, at(0), &["v1"]);
    let mut told = book.clone();
    told.record_told_versions(at(1), &services(&["v1"]));

    book.record_stored_versions(at(1), Some(&services(&["v1"])));
    let stored_only = book.choose_resume(at(2), SERVICE, Some(stream(1)), false);
    book.record_told_versions(at(3), &services(&["v1", "v2"]));
    let both = book.choose_resume(at(4), SERVICE, Some(stream(1)), false);
    let told_only = told.choose_resume(at(4), SERVICE, Some(stream(1)), false);
    told.record_stored_versions(at(5), Some(&services(&["v1", "v2"])));
    let stored_later = told.choose_resume(at(6), SERVICE, Some(stream(1)), false);

    assert_eq!(stored_only, ResumeChoice::OnlyVersion(software("v1")));
    assert_eq!(told_only, ResumeChoice::OnlyVersion(software("v1")));
    assert_eq!([both, stored_later], [ResumeChoice::Unknown; 2]);
}

/// Guards against streams that are lost at a router that joins: each of those that are asked later is told by some,
/// even if the tellers disagree on one that is alive.
#[test]
fn a_router_that_joins_is_told_by_some_others() {
    for count in [2, 6, 12, 195] {
        let others: Vec<VmId> = (2..=count).map(VmId).collect();
        let joining = VmId(1);
        let all: Vec<VmId> = others.iter().copied().chain([joining]).collect();
        for key in (0..100).map(stream) {
            let tellers = others.iter().filter(|vm| tells_joining(key, **vm, joining, &others));
            let tellers = tellers.count();

            let is_keeper = choose_keepers(key, &all).contains(&joining);
            let expected = if is_keeper { others.len().min(3) } else { 0 };
            assert_eq!(tellers, expected, "{count} routers");
        }
    }
}

#[test]
fn origins_are_told_to_a_router_that_joins_while_several_versions_serve() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);
    book.record_stream(at(1), stream(1), software("v1"));
    let single = book.latest_origins();

    record_versions(&mut book, at(2), &["v2"]);
    book.record_reported(at(3), stream(2), software("v2"));
    let mixed = book.latest_origins();

    assert_eq!(single, []);
    assert_eq!(mixed, [(stream(2), software("v2")), (stream(1), software("v1"))]);
}

/// Guards against streams that begin at a version that the store does not name, while others serve: after a loss of
/// all routers they would be taken for those of the version before.
#[test]
fn a_new_version_is_pending_until_the_store_names_it_but_not_for_long() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);
    let pending = |book: &OriginBook, millis| book.pending_versions(at(millis), SERVICE);
    let only = pending(&book, 1);
    record_versions(&mut book, at(500), &["v1", "v2"]);
    let mut stored = book.clone();
    stored.mark_stored(&services(&["v1", "v2"]));
    let mut reported = book.clone();

    let is_news = reported.mark_reported_stored(&stored.stored_digests(at(600)));

    assert_eq!(only, []);
    assert_eq!(pending(&book, 500), [software("v2")]);
    assert_eq!(pending(&book, 8_499), [software("v2")]);
    assert_eq!(pending(&book, 8_500), []);
    assert!(is_news);
    assert_eq!(pending(&stored, 600), []);
    assert_eq!(pending(&reported, 600), []);
}

/// Guards against a router that starts and begins no streams, as all versions are new to it.
#[test]
fn versions_that_a_router_lists_at_its_start_are_pending_only_beside_stored_ones() {
    let mut book = OriginBook::after_restart(at(0));
    record_versions(&mut book, at(10), &["v1", "v2"]);
    let unread = book.pending_versions(at(20), SERVICE);

    book.record_stored_versions(at(20), Some(&services(&["v1"])));
    let read = book.pending_versions(at(30), SERVICE);

    assert_eq!(unread, []);
    assert_eq!(read, [software("v2")]);
}

/// Guards against streams of the only version that are lost at routers that nobody told where they began, since a second
/// version appeared.
#[test]
fn an_unknown_stream_began_at_the_version_that_served_alone_before() {
    let mut book = OriginBook::default();
    record_versions(&mut book, at(0), &["v1"]);
    record_versions(&mut book, at(1_000), &["v1", "v2"]);
    let choose = |book: &OriginBook, key, is_doubtful| {
        book.choose_resume(at(40_000), SERVICE, key, is_doubtful)
    };
    let mut three = book.clone();
    record_versions(&mut three, at(1_500), &["v3"]);

    let earlier = ResumeChoice::EarlierVersion(software("v1"));
    assert_eq!(choose(&book, Some(stream(1)), false), earlier);
    assert_eq!(choose(&three, Some(stream(1)), false), earlier);
    assert_eq!(choose(&book, Some(stream(1)), true), ResumeChoice::Unknown);
    assert_eq!(choose(&book, None, false), ResumeChoice::Unknown);
}

/// Guards against streams joined at a router that can't know which version was there first.
#[test]
fn no_version_served_alone_before_if_others_may_have_been_there_at_the_start() {
    let start = || {
        let mut book = OriginBook::after_restart(at(0));
        record_versions(&mut book, at(10), &["v1"]);
        book
    };
    let mut together = start();
    record_versions(&mut together, at(900), &["v2"]);
    let mut stored = start();
    stored.record_stored_versions(at(2_000), Some(&services(&["v1", "v2"])));
    let mut told = start();
    told.record_told_versions(at(2_000), &services(&["v2"]));

    for mut book in [together, stored, told] {
        record_versions(&mut book, at(29_000), &["v1", "v2"]);
        let choice = book.choose_resume(at(31_000), SERVICE, Some(stream(1)), false);
        assert_ne!(choice, ResumeChoice::EarlierVersion(software("v1")));
    }
}
