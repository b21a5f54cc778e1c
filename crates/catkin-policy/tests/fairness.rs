//! Classes, teams and deadlines in the queue of one server.

mod fixture;

use catkin_base::{ClassId, ClockTime, RefusalReason, RequestId, TeamId};
use catkin_policy::{
    AdmissionOwner, GrantAnswer, GrantAsk, GrantResult, PolicyRules, ReleaseOutcome, TeamPolicy,
};
use fixture::{LONG, QUICK, SLOTS, ask, owned_book, release, rules, spec, steady_load};

const START: ClockTime = ClockTime::from_millis(10_000);
const SERVER: u64 = 1;

/// A book whose server may use all its slots.
fn open_book(rules: PolicyRules) -> AdmissionOwner {
    let mut book = owned_book(START, &[spec(SERVER)]);
    book.set_rules(rules);
    book.record_pool_load(START, &steady_load(1_000, 10));
    book
}

fn class_ask(request: u64, team: u64, class: ClassId) -> GrantAsk {
    GrantAsk { team: TeamId(team), class, must_queue: true, ..ask(request, SERVER) }
}

fn fill(
    book: &mut AdmissionOwner,
    first_request: u64,
    team: u64,
    class: ClassId,
    count: u64,
) -> u64 {
    let requests = first_request..first_request + count;
    let answers = requests.map(|request| book.handle_ask(START, &class_ask(request, team, class)));
    answers.filter(|answer| matches!(answer.result, GrantResult::Granted { .. })).count() as u64
}

/// Ends requests one at a time and returns the requests admitted in their place, in order.
fn admitted_after(book: &mut AdmissionOwner, now: ClockTime, ended: &[u64]) -> Vec<RequestId> {
    let mut admitted = Vec::new();
    for request in ended {
        book.handle_release(now, &release(*request, SERVER, ReleaseOutcome::Cancelled));
        admitted.extend(granted(&book.poll(now)));
    }
    admitted
}

fn granted(answers: &[GrantAnswer]) -> Vec<RequestId> {
    let granted =
        answers.iter().filter(|answer| matches!(answer.result, GrantResult::Granted { .. }));
    granted.map(|answer| answer.request).collect()
}

#[test]
fn long_work_leaves_a_reserve_for_quick_work() {
    let mut book = open_book(rules());

    let long = fill(&mut book, 0, 1, LONG, 40);
    let quick = fill(&mut book, 100, 2, QUICK, 40);

    assert_eq!(long, u64::from(SLOTS) * 80 / 100);
    assert_eq!(long + quick, u64::from(SLOTS));
}

#[test]
fn quick_work_goes_before_long_work_that_waits() {
    let mut book = open_book(rules());
    fill(&mut book, 0, 1, QUICK, u64::from(SLOTS));
    book.handle_ask(START, &class_ask(50, 2, LONG));
    book.handle_ask(START, &class_ask(51, 2, QUICK));

    let admitted = admitted_after(&mut book, START, &[0, 1]);

    assert_eq!(admitted, [RequestId(51), RequestId(50)]);
}

#[test]
fn aged_long_work_goes_before_younger_quick_work() {
    let mut book = open_book(rules());
    fill(&mut book, 0, 1, QUICK, u64::from(SLOTS));
    book.handle_ask(START, &class_ask(50, 2, LONG));
    let later = START.plus_millis(u64::from(fixture::DEADLINE_MILLIS) / 2);
    book.record_pool_load(later, &steady_load(1_000, 10));
    book.handle_ask(later, &class_ask(51, 2, QUICK));

    let admitted = admitted_after(&mut book, later, &[0]);

    assert_eq!(admitted, [RequestId(50)]);
}

#[test]
fn flooding_team_does_not_delay_another() {
    let mut book = open_book(rules());
    fill(&mut book, 0, 1, QUICK, 80);
    fill(&mut book, 100, 2, QUICK, 4);

    let admitted = admitted_after(&mut book, START, &(0..8).collect::<Vec<_>>());

    let second_team = admitted.iter().filter(|request| request.0 >= 100).count();
    assert_eq!(admitted.len(), 8);
    assert!((3..=4).contains(&second_team), "{second_team} of 8 places");
}

#[test]
fn teams_share_by_weight() {
    let mut weighted = rules();
    weighted.teams.insert(TeamId(1), TeamPolicy { weight: 3, max_open: 1_000 });
    let mut book = open_book(weighted);
    fill(&mut book, 0, 9, QUICK, u64::from(SLOTS));
    fill(&mut book, 100, 1, QUICK, 40);
    fill(&mut book, 200, 2, QUICK, 40);

    let admitted = admitted_after(&mut book, START, &(0..12).collect::<Vec<_>>());

    let first_team = admitted.iter().filter(|request| request.0 < 200).count();
    assert!((8..=10).contains(&first_team), "{first_team} of 12 places");
}

#[test]
fn team_over_its_limit_is_refused_at_once() {
    let mut limited = rules();
    limited.teams.insert(TeamId(1), TeamPolicy { weight: 1, max_open: 2 });
    let mut book = open_book(limited);
    fill(&mut book, 0, 1, QUICK, 2);

    let answer = book.handle_ask(START, &class_ask(9, 1, QUICK));

    let GrantResult::Refused(refusal) = answer.result else {
        panic!("not refused: {:?}", answer.result);
    };
    assert_eq!(refusal.reason, RefusalReason::TeamLimit);
    assert!(refusal.retry_after_millis > 0);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut book = open_book(rules());
    fill(&mut book, 0, 1, QUICK, u64::from(SLOTS));
    let hopeless = GrantAsk { deadline_millis: 1_000, ..class_ask(50, 2, QUICK) };

    let answer = book.handle_ask(START, &hopeless);

    assert!(matches!(
        answer.result,
        GrantResult::Refused(refusal) if refusal.reason == RefusalReason::DeadlineUnmet
    ));
}

#[test]
fn waiting_request_is_refused_once_its_deadline_is_out_of_reach() {
    let mut book = open_book(rules());
    fill(&mut book, 0, 1, QUICK, u64::from(SLOTS));
    book.handle_ask(START, &class_ask(50, 2, QUICK));
    let due = book.next_due(START.plus_millis(1)).expect("a request waits");

    let due = due.max(START.plus_millis(1));
    book.poll(START.plus_millis(1));
    let last = book.next_due(due).expect("a request waits");
    let answers = book.poll(last);

    assert_eq!(answers.len(), 1);
    assert!(last < START.plus_millis(u64::from(fixture::DEADLINE_MILLIS)));
    assert!(matches!(
        answers[0].result,
        GrantResult::Refused(refusal) if refusal.reason == RefusalReason::DeadlineUnmet
    ));
}

#[test]
fn unused_reserve_is_not_given_to_long_work() {
    let mut book = open_book(rules());
    let long = fill(&mut book, 0, 1, LONG, 40);

    let answers = book.poll(START);

    assert!(granted(&answers).is_empty());
    assert_eq!(long, u64::from(rules().long_slots(SLOTS)));
}
