//! Tests of what a router knows of crashes, and of what it changes in the store because of them.

use std::collections::BTreeSet;

use catkin_base::{ClockTime, PartKey, RequestDigest, ServerId, VmId};
use catkin_entry::{CrashBook, CrashSource, QuarantineKey, StrikeEffect};
use catkin_policy::{CrashEvidence, CrashObservation, PartVerdict, QuarantinedPart};

const CONTENT: RequestDigest = RequestDigest(7);
const PART: PartKey = PartKey(3);
const OTHER_ROUTER: CrashSource = CrashSource::Router(VmId(2));

fn at_millis(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

fn crash(millis: u64, server: u64) -> CrashObservation {
    CrashObservation {
        server: ServerId(server),
        parts: vec![PART],
        evidence: CrashEvidence::Certain,
        seen: at_millis(millis),
    }
}

/// Records three crashes under the part, from these sources; the last one is at 2,000 ms.
fn book_with_crashes(sources: [CrashSource; 3]) -> CrashBook {
    let mut book = CrashBook::default();
    for (number, source) in sources.into_iter().enumerate() {
        let millis = number as u64 * 1_000;
        book.record_crash(at_millis(millis), &crash(millis, number as u64), source);
    }
    book
}

#[test]
fn a_request_with_a_quarantined_part_is_refused() {
    let mut book = book_with_crashes([CrashSource::Local, OTHER_ROUTER, OTHER_ROUTER]);

    let refused = book.decide(at_millis(2_100), CONTENT, &[PART], |_| 0);
    let other = book.decide(at_millis(2_100), CONTENT, &[PartKey(4)], |_| 0);

    assert_eq!(refused, Err(QuarantineKey::Part(PART)));
    assert_eq!(other, Ok(PartVerdict::Allowed));
}

#[test]
fn whole_content_is_refused_after_three_servers() {
    let mut book = CrashBook::default();
    for server in 0..3 {
        let now = at_millis(server);
        book.record_strike(now, CONTENT, ServerId(server), CrashSource::Local);
    }

    let verdict = book.decide(at_millis(10), CONTENT, &[], |_| 0);

    assert_eq!(verdict, Err(QuarantineKey::Content(CONTENT)));
}

#[test]
fn strikes_against_content_that_was_answered_lately_do_not_count() {
    let mut book = CrashBook::default();
    book.record_content_answer(at_millis(0), CONTENT);

    let effect = book.record_strike(at_millis(500), CONTENT, ServerId(1), OTHER_ROUTER);

    assert_eq!(effect, StrikeEffect::Refuted);
}

/// Guards against a write to the store by each router of a large fleet.
#[test]
fn only_routers_that_saw_a_crash_store_a_quarantine() {
    let mut seen = book_with_crashes([CrashSource::Local, OTHER_ROUTER, OTHER_ROUTER]);
    let mut heard = book_with_crashes([OTHER_ROUTER; 3]);

    let (stored, _) = seen.drain_store_changes();
    let (not_stored, _) = heard.drain_store_changes();

    assert_eq!(stored, BTreeSet::from([QuarantineKey::Part(PART)]));
    assert_eq!(not_stored, BTreeSet::new());
}

/// Guards against a sound part that stays in the store and is refused again by routers that start.
#[test]
fn a_stored_part_that_is_answered_is_removed_from_the_store() {
    let mut book = book_with_crashes([CrashSource::Local; 3]);
    book.drain_store_changes();
    book.record_stored(QuarantineKey::Part(PART));

    book.record_part_answer(at_millis(3_000), &[PART]);

    let (_, removed) = book.drain_store_changes();
    assert_eq!(removed, BTreeSet::from([QuarantineKey::Part(PART)]));
}

#[test]
fn a_part_that_the_store_has_is_refused_and_not_stored_again() {
    let mut book = CrashBook::default();
    let quarantine = QuarantinedPart {
        part: PART,
        together: vec![PART],
        holds: 1,
        hold_millis: u64::MAX,
        on_trial: false,
    };

    book.record_quarantine(at_millis(0), &quarantine, CrashSource::Store);

    assert!(book.is_refused(at_millis(100), CONTENT, &[PART]));
    assert!(!book.has_store_changes());
}
