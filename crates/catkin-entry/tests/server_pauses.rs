//! Tests of the pauses that servers ask for: how they are read, and what selection and refusals make of
//! them.

use std::time::Duration;

use catkin_base::ServerId;
use catkin_entry::{
    CandidateState, LoadBounds, PauseNotice, Refusal, RefusalCause, SelectionError, SelectionQuery,
    ServerCandidate, SoftwareKey, read_pause, select_server,
};

fn candidate(server: u64, load: u32, state: CandidateState) -> ServerCandidate {
    ServerCandidate {
        server: ServerId(server),
        load,
        unread_tokens: 0,
        slots: 64,
        same_domain: true,
        cached_tokens: 0,
        cache_fill: 0.0,
        slow_factor: 1.0,
        software: SoftwareKey(1),
        is_restricted: state == CandidateState::Paused,
        state,
    }
}

fn query() -> SelectionQuery {
    SelectionQuery {
        affinity: 1,
        shared_tokens: 2_000,
        second_copy: false,
        token_millis: 0.02,
        answer_millis: 30.0,
        queue_millis: 0.0,
        spread: None,
    }
}

fn bounds() -> LoadBounds {
    LoadBounds { soft_factor: 1.6, soft_extra: 2.0, hard_factor: 1.84, hard_extra: 2.0 }
}

#[test]
fn pauses_are_decimal_seconds() {
    let cases = [("2", 2_000), (" 0.25 ", 250), ("12.5", 12_500), ("0", 0)];
    for (text, millis) in cases {
        let asked = PauseNotice::Asked(Duration::from_millis(millis));
        assert_eq!(read_pause(text.as_bytes()), asked, "{text:?}");
    }
}

/// Guards against values that are used though they are no time, or that overflow.
#[test]
fn other_values_are_no_pause() {
    let date = "Fri, 04 Dec 2026 12:00:00 GMT";
    for text in ["", "-1", "+1", "soon", "NaN", "inf", "1e3", ".", "9999999999999", date, "\u{661}"]
    {
        assert_eq!(read_pause(text.as_bytes()), PauseNotice::Unreadable, "{text:?}");
    }
}

/// Guards against a paused server that gets a request because all others are ejected or caches less.
#[test]
fn a_paused_server_is_not_selected() {
    let paused =
        ServerCandidate { cached_tokens: 2_000, ..candidate(1, 0, CandidateState::Paused) };
    for state in [CandidateState::Available, CandidateState::Ejected, CandidateState::Unreachable] {
        let selected = select_server(query(), &[paused, candidate(2, 3, state)], &bounds());
        assert_eq!(selected.unwrap().server, ServerId(2), "{state:?}");
    }
}

/// Guards against prompts that are read again because the server that caches them wants no requests.
#[test]
fn others_fetch_cached_parts_from_a_paused_server() {
    let paused =
        ServerCandidate { cached_tokens: 2_000, ..candidate(1, 0, CandidateState::Paused) };

    let selected =
        select_server(query(), &[paused, candidate(2, 0, CandidateState::Available)], &bounds());

    assert_eq!(selected.unwrap().fetch_from, Some(ServerId(1)));
}

/// Guards against servers that count as full because paused ones, with few requests, lower the mean.
#[test]
fn paused_servers_do_not_lower_the_mean() {
    let paused = (1..=6).map(|server| candidate(server, 0, CandidateState::Paused));
    let loaded = (7..=9).map(|server| candidate(server, 9, CandidateState::Available));
    let candidates: Vec<ServerCandidate> = paused.chain(loaded).collect();

    let selected = select_server(query(), &candidates, &bounds()).unwrap();

    assert_eq!(selected.mean, 9.0);
}

#[test]
fn no_server_is_selected_while_all_are_paused() {
    let candidates = [1, 2].map(|server| candidate(server, 0, CandidateState::Paused));

    let selected = select_server(query(), &candidates, &bounds());

    assert_eq!(selected, Err(SelectionError::Restricted));
}

/// Guards against callers that come back while all servers are still paused, or all at once.
#[test]
fn callers_return_after_the_first_pause_spread_over_a_second() {
    let rest = Duration::from_millis(1_500);
    let refusal = Refusal::not_run(RefusalCause::Paused(rest));
    let mut random = rand::rng();

    let times: Vec<Duration> = (0..200)
        .map(|_| refusal.retry_after(Duration::from_secs(20), &mut random).unwrap())
        .collect();

    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(*least >= rest && *most <= rest + Duration::from_millis(1_000), "{least:?} {most:?}");
    assert!(*most - *least > Duration::from_millis(500), "{least:?} {most:?}");
}

/// Guards against a time to come back that callers ignore because too little is left to them.
#[test]
fn a_caller_with_little_time_returns_before_a_long_pause_ends() {
    let refusal = Refusal::not_run(RefusalCause::Paused(Duration::from_secs(30)));

    let pause = refusal.retry_after(Duration::from_secs(8), &mut rand::rng());

    assert_eq!(pause, Some(Duration::from_secs(2)));
}
