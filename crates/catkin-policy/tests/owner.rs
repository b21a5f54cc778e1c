//! Admission by the owner of a server.

mod fixture;

use catkin_base::{ClockTime, RefusalReason, RequestId, ServerId};
use catkin_policy::{
    AdmissionOwner, GrantRefusal, GrantResult, OverflowCause, OwnerPhase, PoolLoad, ReleaseOutcome,
};
use fixture::{
    ask, chat_ask, owned_book, pool, probe, release, rules, server, spec, steady_load, vm,
};

const START: ClockTime = ClockTime::from_millis(10_000);

fn result_of(book: &mut AdmissionOwner, now: ClockTime, request: u64) -> GrantResult {
    book.handle_ask(now, &ask(request, 1)).result
}

fn is_granted(result: GrantResult) -> bool {
    matches!(result, GrantResult::Granted { .. })
}

#[test]
fn admits_up_to_the_bound_and_no_further() {
    let mut book = owned_book(START, &[spec(1)]);
    book.record_pool_load(START, &steady_load(100, 10));

    let granted = (0..20).filter(|request| is_granted(result_of(&mut book, START, *request)));

    assert_eq!(granted.count(), 13);
}

#[test]
fn stale_sum_lowers_the_bound() {
    let mut book = owned_book(START, &[spec(1)]);
    book.record_pool_load(START, &PoolLoad { age_millis: 10_000, ..steady_load(100, 10) });

    let granted = (0..20).filter(|request| is_granted(result_of(&mut book, START, *request)));

    assert!(granted.count() < 13);
}

#[test]
fn repeated_ask_gets_the_same_answer_and_one_grant() {
    let mut book = owned_book(START, &[spec(1)]);
    book.record_pool_load(START, &steady_load(100, 10));

    let first = book.handle_ask(START, &ask(1, 1));
    let second = book.handle_ask(START, &ask(1, 1));

    assert_eq!(first, second);
    assert_eq!(book.server_states(START)[0].open, 1);
}

#[test]
fn late_ask_after_release_is_not_granted() {
    let mut book = owned_book(START, &[spec(1)]);
    book.handle_release(START, &release(1, 1, ReleaseOutcome::Cancelled));

    let answer = book.handle_ask(START, &ask(1, 1));

    let refusal = GrantRefusal { reason: RefusalReason::Cancelled, retry_after_millis: 0 };
    assert_eq!(answer.result, GrantResult::Refused(refusal));
}

#[test]
fn queued_request_is_answered_once_when_a_place_is_free() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    let mut waiting = ask(2, 1);
    waiting.must_queue = true;
    assert_eq!(book.handle_ask(START, &waiting).result, GrantResult::Queued);

    let before = book.poll(START);
    book.handle_release(START, &release(1, 1, ReleaseOutcome::Done));
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
    book.record_probe(START, server(1), &fixture::leaving_probe());

    let answer = book.handle_ask(START, &ask(1, 1));

    let cause = OverflowCause::Leaving;
    assert_eq!(answer.result, GrantResult::Overflow { cause, light: None });
}

#[test]
fn unowned_server_is_answered_with_not_owner() {
    let mut book = owned_book(START, &[spec(1)]);

    assert_eq!(book.handle_ask(START, &ask(1, 9)).result, GrantResult::NotOwner);
}

#[test]
fn handover_counts_reported_load_until_grants_are_imported() {
    let mut former = owned_book(START, &[spec(1)]);
    former.record_pool_load(START, &steady_load(80, 10));
    for request in 0..6 {
        result_of(&mut former, START, request);
    }
    let export = former.set_owned(START, &[]).lost.remove(0);
    let mut book = AdmissionOwner::new(vm(2));
    book.set_rules(rules());
    book.set_owned(START, &[spec(1)]);
    book.record_pool_load(START, &steady_load(80, 10));

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
    book.record_placement(chat_ask(1, 1, 7).chat, server(1), server(5));

    let answer = book.handle_ask(START, &chat_ask(1, 1, 7));

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
fn audit_names_grants_that_the_server_does_not_report() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    for second in 1..=6 {
        book.record_probe(START.plus_millis(second * 1_000), server(1), &probe(0));
    }
    let later = START.plus_millis(6_000);

    let audits = book.audit_grants(later, vm(1));
    book.close_audited(vm(1), server(1), &audits[0].requests);

    assert_eq!(audits[0].requests, [RequestId(1)]);
    assert!(book.audit_grants(later, vm(1)).is_empty());
    assert_eq!(book.server_states(later)[0].open, 0);
}

#[test]
fn audit_leaves_grants_that_the_server_reports_until_they_are_very_old() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    for second in 1..=6 {
        book.record_probe(START.plus_millis(second * 1_000), server(1), &probe(1));
    }

    let soon = book.audit_grants(START.plus_millis(6_000), vm(1));
    let late = book.audit_grants(START.plus_millis(60_000), vm(1));

    assert!(soon.is_empty());
    assert_eq!(late[0].requests, [RequestId(1)]);
}

#[test]
fn foreign_requests_survive_two_handovers() {
    let mut first = AdmissionOwner::new(vm(1));
    first.set_rules(rules());
    first.set_owned(START, &[spec(1)]);
    first.give_up_handover(START, server(1));
    first.record_probe(START, server(1), &probe(7));
    let mut second = AdmissionOwner::new(vm(2));
    second.set_rules(rules());
    second.set_owned(START, &[spec(1)]);

    let export = first.cede(START, server(1), vm(2)).expect("the server is owned");
    second.import_grants(START, &export);

    assert_eq!(second.server_states(START)[0].open, 7);
}

#[test]
fn grants_of_suspect_routers_do_not_raise_the_mean() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);

    book.set_suspects([vm(1)].into());

    assert_eq!(book.load_reports(START)[0].loads[0].open, 0);
    assert_eq!(book.server_states(START)[0].open, 1);
}

#[test]
fn load_report_names_each_pool() {
    let mut book = owned_book(START, &[spec(1)]);
    result_of(&mut book, START, 1);
    book.record_probe(START, server(1), &probe(1));

    let reports = book.load_reports(START);

    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].pool, pool());
    assert_eq!(reports[0].loads[0].server, ServerId(1));
    assert_eq!(reports[0].loads[0].open, 1);
}

#[test]
fn ceded_server_may_be_taken_back_once_it_is_handed_back() {
    let mut book = owned_book(START, &[spec(1)]);
    book.cede(START, server(1), vm(2)).expect("the server is owned");
    let while_ceded = book.can_reclaim(START, server(1));
    book.end_cession(server(1), vm(3));
    let after_another = book.can_reclaim(START, server(1));

    book.end_cession(server(1), vm(2));
    let gained = book.set_owned(START, &[spec(1)]).gained;

    assert!(!while_ceded && !after_another);
    assert_eq!(gained, [server(1)]);
    assert!(!book.can_reclaim(START, server(1)));
}

#[test]
fn ceded_server_that_is_never_handed_back_may_be_taken_back_after_a_while() {
    let mut book = owned_book(START, &[spec(1)]);
    book.cede(START, server(1), vm(2)).expect("the server is owned");

    let later = START.plus_millis(20_000);

    assert!(book.can_reclaim(later, server(1)));
}
