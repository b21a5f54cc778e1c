//! Names and labels of the router's metrics.

use catkin_backend::BackendError;
use catkin_base::{CallRefusal, hash_parts};

use crate::checked_call::CheckedCall;

/// Maximum number of label values for teams.
const MAX_TEAM_LABELS: usize = 64;

/// Ended calls, by class and outcome.
pub(crate) const CALLS_TOTAL: &str = "catkin_calls_total";
/// Attempts at backend servers, by class and outcome.
pub(crate) const ATTEMPTS_TOTAL: &str = "catkin_attempts_total";
/// Time from the start of a call to the first part of its answer in seconds, by class and team.
pub(crate) const FIRST_PART_SECONDS: &str = "catkin_first_part_seconds";
/// Time from the start of a call to the end of its answer in seconds, by class and team.
pub(crate) const ANSWER_SECONDS: &str = "catkin_answer_seconds";
/// Number of open calls.
pub(crate) const OPEN_CALLS: &str = "catkin_open_calls";
/// Bytes sent to other routers since the start.
pub(crate) const PEER_BYTES_TOTAL: &str = "catkin_peer_bytes_total";
/// Revision of the declarations in force.
pub(crate) const REVISION: &str = "catkin_revision";

/// Label value of a team: its name or, if there are more than [`MAX_TEAM_LABELS`] teams, one of
/// that many groups, so that the number of time series stays bounded.
pub(crate) fn label_team(name: &str, teams: usize) -> String {
    if teams <= MAX_TEAM_LABELS {
        return name.to_owned();
    }
    let group = hash_parts(&[name.as_bytes()]) % MAX_TEAM_LABELS as u64;
    format!("group-{group:02}")
}

/// Counts an attempt; without an error its answer has begun.
pub(crate) fn count_attempt(call: &CheckedCall, error: Option<&BackendError>) {
    let outcome = error.map_or("begun".to_owned(), |error| format!("{:?}", error.kind));
    let class = call.class_name.clone();
    metrics::counter!(ATTEMPTS_TOTAL, "class" => class, "outcome" => outcome).increment(1);
}

/// Counts a call that was answered completely.
pub(crate) fn count_completed(call: &CheckedCall) {
    let class = call.class_name.clone();
    metrics::counter!(CALLS_TOTAL, "class" => class, "outcome" => "whole").increment(1);
}

/// Counts a refused call by the reason of the refusal.
pub(crate) fn count_refusal(class: &str, refusal: &CallRefusal) {
    let outcome = refusal.reason.as_word();
    metrics::counter!(CALLS_TOTAL, "class" => class.to_owned(), "outcome" => outcome).increment(1);
}
