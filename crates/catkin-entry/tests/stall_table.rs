//! Tells measured times of servers from those for which this process stood still.

use catkin_base::ClockTime;
use catkin_entry::StallTable;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Creates the table of a process that ran until `stalled` and again from `resumed` to `ended`.
fn stalled_table(stalled: u64, resumed: u64, ended: u64) -> StallTable {
    let mut table = StallTable::new(at(0));
    let beats = (50..=stalled).step_by(50).chain((resumed..=ended).step_by(50));
    beats.for_each(|beat| table.record_beat(at(beat)));
    table
}

/// Guards against servers that count as slow because this process read their answers late.
#[test]
fn times_measured_while_the_process_stood_still_are_distorted() {
    let table = stalled_table(1_000, 1_400, 2_000);

    assert!(table.is_distorted(at(1_405), at(1_000)));
    assert!(table.is_distorted(at(1_500), at(1_300)));
}

/// Guards against a measurement that ends before the process knows that it stood still.
#[test]
fn a_time_that_ends_with_a_stall_is_distorted_before_the_next_beat() {
    let table = stalled_table(1_000, 5_000, 4_000);

    assert!(table.is_distorted(at(1_400), at(1_000)));
}

#[test]
fn times_without_a_stall_or_much_longer_than_one_are_sound() {
    let table = stalled_table(1_000, 1_400, 4_000);

    assert!(!table.is_distorted(at(1_000), at(200)));
    assert!(!table.is_distorted(at(1_640), at(1_405)));
    assert!(!table.is_distorted(at(3_900), at(900)));
}
