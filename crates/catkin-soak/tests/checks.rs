//! Each promise, broken in a ledger made up for it, is found; a sound ledger passes.

use catkin_soak::{
    CallEnd, CallKind, CallRecord, FaultPeriod, FaultSubject, LeavingRecord, ProcessEnd, RunRecord,
    SoakBounds, SoakBreach, SoakLedger, StartRecord, VersionRecord, find_breaches,
};

fn answered(status: u16, sealed_by: Option<&str>) -> CallEnd {
    CallEnd::Answered { status, sealed_by: sealed_by.map(str::to_owned), genuine: true }
}

fn call(id: &str, sent: u64, end: CallEnd) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind: CallKind::Single,
        router: 0,
        sent,
        ended: sent + 100,
        patience: 4_000,
        end,
    }
}

fn run(id: &str, server: &str, at: u64, version: u64) -> RunRecord {
    RunRecord {
        id: id.to_owned(),
        server: server.to_owned(),
        place: 0,
        service: CallKind::Single.service().to_owned(),
        version,
        at,
        ran: true,
    }
}

fn period(subject: FaultSubject, from: u64, until: u64, planned: bool) -> FaultPeriod {
    FaultPeriod { subject, from, until, planned }
}

/// A router that started once, and one request served long after the last fault.
fn sound_ledger() -> SoakLedger {
    SoakLedger {
        calls: vec![call("last", 100_000, answered(200, Some("s1")))],
        runs: vec![run("last", "s1", 100_010, 1)],
        starts: vec![StartRecord { router: 0, at: 0 }],
        versions: vec![VersionRecord { version: 1, at: 0 }],
        calm_from: 50_000,
        ..SoakLedger::default()
    }
}

fn breaches_with(change: impl FnOnce(&mut SoakLedger)) -> Vec<SoakBreach> {
    let mut ledger = sound_ledger();
    change(&mut ledger);
    find_breaches(&ledger, &SoakBounds::default())
}

#[test]
fn a_sound_ledger_passes() {
    assert_eq!(breaches_with(|_| {}), []);
}

#[test]
fn a_second_run_is_found_unless_the_kind_may_repeat() {
    let twice = |kind: CallKind| {
        breaches_with(|ledger| {
            let once = call("a", 10_000, answered(200, Some("s1")));
            ledger.calls.push(CallRecord { kind, ..once });
            for server in ["s1", "s2"] {
                let service = kind.service().to_owned();
                ledger.runs.push(RunRecord { service, ..run("a", server, 10_010, 1) });
            }
        })
    };

    assert_eq!(twice(CallKind::Single), [SoakBreach::Twice("a".to_owned())]);
    assert_eq!(twice(CallKind::Stream), [SoakBreach::Twice("a".to_owned())]);
    assert_eq!(twice(CallKind::Idempotent), []);
    assert_eq!(twice(CallKind::Resumable), []);
}

#[test]
fn a_refusal_of_a_request_that_ran_is_found_also_if_it_ran_later() {
    for at in [10_010, 20_000] {
        let breaches = breaches_with(|ledger| {
            ledger.calls.push(call("a", 10_000, answered(503, None)));
            ledger.runs.push(run("a", "s1", at, 1));
        });

        assert_eq!(breaches, [SoakBreach::FalseRefusal("a".to_owned(), "s1".to_owned())]);
    }
}

#[test]
fn an_answer_that_promises_nothing_may_have_run() {
    let breaches = breaches_with(|ledger| {
        ledger.calls.push(call("a", 10_000, answered(502, None)));
        ledger.runs.push(run("a", "s1", 10_010, 1));
    });

    assert_eq!(breaches, []);
}

#[test]
fn foreign_bytes_are_found() {
    let foreign = CallEnd::Answered { status: 200, sealed_by: Some("s1".into()), genuine: false };
    for end in [foreign, answered(200, Some("s2"))] {
        let breaches = breaches_with(|ledger| {
            ledger.calls.push(call("a", 10_000, end.clone()));
            ledger.runs.push(run("a", "s1", 10_010, 1));
        });

        assert_eq!(breaches, [SoakBreach::ForeignBytes("a".to_owned())], "{end:?}");
    }
}

#[test]
fn runs_that_nobody_asked_for_are_found() {
    let breaches = breaches_with(|ledger| ledger.runs.push(run("a", "s1", 10_010, 1)));

    assert_eq!(breaches, [SoakBreach::Unasked("a".to_owned(), "s1".to_owned())]);
}

