//! Admission by the owner of a server, its handover to another owner, and audits of its grants.

mod fixture;

use catkin_base::{ClockTime, RefusalReason, RequestId, ServerId};
use catkin_policy::{
    AdmissionOwner, GrantRefusal, GrantResult, OverflowCause, OwnerPhase, PoolLoad, ReleaseOutcome,
};
use fixture::{
    ask, chat_ask, pool, probe, release, rules, server, spec, steady_load, steady_owner, vm,
};

const START: ClockTime = ClockTime::from_millis(10_000);

fn ask_result(owner: &mut AdmissionOwner, now: ClockTime, request: u64) -> GrantResult {
    owner.handle_ask(now, &ask(request, 1)).result
}

fn is_granted(result: GrantResult) -> bool {
    matches!(result, GrantResult::Granted { .. })
}

#[test]
fn admits_up_to_the_bound_and_no_further() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_pool_load(START, &steady_load(100, 10));

    let granted = (0..20).filter(|request| is_granted(ask_result(&mut owner, START, *request)));

    assert_eq!(granted.count(), 13);
}

#[test]
fn stale_pool_load_lowers_the_bound() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_pool_load(START, &PoolLoad { age_millis: 10_000, ..steady_load(100, 10) });

    let granted = (0..20).filter(|request| is_granted(ask_result(&mut owner, START, *request)));

    assert!(granted.count() < 13);
}

#[test]
fn repeated_ask_gets_the_same_answer_and_one_grant() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_pool_load(START, &steady_load(100, 10));

    let first = owner.handle_ask(START, &ask(1, 1));
    let second = owner.handle_ask(START, &ask(1, 1));

    assert_eq!(first, second);
    assert_eq!(owner.server_states(START)[0].open, 1);
}

#[test]
fn ask_that_arrives_after_its_release_is_refused() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.handle_release(START, &release(1, 1, ReleaseOutcome::Cancelled));

    let answer = owner.handle_ask(START, &ask(1, 1));

    let refusal = GrantRefusal { reason: RefusalReason::Cancelled, retry_after_millis: 0 };
    assert_eq!(answer.result, GrantResult::Refused(refusal));
}

#[test]
fn queued_request_is_granted_once_when_a_slot_is_free() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);
    let mut waiting = ask(2, 1);
    waiting.must_queue = true;
    assert_eq!(owner.handle_ask(START, &waiting).result, GrantResult::Queued);

    let before = owner.poll(START);
    owner.handle_release(START, &release(1, 1, ReleaseOutcome::Done));
    let due = owner.next_due(START);
    let after = owner.poll(START);

    assert!(before.is_empty());
    assert_eq!(due, Some(START));
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].entry, vm(1));
    assert!(is_granted(after[0].result));
    assert!(owner.poll(START).is_empty());
}

#[test]
fn leaving_server_gets_no_new_request() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_probe(START, server(1), &fixture::leaving_probe());

    let answer = owner.handle_ask(START, &ask(1, 1));

    let cause = OverflowCause::Leaving;
    assert_eq!(answer.result, GrantResult::Overflow { cause, light: None });
}

#[test]
fn unowned_server_is_answered_with_not_owner() {
    let mut owner = steady_owner(START, &[spec(1)]);

    assert_eq!(owner.handle_ask(START, &ask(1, 9)).result, GrantResult::NotOwner);
}

#[test]
fn handover_counts_reported_load_until_grants_are_imported() {
    let mut former = steady_owner(START, &[spec(1)]);
    former.record_pool_load(START, &steady_load(80, 10));
    for request in 0..6 {
        ask_result(&mut former, START, request);
    }
    let export = former.set_owned(START, &[]).lost.remove(0);
    let mut owner = AdmissionOwner::new(vm(2));
    owner.set_rules(rules());
    owner.set_owned(START, &[spec(1)]);
    owner.record_pool_load(START, &steady_load(80, 10));

    let load_unknown = ask_result(&mut owner, START, 100);
    owner.import_grants(START, &export);
    let granted = (200..220).filter(|request| is_granted(ask_result(&mut owner, START, *request)));

    assert!(matches!(load_unknown, GrantResult::Overflow { cause: OverflowCause::Handover, .. }));
    assert_eq!(granted.count(), 4);
    assert_eq!(owner.server_states(START)[0].phase, OwnerPhase::Steady);
}

#[test]
fn warm_chat_elsewhere_is_redirected() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.record_placement(chat_ask(1, 1, 7).chat, server(1), server(5));

    let answer = owner.handle_ask(START, &chat_ask(1, 1, 7));

    assert_eq!(answer.result, GrantResult::Redirect { server: server(5) });
}

#[test]
fn drop_router_removes_its_grants() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);

    owner.drop_router(START, vm(1));

    assert_eq!(owner.server_states(START)[0].open, 0);
}

#[test]
fn audit_lists_grants_that_the_server_does_not_report() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);
    for second in 1..=6 {
        owner.record_probe(START.plus_millis(second * 1_000), server(1), &probe(0));
    }
    let later = START.plus_millis(6_000);

    let audits = owner.audit_grants(later, vm(1));
    owner.close_audited(vm(1), server(1), &audits[0].requests);

    assert_eq!(audits[0].requests, [RequestId(1)]);
    assert!(owner.audit_grants(later, vm(1)).is_empty());
    assert_eq!(owner.server_states(later)[0].open, 0);
}

#[test]
fn audit_skips_grants_that_the_server_reports_until_they_are_very_old() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);
    for second in 1..=6 {
        owner.record_probe(START.plus_millis(second * 1_000), server(1), &probe(1));
    }

    let soon = owner.audit_grants(START.plus_millis(6_000), vm(1));
    let late = owner.audit_grants(START.plus_millis(60_000), vm(1));

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
fn grants_of_suspect_routers_are_left_out_of_load_reports() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);

    owner.set_suspects([vm(1)].into());

    assert_eq!(owner.load_reports(START)[0].loads[0].open, 0);
    assert_eq!(owner.server_states(START)[0].open, 1);
}

#[test]
fn load_reports_cover_each_pool() {
    let mut owner = steady_owner(START, &[spec(1)]);
    ask_result(&mut owner, START, 1);
    owner.record_probe(START, server(1), &probe(1));

    let reports = owner.load_reports(START);

    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].pool, pool());
    assert_eq!(reports[0].loads[0].server, ServerId(1));
    assert_eq!(reports[0].loads[0].open, 1);
}

#[test]
fn ceded_server_can_be_reclaimed_once_it_is_handed_back() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.cede(START, server(1), vm(2)).expect("the server is owned");
    let while_ceded = owner.can_reclaim(START, server(1));
    owner.end_cede(server(1), vm(3));
    let after_another = owner.can_reclaim(START, server(1));

    owner.end_cede(server(1), vm(2));
    let gained = owner.set_owned(START, &[spec(1)]).gained;

    assert!(!while_ceded && !after_another);
    assert_eq!(gained, [server(1)]);
    assert!(!owner.can_reclaim(START, server(1)));
}

#[test]
fn ceded_server_that_is_never_handed_back_can_be_reclaimed_after_the_hold_time() {
    let mut owner = steady_owner(START, &[spec(1)]);
    owner.cede(START, server(1), vm(2)).expect("the server is owned");

    let later = START.plus_millis(20_000);

    assert!(owner.can_reclaim(later, server(1)));
}
