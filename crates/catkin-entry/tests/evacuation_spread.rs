//! Simulates without a network how fleets of 7 to 330 routers learn of an evacuation, and how many of them
//! read the store for that.

use std::time::Duration;

use catkin_base::{ClockTime, DomainId, VmId};
use catkin_entry::{
    EvacuationReport, EvacuationTable, EvacuationTimes, FleetMember, ReadDecision, RelayBook,
    ReportPlan, StorePoint,
};

/// Bound within which routers must obey.
const BOUND: Duration = Duration::from_millis(5_000);
const STEP_MILLIS: u64 = 20;
/// When the operator evacuates the domain.
const EVACUATED_AT: u64 = 6_000;
/// Time for which a router that ended counts as alive.
const ALIVE_MILLIS: u64 = 1_500;
/// Maximum interval between two reports of a router.
const REPORT_MILLIS: u64 = 400;
/// Reports that a router receives per second at most, which makes intervals longer in large fleets.
const REPORTS_PER_SECOND: u64 = 450;
/// Distance between the identifiers of routers.
const VM_FACTOR: u64 = 7_919;
const SIZES: [(u64, u64); 4] = [(7, 3), (66, 3), (195, 6), (330, 6)];

struct SimRouter {
    vm: VmId,
    domain: DomainId,
    up: bool,
    /// Until when other routers count it as alive; `None` while it runs.
    alive_until: Option<u64>,
    /// Whether the store answers this router.
    reads: bool,
    book: RelayBook,
    plan: ReportPlan,
    table: EvacuationTable,
    /// When the open call began, and whether it is a watch.
    call: Option<(u64, bool)>,
    relied: bool,
    changed: bool,
    checked_at: u64,
    reported_at: u64,
    obeyed_at: Option<u64>,
}

struct SimFleet {
    routers: Vec<SimRouter>,
    now: u64,
    calls: u64,
}

fn clock(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn store_point(now: u64) -> StorePoint {
    StorePoint::new(0, if now >= EVACUATED_AT { 2 } else { 1 })
}

impl SimFleet {
    fn new(count: u64, domains: u64) -> Self {
        let router = |index: u64| SimRouter {
            vm: VmId(index * VM_FACTOR + 1),
            domain: DomainId(index % domains),
            up: true,
            alive_until: None,
            reads: true,
            book: RelayBook::default(),
            plan: ReportPlan { short_watches: true, ..ReportPlan::default() },
            table: EvacuationTable::default(),
            call: None,
            relied: true,
            changed: false,
            checked_at: index % 13 * STEP_MILLIS,
            reported_at: 0,
            obeyed_at: None,
        };
        Self { routers: (0..count).map(router).collect(), now: 0, calls: 0 }
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MILLIS;
            for index in 0..self.routers.len() {
                if self.routers[index].up {
                    self.read_store(index);
                    self.send_reports(index);
                }
            }
        }
    }

    /// Begins or ends a call of a router to the store.
    fn read_store(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        let times = EvacuationTimes::choose(BOUND, router.vm);
        let Some((began, watches)) = router.call else {
            let decision = router.table.choose_read(clock(now), router.plan.short_watches, times);
            let reads = decision == ReadDecision::Read;
            if reads {
                router.call = Some((now, !router.relied));
                self.calls += 1;
            }
            router.relied = !reads;
            return;
        };
        let waited = now - began >= times.watch.as_millis() as u64;
        let is_changed = router.table.point() != Some(store_point(now));
        if !router.reads {
            // The store turns the call away; the next one follows a while later.
            router.call = (now - began < REPORT_MILLIS).then_some((began, watches));
            router.relied |= router.call.is_none();
        } else if !watches || waited || is_changed {
            router.call = None;
            let names = ["z"].into_iter().filter(|_| now >= EVACUATED_AT);
            let at = clock(now);
            let changes = router.table.apply_list(at, at, store_point(now), names);
            router.record(now, !changes.is_empty());
        }
    }

    /// Sends the reports of a router that are due.
    fn send_reports(&mut self, index: usize) {
        let now = self.now;
        let member = |router: &SimRouter| FleetMember {
            vm: router.vm,
            domain: Some(router.domain),
            alive: router.alive_until.is_none_or(|until| now < until),
            strength: 1 + router.vm.0 as u32 % 3,
        };
        let peers = self.routers[index].plan.direct_peers.len() as u64;
        let interval = (1_000 * peers / REPORTS_PER_SECOND).max(2 * STEP_MILLIS);
        if now < self.routers[index].checked_at + interval {
            return;
        }
        let local = member(&self.routers[index]);
        let others: Vec<_> =
            self.routers.iter().map(member).filter(|other| other.vm != local.vm).collect();
        let router = &mut self.routers[index];
        router.checked_at = now;
        router.plan = router.book.plan_reports(clock(now), local, &others);
        let plan = router.plan.clone();
        let due = router.changed || now >= router.reported_at + REPORT_MILLIS || plan.is_relay;
        let Some(report) = router.table.build_report(clock(now)).filter(|_| due) else { return };
        (router.changed, router.reported_at) = (false, now);
        self.deliver(&report, &plan.direct_peers, None);
        self.deliver(&report, &plan.remote_peers, Some(local));
    }

    fn deliver(&mut self, report: &EvacuationReport, peers: &[VmId], relay: Option<FleetMember>) {
        let now = self.now;
        for vm in peers {
            let router = &mut self.routers[(vm.0 / VM_FACTOR) as usize];
            if !router.up {
                continue;
            }
            if let Some(FleetMember { vm, domain: Some(domain), .. }) = relay {
                router.book.record_relay(clock(now), domain, vm);
            }
            let changes = router.table.apply_report(clock(now), report);
            router.record(now, !changes.is_empty());
        }
    }

    /// Checks that all routers that run obey in time; returns how long the last one took.
    fn assert_obeyed(&self) -> u64 {
        let last = self.routers.iter().filter(|router| router.up).map(|router| {
            let at = router.obeyed_at.expect("the router learns of the evacuation");
            at - EVACUATED_AT
        });
        let last = last.max().unwrap();
        assert!(last < BOUND.as_millis() as u64, "{last}");
        last
    }
}

