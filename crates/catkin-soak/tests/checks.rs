//! A ledger that violates a guarantee gives exactly that violation; a sound ledger gives none.

use std::collections::BTreeSet;

use catkin_soak::{
    ArrivalRecord, CallKind, CallOutcome, CallRecord, ColdPeriod, CutRecord, EvacuationRecord,
    FaultPeriod, FaultTarget, LeavingRecord, LimitRecord, PauseRecord, ProcessExit, ServingPeriod,
    SoakBounds, SoakLedger, SoakViolation, StartRecord, VersionRecord, find_violations,
};

fn answered(status: u16, sealed_by: Option<&str>) -> CallOutcome {
    CallOutcome::Answered { status, sealed_by: sealed_by.map(str::to_owned), valid: true }
}

fn call(id: &str, sent: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind: CallKind::Single,
        router: 0,
        sent,
        ended: sent + 100,
        timeout: 4_000,
        outcome,
        leaving_server: None,
        limited_server: None,
        is_long: false,
        resumes: None,
        software: BTreeSet::new(),
    }
}

fn arrival(id: &str, server: &str, at: u64, version: u64) -> ArrivalRecord {
    ArrivalRecord {
        id: id.to_owned(),
        server: server.to_owned(),
        address_index: 0,
        router: 0,
        service: CallKind::Single.service().to_owned(),
        version,
        at,
        ran: true,
        misdirected: false,
    }
}

fn period(target: FaultTarget, from: u64, until: u64, planned: bool) -> FaultPeriod {
    FaultPeriod { target, from, until, planned }
}

/// A ledger with one start of a router and one request served long after the last fault.
fn sound_ledger() -> SoakLedger {
    SoakLedger {
        calls: vec![call("last", 100_000, answered(200, Some("s1")))],
        arrivals: vec![arrival("last", "s1", 100_010, 1)],
        starts: vec![StartRecord { router: 0, at: 0 }],
        versions: vec![VersionRecord { version: 1, at: 0 }],
        last_fault_end: 50_000,
        ..SoakLedger::default()
    }
}

fn violations_with(change: impl FnOnce(&mut SoakLedger)) -> Vec<SoakViolation> {
    let mut ledger = sound_ledger();
    change(&mut ledger);
    find_violations(&ledger, &SoakBounds::default())
}

#[test]
fn a_sound_ledger_has_no_violations() {
    assert_eq!(violations_with(|_| {}), []);
}

/// The first answer of router 0 states at 10,100 that its server leaves.
#[test]
fn a_request_to_a_server_that_had_stated_its_leave_is_found_unless_the_router_was_disturbed() {
    let violations_with_fault = |target: FaultTarget, sent: u64| {
        violations_with(|ledger| {
            let told = call("a", 10_000, answered(200, Some("s2")));
            ledger.calls.push(CallRecord { leaving_server: Some("s2".to_owned()), ..told });
            ledger.arrivals.push(arrival("a", "s2", 10_010, 1));
            ledger.calls.push(call("b", sent, answered(200, Some("s2"))));
            ledger.arrivals.push(arrival("b", "s2", sent + 10, 1));
            ledger.periods.push(period(target, 11_000, 12_500, false));
        })
    };

    let ignored =
        |at| [SoakViolation::IgnoredLeaving("b".to_owned(), "s2".to_owned(), 0, at)].to_vec();
    assert_eq!(violations_with_fault(FaultTarget::Store, 12_101), ignored(12_111));
    assert_eq!(violations_with_fault(FaultTarget::ServerLink(0), 12_101), ignored(12_111));
    assert_eq!(violations_with_fault(FaultTarget::Store, 12_090), []);
    assert_eq!(violations_with_fault(FaultTarget::Router(0), 12_101), []);
}

/// The first answer of router 0 states at 10,100 that its server leaves; the second request waits in the
/// router, or on the way to the server if that has a fault.
#[test]
fn a_request_that_waited_before_it_was_sent_to_a_leaving_server_is_found() {
    let violations_with_fault = |target: FaultTarget, arrived: u64| {
        violations_with(|ledger| {
            let told = call("a", 10_000, answered(200, Some("s2")));
            ledger.calls.push(CallRecord { leaving_server: Some("s2".to_owned()), ..told });
            ledger.arrivals.push(arrival("a", "s2", 10_010, 1));
            let waited = call("b", 10_000, answered(200, Some("s2")));
            ledger.calls.push(CallRecord { ended: arrived + 100, ..waited });
            ledger.arrivals.push(arrival("b", "s2", arrived, 1));
            ledger.periods.push(period(target, 11_000, 12_500, false));
        })
    };

    let ignored = SoakViolation::IgnoredLeaving("b".to_owned(), "s2".to_owned(), 0, 12_101);
    assert_eq!(violations_with_fault(FaultTarget::Store, 12_101), [ignored]);
    assert_eq!(violations_with_fault(FaultTarget::Store, 12_100), []);
    for held in [FaultTarget::ServerLink(0), FaultTarget::Server(0), FaultTarget::ServerPaths(0)] {
        assert_eq!(violations_with_fault(held, 12_101), [], "{held:?}");
    }
}

