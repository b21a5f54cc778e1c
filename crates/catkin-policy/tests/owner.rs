//! Admission by the owner of a server.

mod fixture;

use catkin_base::{ClockTime, RefusalReason, RequestId, ServerId};
use catkin_policy::{
    GrantRefusal, GrantResult, OverflowCause, OwnerBook, OwnerPhase, PoolLoad, ReleaseOutcome,
};
use fixture::{
    ask, chat_ask, owned_book, pool, probe, release, rules, server, spec, steady_load, vm,
};

const START: ClockTime = ClockTime::from_millis(10_000);

fn result_of(book: &mut OwnerBook, now: ClockTime, request: u64) -> GrantResult {
    book.ask(now, &ask(request, 1)).result
}

fn is_granted(result: GrantResult) -> bool {
    matches!(result, GrantResult::Granted { .. })
}

#[test]
fn admits_up_to_the_bound_and_no_further() {
    let mut book = owned_book(START, &[spec(1)]);
    book.note_pool_load(START, &steady_load(100, 10));

    let granted = (0..20).filter(|request| is_granted(result_of(&mut book, START, *request)));

    assert_eq!(granted.count(), 13);
}

#[test]
fn stale_sum_lowers_the_bound() {
    let mut book = owned_book(START, &[spec(1)]);
    book.note_pool_load(START, &PoolLoad { age_millis: 10_000, ..steady_load(100, 10) });

    let granted = (0..20).filter(|request| is_granted(result_of(&mut book, START, *request)));

    assert!(granted.count() < 13);
}

#[test]
fn repeated_ask_gets_the_same_answer_and_one_grant() {
    let mut book = owned_book(START, &[spec(1)]);
    book.note_pool_load(START, &steady_load(100, 10));

    let first = book.ask(START, &ask(1, 1));
    let second = book.ask(START, &ask(1, 1));

    assert_eq!(first, second);
    assert_eq!(book.server_states(START)[0].open, 1);
}

#[test]
fn late_ask_after_release_is_not_granted() {
    let mut book = owned_book(START, &[spec(1)]);
    book.release(START, &release(1, 1, ReleaseOutcome::Cancelled));

    let answer = book.ask(START, &ask(1, 1));

    let refusal = GrantRefusal { reason: RefusalReason::Cancelled, retry_after_millis: 0 };
    assert_eq!(answer.result, GrantResult::Refused(refusal));
}

#[test]
fn queued_request_is_answered_once_when_a_place_is_free() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    let mut waiting = ask(2, 1);
    waiting.must_queue = true;
    assert_eq!(book.ask(START, &waiting).result, GrantResult::Queued);

    let before = book.poll(START);
    book.release(START, &release(1, 1, ReleaseOutcome::Done));
    let due = book.next_due(START);
    let after = book.poll(START);

    assert!(before.is_empty());
    assert_eq!(due, Some(START));
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].entry, vm(1));
    assert!(is_granted(after[0].result));
    assert!(book.poll(START).is_empty());
}

#[test]
fn leaving_server_gets_nothing_new() {
    let mut book = owned_book(START, &[spec(1)]);
    book.note_probe(START, server(1), &fixture::leaving_probe());

    let answer = book.ask(START, &ask(1, 1));

    let cause = OverflowCause::Leaving;
    assert_eq!(answer.result, GrantResult::Overflow { cause, light: None });
}

#[test]
fn unowned_server_is_answered_with_not_owner() {
    let mut book = owned_book(START, &[spec(1)]);

    assert_eq!(book.ask(START, &ask(1, 9)).result, GrantResult::NotOwner);
}

#[test]
fn handover_counts_reported_load_until_grants_are_imported() {
    let mut former = owned_book(START, &[spec(1)]);
    former.note_pool_load(START, &steady_load(80, 10));
    for request in 0..6 {
        result_of(&mut former, START, request);
    }
    let export = former.set_owned(START, &[]).lost.remove(0);
    let mut book = OwnerBook::new(vm(2));
    book.set_rules(rules());
    book.set_owned(START, &[spec(1)]);
    book.note_pool_load(START, &steady_load(80, 10));

    let blind = result_of(&mut book, START, 100);
    book.import_grants(START, &export);
    let granted = (200..220).filter(|request| is_granted(result_of(&mut book, START, *request)));

    assert!(matches!(blind, GrantResult::Overflow { cause: OverflowCause::Handover, .. }));
    assert_eq!(granted.count(), 4);
    assert_eq!(book.server_states(START)[0].phase, OwnerPhase::Steady);
}

#[test]
fn warm_chat_elsewhere_is_redirected() {
    let mut book = owned_book(START, &[spec(1)]);
    book.note_placement(chat_ask(1, 1, 7).chat, server(1), server(5));

    let answer = book.ask(START, &chat_ask(1, 1, 7));

    assert_eq!(answer.result, GrantResult::Redirect { server: server(5) });
}

#[test]
fn drop_router_reaps_its_grants() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);

    book.drop_router(START, vm(1));

    assert_eq!(book.server_states(START)[0].open, 0);
}

#[test]
fn audit_names_old_grants_and_closes_those_that_ended() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    let later = START.plus_millis(60_000);

    let audits = book.audit(later, vm(1));
    book.close_audited(vm(1), server(1), &audits[0].requests);

    assert_eq!(audits[0].requests, [RequestId(1)]);
    assert!(book.audit(later, vm(1)).is_empty());
}

#[test]
fn load_report_names_each_pool() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    book.note_probe(START, server(1), &probe(1));

    let reports = book.load_reports(START);

    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].pool, pool());
    assert_eq!(reports[0].loads[0].server, ServerId(1));
    assert_eq!(reports[0].loads[0].open, 1);
}
