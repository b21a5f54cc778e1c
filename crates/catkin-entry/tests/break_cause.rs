//! Decides without a network why a reused connection broke.

use std::time::Duration;

use catkin_entry::{BreakCause, ReusedBreak, ServerCheck, find_break_cause};

/// Creates the break of a connection that the server keeps open for a second.
fn broken(idle_millis: u64, checked_after_millis: u64, is_listed: bool) -> ReusedBreak {
    let idle = Duration::from_millis(idle_millis);
    let checked_after = Duration::from_millis(checked_after_millis);
    ReusedBreak { idle, kept: Duration::from_secs(1), checked_after, is_listed }
}

/// Guards against a fourth server for a request that crashes servers: the check came after the server's return.
#[test]
fn a_server_that_listens_at_a_late_check_may_have_crashed() {
    let paused = broken(200, 2_111, true);

    let cause = find_break_cause(&paused, ServerCheck::Listening);

    assert_eq!(cause, BreakCause::Unknown);
}

/// Guards against a check of another start of the server.
#[test]
fn a_server_that_listens_as_another_start_may_have_crashed() {
    let replaced = broken(200, 5, false);

    let cause = find_break_cause(&replaced, ServerCheck::Listening);

    assert_eq!(cause, BreakCause::Unknown);
}

/// Guards against sound requests that count as crashing servers because of connections that were idle.
#[test]
fn a_connection_that_the_server_may_have_closed_is_stale() {
    let timely = broken(200, 140, true);
    let idle_and_late = broken(3_000, 2_111, true);

    for found in [timely, idle_and_late] {
        assert_eq!(find_break_cause(&found, ServerCheck::Listening), BreakCause::Stale);
        assert_eq!(find_break_cause(&found, ServerCheck::Silent), BreakCause::Stale);
    }
}

#[test]
fn a_server_that_refuses_connections_crashed_however_late_the_check() {
    for late in [5, 2_111] {
        let found = broken(3_000, late, true);
        assert_eq!(find_break_cause(&found, ServerCheck::Gone), BreakCause::Crashed);
    }
}