#[test]
fn a_request_cut_by_planned_work_is_found_and_one_cut_by_a_kill_is_not() {
    let cut = |end: CallEnd, planned: bool| {
        breaches_with(|ledger| {
            ledger.calls.push(call("a", 10_000, end));
            ledger.runs.push(run("a", "s1", 10_010, 1));
            ledger.periods.push(period(FaultSubject::Router(0), 9_990, 12_000, planned));
        })
    };

    let lost = || [SoakBreach::Lost("a".to_owned(), 0, 10_100)];
    assert_eq!(cut(CallEnd::Closed, true), lost());
    assert_eq!(cut(CallEnd::Cut, true), lost());
    assert_eq!(cut(CallEnd::Closed, false), []);
}

#[test]
fn a_request_without_an_answer_in_time_is_found() {
    let late = |more: u64| {
        breaches_with(|ledger| {
            let end = answered(200, Some("s1"));
            ledger.calls.push(CallRecord { ended: 14_000 + more, ..call("a", 10_000, end) });
            ledger.runs.push(run("a", "s1", 10_010, 1));
        })
    };

    assert_eq!(late(500), []);
    assert_eq!(late(501), [SoakBreach::Unanswered("a".to_owned(), 0, 10_000)]);
}

#[test]
fn a_request_to_a_server_that_left_is_found_if_the_router_could_know() {
    let after = |subject: FaultSubject| {
        breaches_with(|ledger| {
            ledger.calls.push(call("a", 10_000, answered(200, Some("s1"))));
            ledger.runs.push(run("a", "s1", 10_010, 1));
            ledger.leavings.push(LeavingRecord { server: "s1".to_owned(), at: 7_990 });
            ledger.calls.retain(|call| call.id == "a");
            ledger.runs.retain(|run| run.id == "a");
            ledger.calls.push(call("last", 100_000, answered(200, Some("s2"))));
            ledger.runs.push(run("last", "s2", 100_010, 1));
            ledger.periods.push(period(subject, 8_000, 8_500, false));
        })
    };

    let left = SoakBreach::Left("a".to_owned(), "s1".to_owned(), 10_010);
    assert_eq!(after(FaultSubject::StoreLink(1)), [left]);
    assert_eq!(after(FaultSubject::StoreLink(0)), []);
    assert_eq!(after(FaultSubject::Store), []);
}

#[test]
fn older_declarations_after_newer_ones_are_found_within_one_start() {
    let back = |restarted: bool| {
        breaches_with(|ledger| {
            ledger.versions.push(VersionRecord { version: 2, at: 9_900 });
            for (id, sent, version) in [("a", 10_000, 2), ("b", 10_600, 1)] {
                ledger.calls.push(call(id, sent, answered(200, Some("s1"))));
                ledger.runs.push(run(id, "s1", sent + 10, version));
            }
            if restarted {
                ledger.starts.push(StartRecord { router: 0, at: 10_300 });
            }
            ledger.runs[0].version = 2;
        })
    };

    assert_eq!(back(false), [SoakBreach::WentBack("b".to_owned(), 1, 2, 0)]);
    assert_eq!(back(true), []);
}

#[test]
fn declarations_that_come_into_force_too_late_are_found() {
    let breaches = breaches_with(|ledger| {
        ledger.versions.push(VersionRecord { version: 2, at: 7_000 });
        ledger.calls.push(call("a", 10_000, answered(200, Some("s1"))));
        ledger.runs.push(run("a", "s1", 10_010, 1));
        ledger.runs[0].version = 2;
    });

    assert_eq!(breaches, [SoakBreach::Outdated("a".to_owned(), 1, 2)]);
}

#[test]
fn ends_of_processes_and_a_fleet_that_stays_down_are_found() {
    let breaches = breaches_with(|ledger| {
        ledger.ends.push(ProcessEnd { router: 3, at: 1, overran: false });
        ledger.ends.push(ProcessEnd { router: 4, at: 2, overran: true });
        ledger.calls[0].end = answered(503, None);
        ledger.runs.clear();
    });

    let stays = SoakBreach::NotRecovered { served: 0, all: 1 };
    assert_eq!(breaches, [SoakBreach::EndedItself(3, 1), SoakBreach::Overran(4, 2), stays]);
}