/// Router 0 is told at 10,100 that server s2 allows one request a second, so that 11 may arrive in a
/// window from 13,100 on.
#[test]
fn requests_beyond_a_named_limit_are_found_unless_the_router_was_disturbed() {
    let violations_of = |count: u64, target: FaultTarget| {
        violations_with(|ledger| {
            let (server, per_second) = ("s2".to_owned(), 1);
            ledger.limits.push(LimitRecord { server, per_second, from: 9_900, until: 19_000 });
            let told = call("a", 10_000, answered(200, Some("s2")));
            ledger.calls.push(CallRecord { limited_server: Some("s2".to_owned()), ..told });
            ledger.arrivals.push(arrival("a", "s2", 10_010, 1));
            for number in 0..count {
                let (id, sent) = (format!("b{number}"), 13_200 + number * 100);
                ledger.calls.push(call(&id, sent, answered(200, Some("s2"))));
                ledger.arrivals.push(arrival(&id, "s2", sent + 10, 1));
            }
            ledger.periods.push(period(target, 12_000, 12_500, false));
        })
    };

    let exceeded = SoakViolation::LimitExceeded("s2".to_owned(), 12, 13_210, 11);
    assert_eq!(violations_of(12, FaultTarget::Store), [exceeded]);
    assert_eq!(violations_of(11, FaultTarget::Store), []);
    assert_eq!(violations_of(12, FaultTarget::Router(0)), []);
}

/// Server s2 asks router 0 at 10,010 for a pause of two seconds.
#[test]
fn requests_in_a_pause_are_found_unless_the_router_was_disturbed() {
    let violations_of = |count: u64, target: FaultTarget| {
        violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, answered(503, None)));
            let declined = ArrivalRecord { ran: false, ..arrival("a", "s2", 10_010, 1) };
            ledger.arrivals.push(declined);
            let (server, address_index) = ("s2".to_owned(), 0);
            let pause = PauseRecord { router: 0, server, address_index, at: 10_010, millis: 2_000 };
            ledger.pauses.push(pause);
            for number in 0..count {
                let (id, sent) = (format!("b{number}"), 10_500 + number * 100);
                ledger.calls.push(call(&id, sent, answered(200, Some("s2"))));
                ledger.arrivals.push(arrival(&id, "s2", sent + 10, 1));
            }
            ledger.periods.push(period(target, 10_600, 10_700, false));
        })
    };

    let ignored = SoakViolation::IgnoredPause("s2".to_owned(), 0, 3, 10_010);
    assert_eq!(violations_of(3, FaultTarget::Store), [ignored]);
    assert_eq!(violations_of(2, FaultTarget::Store), []);
    assert_eq!(violations_of(3, FaultTarget::Router(0)), []);
    assert_eq!(violations_of(3, FaultTarget::ServerLink(0)), []);
}

/// Routers 1 and 2 are cut off from 10,000 to 20,000; their requests count from 13,000 on.
#[test]
fn requests_of_routers_that_are_cut_off_must_be_served_unless_these_were_disturbed() {
    let violations_of = |failed: u64, target: FaultTarget| {
        violations_with(|ledger| {
            ledger.cuts.push(CutRecord { routers: vec![1, 2], from: 10_000, until: 20_000 });
            for number in 0..60 {
                let (id, router) = (format!("b{number}"), number as usize % 3);
                let is_failed = router == 1 && number < 3 * failed;
                let sent = 13_200 + number * 100;
                let outcome =
                    if is_failed { answered(503, None) } else { answered(200, Some("s2")) };
                ledger.calls.push(CallRecord { router, ..call(&id, sent, outcome) });
                if !is_failed {
                    ledger.arrivals.push(arrival(&id, "s2", sent + 10, 1));
                }
            }
            ledger.periods.push(period(target, 12_000, 20_000, false));
        })
    };

    let unserved = SoakViolation::CutOffUnserved(10_000, 22, 40, 20, 20);
    assert_eq!(violations_of(18, FaultTarget::ServerPaths(1)), [unserved]);
    assert_eq!(violations_of(10, FaultTarget::ServerPaths(1)), []);
    assert_eq!(violations_of(18, FaultTarget::Router(1)), []);
}

