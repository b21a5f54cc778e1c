//! Tests of the content that servers answered lately.

use catkin_base::{ClockTime, RequestDigest};
use catkin_entry::ServedContent;

#[test]
fn an_answer_counts_for_a_minute() {
    let mut served = ServedContent::default();
    served.record(ClockTime::from_millis(1_000), RequestDigest(1));

    let counts = [1_000, 60_999, 61_000]
        .map(|millis| served.contains(ClockTime::from_millis(millis), RequestDigest(1)));

    assert_eq!(counts, [true, true, false]);
    assert!(!served.contains(ClockTime::from_millis(1_000), RequestDigest(2)));
}

#[test]
fn the_content_answered_least_recently_is_dropped() {
    let mut served = ServedContent::default();
    let now = ClockTime::from_millis(1_000);
    served.record(now, RequestDigest(1));
    served.record(now, RequestDigest(2));
    served.record(now, RequestDigest(1));

    for other in 10..8_201 {
        served.record(now, RequestDigest(other));
    }

    assert!(served.contains(now, RequestDigest(1)));
    assert!(!served.contains(now, RequestDigest(2)));
}
