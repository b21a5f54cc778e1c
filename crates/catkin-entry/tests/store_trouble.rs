//! How long servers whose entries are missing are used after failed calls to the store.

use catkin_base::ClockTime;
use catkin_entry::{MISSING_GRACE_MILLIS, StoreTrouble};
use proptest::prelude::*;

const CONTACT_MILLIS: u64 = 3_000;
/// Time for which a server serves after the store has removed its entry.
const SERVES_MILLIS: u64 = 2_000;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Until when a server is used that an answer at `heard` lacks.
fn use_until(trouble: &StoreTrouble, heard: u64) -> ClockTime {
    trouble.missing_until(at(heard), CONTACT_MILLIS).unwrap_or(at(heard))
}

#[test]
fn without_a_failed_call_a_missing_server_is_gone() {
    let mut trouble = StoreTrouble::default();
    trouble.record_answer(at(5));

    assert_eq!(trouble.missing_until(at(10), CONTACT_MILLIS), None);
}

/// Guards against requests to a server that left while the watches of all routers were silent: a watch that was sent
/// at 0, silent since then, timed out at 2,000, and the next list lacks the server, whose entry was removed at 1,200.
#[test]
fn a_server_is_gone_that_was_removed_while_a_connection_was_silent() {
    let mut trouble = StoreTrouble::default();
    trouble.record_failure(at(0));
    trouble.record_answer(at(2_020));

    assert!(use_until(&trouble, 2_020) <= at(CONTACT_MILLIS));
    assert_eq!(trouble.missing_until(at(2_600), CONTACT_MILLIS), None);
}

/// Guards against servers that are dropped at once although the store has just returned, and they register again.
#[test]
fn servers_are_used_while_they_register_again_after_an_outage() {
    let mut trouble = StoreTrouble::default();
    for failed in [1_000, 2_000, 4_000] {
        trouble.record_failure(at(failed));
    }
    assert!(trouble.record_answer(at(4_400)));
    assert!(!trouble.record_answer(at(4_900)));

    assert_eq!(
        trouble.missing_until(at(5_000), CONTACT_MILLIS),
        Some(at(4_400 + MISSING_GRACE_MILLIS))
    );
    assert_eq!(trouble.missing_until(at(6_400), CONTACT_MILLIS), None);
}

proptest! {
    /// Guards against requests to a server that left, however late a router hears of it and however long its calls
    /// failed before: it is used no longer than it serves, or than the disruption excuses.
    #[test]
    fn a_removed_server_is_used_no_longer_than_it_serves_or_the_disruption_excuses(
        failures in prop::collection::vec((0..4_000_u64, 0..2_800_u64), 1..6),
        answer_delay in 0..2_000_u64,
        removed_after in 0..9_000_u64,
        heard_after in 0..9_000_u64,
    ) {
        let mut trouble = StoreTrouble::default();
        let mut now = 0;
        let mut sent = 0;
        for (delay, timeout) in failures {
            sent = now + delay;
            trouble.record_failure(at(sent));
            now = sent + timeout;
        }
        let answered = now + answer_delay;
        trouble.record_answer(at(answered));
        // The store may have been in reach again at any time since the last call was sent.
        let removed = sent + removed_after;
        let heard = answered.max(removed) + heard_after;

        let until = use_until(&trouble, heard);

        let excused = (removed + SERVES_MILLIS).max(sent + CONTACT_MILLIS);
        prop_assert!(until <= at(excused.max(heard)), "{until:?} {excused} {heard}");
    }
}