/// Failure domain 0, with server s2, is evacuated at 10,000.
#[test]
fn requests_to_an_evacuated_domain_are_found_unless_the_router_was_not_in_touch() {
    let violations_of = |sent: u64, misdirected: bool, target: FaultTarget| {
        violations_with(|ledger| {
            let evacuation = EvacuationRecord { domain: 0, from: 10_000, until: 20_000 };
            ledger.evacuations.push(evacuation);
            ledger.calls.push(call("a", sent, answered(200, Some("s2"))));
            let arrival = arrival("a", "s2", sent + 10, 1);
            ledger.arrivals.push(ArrivalRecord { misdirected, ..arrival });
            ledger.periods.push(period(target, 11_500, 12_000, false));
        })
    };

    let ignored = SoakViolation::IgnoredEvacuation("a".into(), "s2".into(), 0, 15_001, 5_001);
    assert_eq!(violations_of(14_991, false, FaultTarget::Router(1)), [ignored]);
    assert_eq!(violations_of(14_990, false, FaultTarget::Router(1)), []);
    assert_eq!(violations_of(14_991, true, FaultTarget::Router(1)), []);
    assert_eq!(violations_of(14_991, false, FaultTarget::Router(0)), []);
    assert_eq!(violations_of(14_991, false, FaultTarget::Store), []);
    assert_eq!(violations_of(19_990, false, FaultTarget::Store), []);
}

/// Server s2 takes two requests a second while it is cold, so that eight may arrive in a second, from all
/// routers, also those with a fault.
#[test]
fn requests_beyond_what_a_cold_server_takes_are_found() {
    let violations_of = |count: u64, target: FaultTarget| {
        violations_with(|ledger| {
            let (server, per_thousand_seconds) = ("s2".to_owned(), 2_000);
            let cold = ColdPeriod { server, per_thousand_seconds, from: 10_000, until: 12_000 };
            ledger.cold_periods.push(cold);
            for number in 0..count {
                let (id, sent) = (format!("b{number}"), 10_200 + number * 100);
                ledger.calls.push(call(&id, sent, answered(200, Some("s2"))));
                let router = number as usize % 2;
                ledger.arrivals.push(ArrivalRecord { router, ..arrival(&id, "s2", sent + 10, 1) });
            }
            ledger.periods.push(period(target, 10_000, 10_500, false));
        })
    };

    let exceeded = SoakViolation::ColdExceeded("s2".to_owned(), 9, 10_210, 8);
    assert_eq!(violations_of(9, FaultTarget::Router(1)), [exceeded]);
    assert_eq!(violations_of(8, FaultTarget::Router(1)), []);
    assert_eq!(violations_of(9, FaultTarget::ServerLink(0)), []);
}

#[test]
fn a_repeated_run_is_found_unless_the_kind_may_repeat() {
    let violations_of_repeat = |kind: CallKind| {
        violations_with(|ledger| {
            let once = call("a", 10_000, answered(200, Some("s1")));
            ledger.calls.push(CallRecord { kind, ..once });
            for server in ["s1", "s2"] {
                let service = kind.service().to_owned();
                ledger.arrivals.push(ArrivalRecord { service, ..arrival("a", server, 10_010, 1) });
            }
        })
    };

    assert_eq!(violations_of_repeat(CallKind::Single), [SoakViolation::RanTwice("a".to_owned())]);
    assert_eq!(violations_of_repeat(CallKind::Stream), [SoakViolation::RanTwice("a".to_owned())]);
    assert_eq!(violations_of_repeat(CallKind::Idempotent), []);
    assert_eq!(violations_of_repeat(CallKind::Resumable), []);
}

#[test]
fn a_refusal_of_a_request_that_ran_before_or_after_it_is_found() {
    for at in [10_010, 20_000] {
        let violations = violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, answered(503, None)));
            ledger.arrivals.push(arrival("a", "s1", at, 1));
        });

        assert_eq!(violations, [SoakViolation::FalseRefusal("a".to_owned(), "s1".to_owned())]);
    }
}

