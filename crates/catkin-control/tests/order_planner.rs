//! Orders follow the newest declarations, within the limits on model loads from the weight store,
//! and are sent again after a lost answer, a restart, a failed load or an overwritten order.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use catkin_base::{ClockTime, ServerId};
use catkin_control::{
    OrderLimits, OrderNumber, OrderPlanner, OrderReply, ReportEffect, ServerTarget, StateReport,
};

const LIMITS: OrderLimits = OrderLimits {
    loads_at_once: 2,
    load_spacing: Duration::from_secs(1),
    load_timeout: Duration::from_secs(60),
    retry_after: Duration::from_secs(6),
};

fn at(seconds: u64) -> ClockTime {
    ClockTime::from_millis(seconds * 1000)
}

fn target(name: &str, version: u64) -> ServerTarget {
    ServerTarget {
        server: ServerId::from_name(name),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        checks_fencing: true,
        desired: format!("estimator version {version}"),
        models: vec!["estimator".to_owned()],
    }
}

fn report(name: &str, models: &[&str], fence: u64) -> StateReport {
    StateReport {
        server: ServerId::from_name(name),
        incarnation: 1,
        models: models.iter().map(|model| (*model).to_owned()).collect(),
        fence,
        undone: false,
    }
}

fn number(term: u32, sequence: u32) -> OrderNumber {
    OrderNumber { term, sequence }
}

/// A planner in term 1 with servers that have reported no loaded models.
fn planner_with(names: &[&str]) -> OrderPlanner {
    let mut planner = OrderPlanner::new(LIMITS);
    planner.set_targets(1, names.iter().map(|name| target(name, 1)).collect());
    planner.begin_term(1);
    for name in names {
        planner.record_report(&report(name, &[], 0), at(0));
    }
    planner
}

#[test]
fn no_order_without_a_term_or_a_report() {
    let mut planner = OrderPlanner::new(LIMITS);
    planner.set_targets(1, vec![target("a", 1)]);

    let without_term = planner.next_order(at(0));
    planner.begin_term(1);
    let without_report = planner.next_order(at(0));

    assert_eq!((without_term, without_report), (None, None));
}

#[test]
fn loads_stay_within_the_rate_and_the_concurrency_limit() {
    let mut planner = planner_with(&["a", "b", "c"]);

    let first = planner.next_order(at(0)).expect("due");
    let early = planner.next_order(at(0));
    let second = planner.next_order(at(1)).expect("due");
    let over_limit = planner.next_order(at(5));
    planner.record_reply(&first, OrderReply::Accepted, at(2));
    planner.record_reply(&second, OrderReply::Accepted, at(2));
    for name in ["a", "b", "c"] {
        let loaded = first.server == ServerId::from_name(name);
        let models: &[&str] = if loaded { &["estimator"] } else { &[] };
        planner.record_report(&report(name, models, 0), at(5));
    }
    let third = planner.next_order(at(5)).expect("due");

    assert_eq!((early, over_limit), (None, None));
    assert_eq!([first.number, second.number, third.number], [1, 2, 3].map(|n| number(1, n)));
}

#[test]
fn new_version_of_a_loaded_model_counts_as_a_load() {
    let mut planner = planner_with(&["a", "b"]);
    for name in ["a", "b"] {
        planner.record_report(&report(name, &["estimator"], 0), at(0));
    }
    for seconds in 0..2 {
        let order = planner.next_order(at(seconds)).expect("due");
        planner.record_reply(&order, OrderReply::Accepted, at(seconds));
    }
    for name in ["a", "b"] {
        planner.record_report(&report(name, &["estimator"], 0), at(3));
    }

    planner.set_targets(2, vec![target("a", 2), target("b", 2)]);
    let first = planner.next_order(at(10));
    let second = planner.next_order(at(10));

    assert!(first.is_some_and(|order| order.generation == 2));
    assert_eq!(second, None);
}

