//! Order of the queue of one server by class, team and deadline, and refusals by limit and
//! deadline.

mod fixture;

use catkin_base::{ClassId, ClockTime, RefusalReason, RequestId, TeamId};
use catkin_policy::{
    AdmissionOwner, GrantAnswer, GrantAsk, GrantResult, PolicyRules, ReleaseOutcome, TeamPolicy,
};
use fixture::{LONG, QUICK, SLOTS, ask, release, rules, spec, steady_load, steady_owner};

const START: ClockTime = ClockTime::from_millis(10_000);
const SERVER: u64 = 1;

/// Returns an owner of one server that it may fill up to its slots, because the bound is high.
fn unbounded_owner(rules: PolicyRules) -> AdmissionOwner {
    let mut owner = steady_owner(START, &[spec(SERVER)]);
    owner.set_rules(rules);
    owner.record_pool_load(START, &steady_load(1_000, 10));
    owner
}

fn class_ask(request: u64, team: u64, class: ClassId) -> GrantAsk {
    GrantAsk { team: TeamId(team), class, must_queue: true, ..ask(request, SERVER) }
}

fn ask_many(
    owner: &mut AdmissionOwner,
    first_request: u64,
    team: u64,
    class: ClassId,
    count: u64,
) -> u64 {
    let requests = first_request..first_request + count;
    let answers = requests.map(|request| owner.handle_ask(START, &class_ask(request, team, class)));
    answers.filter(|answer| matches!(answer.result, GrantResult::Granted { .. })).count() as u64
}

/// Releases requests one at a time and returns the queued requests admitted then, in order.
fn release_each(owner: &mut AdmissionOwner, now: ClockTime, released: &[u64]) -> Vec<RequestId> {
    let mut admitted = Vec::new();
    for request in released {
        owner.handle_release(now, &release(*request, SERVER, ReleaseOutcome::Cancelled));
        admitted.extend(granted(&owner.poll(now)));
    }
    admitted
}

fn granted(answers: &[GrantAnswer]) -> Vec<RequestId> {
    let granted =
        answers.iter().filter(|answer| matches!(answer.result, GrantResult::Granted { .. }));
    granted.map(|answer| answer.request).collect()
}

#[test]
fn long_requests_leave_reserved_slots_to_quick_ones() {
    let mut owner = unbounded_owner(rules());

    let long = ask_many(&mut owner, 0, 1, LONG, 40);
    let quick = ask_many(&mut owner, 100, 2, QUICK, 40);

    assert_eq!(long, u64::from(SLOTS) * 80 / 100);
    assert_eq!(long + quick, u64::from(SLOTS));
}

#[test]
fn quick_request_is_admitted_before_a_queued_long_one() {
    let mut owner = unbounded_owner(rules());
    ask_many(&mut owner, 0, 1, QUICK, u64::from(SLOTS));
    owner.handle_ask(START, &class_ask(50, 2, LONG));
    owner.handle_ask(START, &class_ask(51, 2, QUICK));

    let admitted = release_each(&mut owner, START, &[0, 1]);

    assert_eq!(admitted, [RequestId(51), RequestId(50)]);
}

#[test]
fn aged_long_request_is_admitted_before_a_younger_quick_one() {
    let mut owner = unbounded_owner(rules());
    ask_many(&mut owner, 0, 1, QUICK, u64::from(SLOTS));
    owner.handle_ask(START, &class_ask(50, 2, LONG));
    let later = START.plus_millis(u64::from(fixture::DEADLINE_MILLIS) / 2);
    owner.record_pool_load(later, &steady_load(1_000, 10));
    owner.handle_ask(later, &class_ask(51, 2, QUICK));

    let admitted = release_each(&mut owner, later, &[0]);

    assert_eq!(admitted, [RequestId(50)]);
}

#[test]
fn team_with_many_queued_requests_does_not_delay_another_team() {
    let mut owner = unbounded_owner(rules());
    ask_many(&mut owner, 0, 1, QUICK, 80);
    ask_many(&mut owner, 100, 2, QUICK, 4);

    let admitted = release_each(&mut owner, START, &(0..8).collect::<Vec<_>>());

    let second_team = admitted.iter().filter(|request| request.0 >= 100).count();
    assert_eq!(admitted.len(), 8);
    assert!((3..=4).contains(&second_team), "{second_team} of 8 slots");
}

#[test]
fn teams_share_slots_by_weight() {
    let mut weighted = rules();
    weighted.teams.insert(TeamId(1), TeamPolicy { weight: 3, max_open: 1_000 });
    let mut owner = unbounded_owner(weighted);
    ask_many(&mut owner, 0, 9, QUICK, u64::from(SLOTS));
    ask_many(&mut owner, 100, 1, QUICK, 40);
    ask_many(&mut owner, 200, 2, QUICK, 40);

    let admitted = release_each(&mut owner, START, &(0..12).collect::<Vec<_>>());

    let first_team = admitted.iter().filter(|request| request.0 < 200).count();
    assert!((8..=10).contains(&first_team), "{first_team} of 12 slots");
}

#[test]
fn team_over_its_limit_is_refused_at_once() {
    let mut limited = rules();
    limited.teams.insert(TeamId(1), TeamPolicy { weight: 1, max_open: 2 });
    let mut owner = unbounded_owner(limited);
    ask_many(&mut owner, 0, 1, QUICK, 2);

    let answer = owner.handle_ask(START, &class_ask(9, 1, QUICK));

    let GrantResult::Refused(refusal) = answer.result else {
        panic!("not refused: {:?}", answer.result);
    };
    assert_eq!(refusal.reason, RefusalReason::TeamLimit);
    assert!(refusal.retry_after_millis > 0);
}

#[test]
fn request_that_can_not_meet_its_deadline_is_refused_at_once() {
    let mut owner = unbounded_owner(rules());
    ask_many(&mut owner, 0, 1, QUICK, u64::from(SLOTS));
    let late_ask = GrantAsk { deadline_millis: 1_000, ..class_ask(50, 2, QUICK) };

    let answer = owner.handle_ask(START, &late_ask);

    assert!(matches!(
        answer.result,
        GrantResult::Refused(refusal) if refusal.reason == RefusalReason::DeadlineUnmet
    ));
}

#[test]
fn queued_request_is_refused_once_it_can_not_meet_its_deadline() {
    let mut owner = unbounded_owner(rules());
    ask_many(&mut owner, 0, 1, QUICK, u64::from(SLOTS));
    owner.handle_ask(START, &class_ask(50, 2, QUICK));
    let due = owner.next_due(START.plus_millis(1)).expect("a request is queued");

    let due = due.max(START.plus_millis(1));
    owner.poll(START.plus_millis(1));
    let last = owner.next_due(due).expect("a request is queued");
    let answers = owner.poll(last);

    assert_eq!(answers.len(), 1);
    assert!(last < START.plus_millis(u64::from(fixture::DEADLINE_MILLIS)));
    assert!(matches!(
        answers[0].result,
        GrantResult::Refused(refusal) if refusal.reason == RefusalReason::DeadlineUnmet
    ));
}

#[test]
fn reserved_slots_stay_free_while_long_requests_wait() {
    let mut owner = unbounded_owner(rules());
    let long = ask_many(&mut owner, 0, 1, LONG, 40);

    let answers = owner.poll(START);

    assert!(granted(&answers).is_empty());
    assert_eq!(long, u64::from(rules().long_slots(SLOTS)));
}