#[test]
fn a_request_answered_with_502_may_have_run() {
    let violations = violations_with(|ledger| {
        ledger.calls.push(call("a", 10_000, answered(502, None)));
        ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
    });

    assert_eq!(violations, []);
}

#[test]
fn answers_to_other_requests_are_found() {
    let foreign = CallOutcome::Answered { status: 200, sealed_by: Some("s1".into()), valid: false };
    for outcome in [foreign, answered(200, Some("s2"))] {
        let violations = violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, outcome.clone()));
            ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
        });

        assert_eq!(violations, [SoakViolation::ForeignAnswer("a".to_owned())], "{outcome:?}");
    }
}

#[test]
fn runs_that_no_caller_requested_are_found() {
    let violations = violations_with(|ledger| ledger.arrivals.push(arrival("a", "s1", 10_010, 1)));

    assert_eq!(violations, [SoakViolation::UnexpectedRun("a".to_owned(), "s1".to_owned())]);
}

#[test]
fn a_stream_that_breaks_off_is_found_unless_its_server_spoiled_it() {
    let violations_of_stream = |outcome: CallOutcome, spoiled: &str| {
        violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, outcome));
            ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
            ledger.spoiled.insert(spoiled.to_owned());
        })
    };

    let lost = || [SoakViolation::AnswerLost("a".to_owned(), 0, 10_100)];
    assert_eq!(violations_of_stream(CallOutcome::Truncated, "a"), []);
    assert_eq!(violations_of_stream(CallOutcome::Truncated, "b"), lost());
    assert_eq!(violations_of_stream(CallOutcome::Closed, "a"), lost());
}

#[test]
fn an_answer_lost_to_planned_maintenance_is_found_and_one_lost_to_a_kill_is_not() {
    let violations_of_loss = |outcome: CallOutcome, planned: bool| {
        violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, outcome));
            ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
            ledger.periods.push(period(FaultTarget::Router(0), 9_990, 12_000, planned));
        })
    };

    let lost = || [SoakViolation::AnswerLost("a".to_owned(), 0, 10_100)];
    assert_eq!(violations_of_loss(CallOutcome::Closed, true), lost());
    assert_eq!(violations_of_loss(CallOutcome::Truncated, true), lost());
    assert_eq!(violations_of_loss(CallOutcome::Closed, false), []);
}

#[test]
fn a_late_answer_is_found() {
    let violations_of_delay = |more: u64| {
        violations_with(|ledger| {
            let outcome = answered(200, Some("s1"));
            ledger.calls.push(CallRecord { ended: 14_000 + more, ..call("a", 10_000, outcome) });
            ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
        })
    };

    assert_eq!(violations_of_delay(500), []);
    assert_eq!(violations_of_delay(501), [SoakViolation::AnswerOverdue("a".to_owned(), 0, 10_000)]);
}

#[test]
fn a_request_to_a_server_that_left_is_found_if_no_fault_explains_it() {
    let violations_after_leaving = |target: FaultTarget| {
        violations_with(|ledger| {
            ledger.calls.push(call("a", 10_000, answered(200, Some("s1"))));
            ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
            ledger.leavings.push(LeavingRecord { server: "s1".to_owned(), at: 7_990 });
            ledger.calls.retain(|call| call.id == "a");
            ledger.arrivals.retain(|arrival| arrival.id == "a");
            ledger.calls.push(call("last", 100_000, answered(200, Some("s2"))));
            ledger.arrivals.push(arrival("last", "s2", 100_010, 1));
            ledger.periods.push(period(target, 8_000, 8_500, false));
        })
    };

    let left = SoakViolation::ReachedLeftServer("a".to_owned(), "s1".to_owned(), 10_010);
    assert_eq!(violations_after_leaving(FaultTarget::StoreLink(1)), [left]);
    assert_eq!(violations_after_leaving(FaultTarget::StoreLink(0)), []);
    assert_eq!(violations_after_leaving(FaultTarget::Store), []);
}

#[test]
fn older_declarations_after_newer_ones_are_found_within_one_start() {
    let violations_after_regression = |restarted: bool| {
        violations_with(|ledger| {
            ledger.versions.push(VersionRecord { version: 2, at: 9_900 });
            for (id, sent, version) in [("a", 10_000, 2), ("b", 10_600, 1)] {
                ledger.calls.push(call(id, sent, answered(200, Some("s1"))));
                ledger.arrivals.push(arrival(id, "s1", sent + 10, version));
            }
            if restarted {
                ledger.starts.push(StartRecord { router: 0, at: 10_300 });
            }
            ledger.arrivals[0].version = 2;
        })
    };

    assert_eq!(
        violations_after_regression(false),
        [SoakViolation::VersionRegressed("b".to_owned(), 1, 2, 0)]
    );
    assert_eq!(violations_after_regression(true), []);
}