#[test]
fn unanswered_order_is_sent_again_with_a_higher_number() {
    let mut planner = planner_with(&["a"]);
    let order = planner.next_order(at(0)).expect("due");
    planner.record_reply(&order, OrderReply::Unanswered, at(1));

    let early = planner.next_order(at(5));
    let again = planner.next_order(at(6)).expect("due");

    assert_eq!(early, None);
    assert!(again.number > order.number);
}

#[test]
fn report_confirms_an_order_with_a_lost_answer() {
    let mut planner = planner_with(&["a"]);
    let order = planner.next_order(at(0)).expect("due");
    planner.record_reply(&order, OrderReply::Unanswered, at(1));

    planner.record_report(&report("a", &["estimator"], order.number.fence()), at(2));

    assert_eq!(planner.count_unaccepted(), 0);
    assert_eq!(planner.next_order(at(30)), None);
}

#[test]
fn reply_to_an_earlier_order_is_ignored() {
    let mut planner = planner_with(&["a"]);
    let first = planner.next_order(at(0)).expect("due");
    let second = planner.next_order(at(6)).expect("due");

    planner.record_reply(&first, OrderReply::Accepted, at(7));
    let open = planner.count_unaccepted();
    planner.record_reply(&second, OrderReply::Accepted, at(8));

    assert_eq!((open, planner.count_unaccepted()), (1, 0));
}

#[test]
fn order_is_sent_again_after_a_restart_of_the_server() {
    let mut planner = planner_with(&["a"]);
    let order = planner.next_order(at(0)).expect("due");
    planner.record_reply(&order, OrderReply::Accepted, at(1));

    let restarted = StateReport { incarnation: 2, ..report("a", &[], 0) };
    planner.record_report(&restarted, at(10));

    assert!(planner.next_order(at(10)).is_some_and(|again| again.number > order.number));
}

#[test]
fn overwritten_order_is_sent_again() {
    let mut planner = planner_with(&["a"]);
    let order = planner.next_order(at(0)).expect("due");
    planner.record_reply(&order, OrderReply::Accepted, at(1));

    let overwritten = StateReport { undone: true, ..report("a", &["estimator"], 0) };
    planner.record_report(&overwritten, at(10));

    assert!(planner.next_order(at(10)).is_some_and(|again| again.number > order.number));
}

#[test]
fn order_is_sent_again_if_no_report_confirms_the_load() {
    let mut planner = planner_with(&["a"]);
    let order = planner.next_order(at(0)).expect("due");
    planner.record_reply(&order, OrderReply::Accepted, at(1));

    let early = planner.next_order(at(60));
    let late = planner.next_order(at(61));

    assert_eq!(early, None);
    assert!(late.is_some());
}

#[test]
fn older_revision_is_ignored() {
    let mut planner = OrderPlanner::new(LIMITS);
    planner.set_targets(5, vec![target("a", 5)]);
    planner.set_targets(4, vec![target("a", 4)]);
    planner.begin_term(1);
    planner.record_report(&report("a", &[], 0), at(0));

    let order = planner.next_order(at(0)).expect("due");

    assert_eq!((order.generation, order.desired.as_str()), (5, "estimator version 5"));
}

#[test]
fn reply_with_a_later_term_ends_the_current_term() {
    let mut planner = planner_with(&["a", "b"]);
    let order = planner.next_order(at(0)).expect("due");

    let effect = planner.record_reply(&order, OrderReply::Older(number(2, 1).fence()), at(1));
    let after = planner.next_order(at(100));
    planner.begin_term(3);
    let next_term = planner.next_order(at(100)).expect("due");

    assert_eq!(effect, ReportEffect::Superseded);
    assert_eq!(after, None);
    assert_eq!(next_term.number, number(3, 1));
}

#[test]
fn report_with_a_later_term_ends_the_current_term() {
    let mut planner = planner_with(&["a"]);

    let effect = planner.record_report(&report("a", &[], number(2, 1).fence()), at(1));

    assert_eq!(effect, ReportEffect::Superseded);
    assert_eq!(planner.next_order(at(1)), None);
}
