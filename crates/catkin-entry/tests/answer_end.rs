//! Decides without a network whether an answer that ended with its connection is complete.

use catkin_entry::{EndFault, ServerCheck, UnframedEnd, find_end_fault};

/// Creates the end of an answer with a body.
fn end_of(check: Option<ServerCheck>, is_leaving: bool) -> UnframedEnd {
    UnframedEnd { needs_body: true, has_body: true, is_leaving, check }
}

/// Guards against a success without a body of a server that stopped behind the head of its answer.
#[test]
fn an_answer_without_a_body_is_broken_off() {
    for check in [None, Some(ServerCheck::Listening), Some(ServerCheck::Gone)] {
        let end = UnframedEnd { has_body: false, ..end_of(check, false) };

        assert_eq!(find_end_fault(&end), Some(EndFault::Empty));
    }
}

/// Guards against a part of an answer that looks whole because its server ended.
#[test]
fn an_answer_of_a_server_that_ended_is_broken_off() {
    let end = end_of(Some(ServerCheck::Gone), false);

    assert_eq!(find_end_fault(&end), Some(EndFault::ServerEnded));
}

/// Guards against refusals in place of whole answers: a server that leaves refuses connections and ends what it
/// runs.
#[test]
fn an_answer_of_a_server_that_leaves_is_complete() {
    let end = end_of(Some(ServerCheck::Gone), true);

    assert_eq!(find_end_fault(&end), None);
}

/// Guards against answers that are lost because their servers can't be checked.
#[test]
fn an_answer_of_a_server_that_runs_or_is_not_checked_is_complete() {
    for check in [None, Some(ServerCheck::Listening), Some(ServerCheck::Silent)] {
        assert_eq!(find_end_fault(&end_of(check, false)), None);
    }
}

/// Guards against a part of a failure that looks whole because its server ended, also behind the head.
#[test]
fn a_failure_of_a_server_that_ended_is_broken_off_and_one_without_a_body_is_complete() {
    for has_body in [false, true] {
        let failure = |check| UnframedEnd { needs_body: false, has_body, ..end_of(check, false) };

        let ended = find_end_fault(&failure(Some(ServerCheck::Gone)));
        let runs = find_end_fault(&failure(Some(ServerCheck::Listening)));

        assert_eq!((ended, runs), (Some(EndFault::ServerEnded), None));
    }
}