impl SimRouter {
    fn record(&mut self, now: u64, changed: bool) {
        self.changed |= changed;
        if self.table.contains(DomainId::from_name("z")) {
            self.obeyed_at.get_or_insert(now);
        }
    }
}

/// Checks also that the store is called only by the routers with short watches, at most 6.
#[test]
fn few_routers_read_the_store_and_all_obey() {
    for (count, domains) in SIZES {
        let mut fleet = SimFleet::new(count, domains);
        fleet.run_until(EVACUATED_AT / 2);
        fleet.calls = 0;
        fleet.run_until(EVACUATED_AT);
        let calls = fleet.calls as f64 / (EVACUATED_AT as f64 / 2_000.0);
        fleet.run_until(EVACUATED_AT + BOUND.as_millis() as u64);

        let last = fleet.assert_obeyed();
        println!("routers={count} calls_per_second={calls} last_millis={last}");
        let readers = fleet.routers.iter().filter(|router| router.plan.short_watches).count();
        assert!(readers <= 6 && calls <= 1.25 * readers as f64, "{count}: {readers} {calls}");
    }
}

/// Guards against fleets that wait for reports of routers that ended.
#[test]
fn all_obey_though_the_routers_that_read_the_store_have_ended() {
    for (count, domains) in SIZES {
        let mut fleet = SimFleet::new(count, domains);
        fleet.run_until(EVACUATED_AT - STEP_MILLIS);
        for router in &mut fleet.routers {
            router.up = !router.plan.short_watches && !router.plan.is_relay;
            router.alive_until = (!router.up).then_some(EVACUATED_AT + ALIVE_MILLIS);
        }
        fleet.run_until(EVACUATED_AT + BOUND.as_millis() as u64);

        println!("routers={count} last_millis={}", fleet.assert_obeyed());
    }
}

/// Guards against fleets in which no router that reads the store is answered, but for a single one.
#[test]
fn all_obey_though_the_store_answers_one_router_only() {
    for (count, domains) in SIZES {
        let mut fleet = SimFleet::new(count, domains);
        fleet.run_until(EVACUATED_AT / 2);
        for (index, router) in fleet.routers.iter_mut().enumerate() {
            router.reads = index as u64 == count / 2;
        }
        fleet.run_until(EVACUATED_AT + BOUND.as_millis() as u64);

        println!("routers={count} last_millis={}", fleet.assert_obeyed());
    }
}