#[test]
fn declarations_applied_too_late_are_found() {
    let violations = violations_with(|ledger| {
        ledger.versions.push(VersionRecord { version: 2, at: 7_000 });
        ledger.calls.push(call("a", 10_000, answered(200, Some("s1"))));
        ledger.arrivals.push(arrival("a", "s1", 10_010, 1));
        ledger.arrivals[0].version = 2;
    });

    assert_eq!(violations, [SoakViolation::VersionOutdated("a".to_owned(), 1, 2)]);
}

#[test]
fn unexpected_exits_and_a_missing_recovery_are_found() {
    let violations = violations_with(|ledger| {
        ledger.exits.push(ProcessExit { router: 3, at: 1, exceeded_grace: false });
        ledger.exits.push(ProcessExit { router: 4, at: 2, exceeded_grace: true });
        ledger.calls[0].outcome = answered(503, None);
        ledger.arrivals.clear();
    });

    let not_recovered = SoakViolation::NotRecovered { served: 0, all: 1 };
    assert_eq!(
        violations,
        [
            SoakViolation::ExitedUnexpectedly(3, 1),
            SoakViolation::GraceExceeded(4, 2),
            not_recovered
        ]
    );
}

/// A ledger in which a service gets this many repeats in a window with 100 requests.
fn violations_with_repeats(repeats: usize) -> Vec<SoakViolation> {
    violations_with(|ledger| {
        for number in 0..101 {
            let id = format!("r-{number}");
            let sent = 10_000 + number * 90;
            ledger.calls.push(CallRecord {
                kind: CallKind::Idempotent,
                ..call(&id, sent, answered(200, Some("s1")))
            });
            ledger.arrivals.push(arrival(&id, "s1", sent + 5, 1));
        }
        for number in 0..repeats {
            let id = format!("r-{}", number % 100);
            let at = 10_010 + (number as u64 % 100) * 90;
            ledger.arrivals.push(ArrivalRecord { ran: false, ..arrival(&id, "s2", at, 1) });
        }
    })
}

#[test]
fn more_repeats_than_the_budget_allows_are_found() {
    let service = CallKind::Idempotent.service().to_owned();

    assert_eq!(violations_with_repeats(70), []);
    assert_eq!(
        violations_with_repeats(71),
        [SoakViolation::TooManyRepeats(service, 71, 10_010, 70)]
    );
}

/// Streams begin at version 1, break off and go on at `software`, or nowhere.
fn violations_with_resumed(resumed: usize, software: Option<u32>) -> Vec<SoakViolation> {
    violations_with(|ledger| {
        for (server, version) in [("s2", 1), ("s3", 1), ("s4", 2), ("s5", 2)] {
            let (server, service) = (server.to_owned(), CallKind::Resumable.service().to_owned());
            let period =
                ServingPeriod { server, service, software: version, from: 0, until: 90_000 };
            ledger.serving.push(period);
        }
        let stream = |id: &str, sent, outcome, software: Option<u32>| CallRecord {
            kind: CallKind::Resumable,
            software: software.into_iter().collect(),
            ..call(id, sent, outcome)
        };
        for number in 0..resumed {
            let (first, second) = (format!("a-{number}"), format!("b-{number}"));
            ledger.calls.push(stream(&first, 10_000, CallOutcome::Truncated, Some(1)));
            let outcome = answered(503, None);
            let resumption = stream(&second, 20_000, outcome, software);
            ledger.calls.push(CallRecord { resumes: Some(first), ..resumption });
        }
    })
}

#[test]
fn streams_with_events_of_two_software_versions_are_found() {
    assert_eq!(violations_with_resumed(2, Some(2)), []);
    assert_eq!(violations_with_resumed(3, Some(2)), [SoakViolation::JoinedVersions(3)]);
    assert_eq!(violations_with_resumed(20, Some(1)), []);
}

#[test]
fn resumed_streams_that_do_not_go_on_are_found() {
    let lost = SoakViolation::LostResumption { went_on: 0, resumed: 12, began: 12, all: 12 };

    assert_eq!(violations_with_resumed(11, None), []);
    assert_eq!(violations_with_resumed(12, None), [lost]);
}
