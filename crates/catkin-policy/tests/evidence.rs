//! Probes of servers: cache events, restarts and flapping; and admission while two routers both
//! consider themselves the owner of a server.

mod fixture;

use catkin_base::{ChatId, ClockTime};
use catkin_policy::{AdmissionOwner, CacheEvent, GrantResult, OverflowCause, ServerReport};
use fixture::{ask, chat_ask, probe, rules, server, spec, steady_load, steady_owner, vm};

const START: ClockTime = ClockTime::from_millis(10_000);
const SECOND: u64 = 1_000;

fn cached(sequence: u64, chat: u64, cached: bool) -> CacheEvent {
    CacheEvent { sequence, chat: ChatId(chat), cached }
}

fn report(incarnation: u64, event_sequence: u64, events: Vec<CacheEvent>) -> ServerReport {
    ServerReport { incarnation, event_sequence, events, ..probe(0) }
}

fn overflow_cause(result: GrantResult) -> Option<OverflowCause> {
    match result {
        GrantResult::Overflow { cause, .. } => Some(cause),
        _ => None,
    }
}

#[test]
fn cache_event_makes_a_chat_warm() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_probe(START, server(1), &report(1, 1, vec![cached(1, 7, true)]));

    let answer = owner.handle_ask(START, &chat_ask(1, 1, 7));

    assert_eq!(answer.result, GrantResult::Granted { warm: true });
}

#[test]
fn returning_chat_that_is_not_known_to_be_warm_overflows() {
    let mut owner = steady_owner(START, &[spec(1)]);

    let answer = owner.handle_ask(START, &chat_ask(1, 1, 7));

    assert_eq!(overflow_cause(answer.result), Some(OverflowCause::NotWarm));
}

#[test]
fn gap_in_cache_events_is_counted_and_repeats_are_ignored() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_probe(
        START,
        server(1),
        &report(1, 5, vec![cached(1, 7, true), cached(5, 8, true)]),
    );
    owner.record_probe(START, server(1), &report(1, 5, vec![cached(1, 9, true)]));

    let state = owner.server_states(START)[0];

    assert_eq!(state.event_gaps, 1);
    assert_eq!(state.warm_chats, 2);
    assert_eq!(owner.last_event(server(1)), 5);
}

#[test]
fn late_eviction_does_not_override_a_newer_request() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.handle_ask(START, &ask(7, 1));
    owner.record_probe(
        START.plus_millis(SECOND),
        server(1),
        &report(1, 1, vec![cached(1, 7, false)]),
    );

    assert_eq!(owner.server_states(START)[0].warm_chats, 1);
}

#[test]
fn restart_clears_the_warm_chats() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_probe(START, server(1), &report(1, 1, vec![cached(1, 7, true)]));
    owner.record_probe(START.plus_millis(SECOND), server(1), &report(2, 0, Vec::new()));

    assert_eq!(owner.server_states(START)[0].warm_chats, 0);
    assert_eq!(owner.last_event(server(1)), 0);
}

#[test]
fn failed_probes_stop_admission_until_one_is_answered() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_probe_failure(START, server(1));
    let failed = owner.handle_ask(START, &ask(1, 1)).result;
    owner.record_probe(START.plus_millis(SECOND), server(1), &probe(0));
    let answered = owner.handle_ask(START.plus_millis(SECOND), &ask(2, 1)).result;

    assert_eq!(overflow_cause(failed), Some(OverflowCause::HeldDown));
    assert_eq!(answered, GrantResult::Granted { warm: false });
}

#[test]
fn flapping_server_is_held_down_for_longer_each_time() {
    let mut owner = steady_owner(START, &[spec(1)]);
    let mut holds = Vec::new();
    for flap in 0..4 {
        let now = START.plus_millis(flap * 4 * SECOND);
        owner.record_probe_failure(now, server(1));
        owner.record_probe_failure(now, server(1));
        owner.record_probe(now, server(1), &probe(0));
        holds.push(owner.server_states(now)[0].hold_millis);
    }

    assert_eq!(holds, [0, 10_000, 20_000, 40_000]);
}

#[test]
fn joined_server_gets_one_request_until_slow_start_is_over() {
    let mut owner = AdmissionOwner::new(vm(1));
    owner.set_rules(rules());
    owner.set_owned(START, &[spec(1)]);
    owner.give_up_handover(START, server(1));
    owner.record_probe(START, server(1), &probe(0));
    owner.record_pool_load(START, &steady_load(100, 10));

    let first = owner.handle_ask(START, &ask(1, 1)).result;
    let second = owner.handle_ask(START, &ask(2, 1)).result;
    let slow_start_end = START.plus_millis(3 * SECOND);
    owner.record_pool_load(slow_start_end, &steady_load(100, 10));
    let third = owner.handle_ask(slow_start_end, &ask(3, 1)).result;

    assert_eq!(first, GrantResult::Granted { warm: false });
    assert_eq!(overflow_cause(second), Some(OverflowCause::Full));
    assert_eq!(third, GrantResult::Granted { warm: false });
}

#[test]
fn two_owners_that_see_probes_exceed_the_bound_by_at_most_one_request() {
    let mut owners = [steady_owner(START, &[spec(1)]), steady_owner(START, &[spec(1)])];
    let mut open: u32 = 0;
    let mut max_open = 0;
    let bound = 13;

    for step in 0..40 {
        let now = START.plus_millis(step * SECOND);
        for (index, owner) in owners.iter_mut().enumerate() {
            owner.record_probe(now, server(1), &probe(open));
            owner.record_pool_load(now, &steady_load(100, 10));
            let request = step * 2 + index as u64;
            let granted = matches!(
                owner.handle_ask(now, &ask(request, 1)).result,
                GrantResult::Granted { .. }
            );
            open += u32::from(granted);
        }
        max_open = max_open.max(open);
    }

    assert!(max_open <= bound + 1, "{max_open} requests on a server with bound {bound}");
}

#[test]
fn burst_at_two_owners_without_probes_stays_below_twice_the_bound() {
    let mut former = steady_owner(START, &[spec(1)]);
    let mut successor = AdmissionOwner::new(vm(2));
    successor.set_rules(rules());
    successor.set_owned(START, &[spec(1)]);
    successor.record_probe(START, server(1), &probe(0));
    for owner in [&mut former, &mut successor] {
        owner.record_pool_load(START.plus_millis(10), &steady_load(100, 10));
    }
    let now = START.plus_millis(10);

    let mut granted = 0;
    for request in 0..40 {
        for (index, owner) in [&mut former, &mut successor].into_iter().enumerate() {
            let ask = ask(request * 2 + index as u64, 1);
            granted += u32::from(matches!(
                owner.handle_ask(now, &ask).result,
                GrantResult::Granted { .. }
            ));
        }
    }

    assert!(granted < 2 * 13, "{granted} granted by two owners with a bound of 13");
}
