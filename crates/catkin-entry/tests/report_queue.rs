//! Tests of the items to be reported to other routers.

use catkin_base::{RequestDigest, ServerId};
use catkin_entry::{ReportQueue, Strike};

fn strike(number: u64) -> Strike {
    (RequestDigest(number), ServerId(number))
}

/// Guards against a strike that no other router learns of because one datagram was lost.
#[test]
fn each_strike_is_in_three_reports() {
    let mut queue = ReportQueue::default();
    queue.push(strike(1));
    queue.push(strike(1));

    let reports: Vec<usize> = (0..4).map(|_| queue.next_batch(8).len()).collect();

    assert_eq!(reports, [1, 1, 1, 0]);
    assert!(queue.is_empty());
}

#[test]
fn strikes_that_exceed_a_report_are_sent_before_repeated_ones() {
    let mut queue = ReportQueue::default();
    for number in 1..=3 {
        queue.push(strike(number));
    }

    let first = queue.next_batch(2);
    let second = queue.next_batch(2);

    assert_eq!(first, [strike(1), strike(2)]);
    assert_eq!(second, [strike(3), strike(1)]);
}
