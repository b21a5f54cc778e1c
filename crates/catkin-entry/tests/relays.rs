//! Simulates without a network how the routers of a large fleet report to their own domain, and
//! relays to other domains.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, DomainId, ServerId, VmId};
use catkin_entry::{
    FleetMember, LoadSource, LoadTable, OpenLoad, RelayBook, ReportPlan, ReportedLoads,
};

const DOMAINS: u64 = 4;
const PAUSE_MILLIS: u64 = 60;
const ALIVE_MILLIS: u64 = 1_500;

/// One VM in three is small.
fn vm_strength(vm: VmId) -> u32 {
    if vm.0.is_multiple_of(3) { 1 } else { 100 }
}

struct TestRouter {
    vm: VmId,
    domain: DomainId,
    up: bool,
    book: RelayBook,
    loads: LoadTable,
    last_heard: BTreeMap<VmId, u64>,
    is_relay: bool,
}

struct TestFleet {
    routers: Vec<TestRouter>,
    now: u64,
    /// Number of reports that each router received in the last step.
    received: BTreeMap<VmId, u32>,
}

impl TestFleet {
    fn new(count: u64) -> Self {
        let router = |index: u64| TestRouter {
            vm: VmId(index + 1),
            domain: DomainId(index % DOMAINS),
            up: true,
            book: RelayBook::default(),
            loads: LoadTable::default(),
            last_heard: (0..count).map(|other| (VmId(other + 1), 0)).collect(),
            is_relay: false,
        };
        Self { routers: (0..count).map(router).collect(), now: 0, received: BTreeMap::new() }
    }

    fn clock(&self) -> ClockTime {
        ClockTime::from_millis(self.now)
    }

    fn plan(&mut self, index: usize) -> ReportPlan {
        let now = self.now;
        let domains: Vec<DomainId> = self.routers.iter().map(|router| router.domain).collect();
        let clock = self.clock();
        let router = &mut self.routers[index];
        let member = |(vm, last_heard): (&VmId, &u64)| FleetMember {
            vm: *vm,
            domain: Some(domains[vm.0 as usize - 1]),
            alive: now - last_heard < ALIVE_MILLIS,
            strength: vm_strength(*vm),
        };
        let others: Vec<FleetMember> =
            router.last_heard.iter().map(member).filter(|member| member.vm != router.vm).collect();
        let local = FleetMember {
            vm: router.vm,
            domain: Some(router.domain),
            alive: true,
            strength: vm_strength(router.vm),
        };
        let plan = router.book.plan_reports(clock, local, &others);
        router.is_relay = plan.is_relay;
        plan
    }

    fn send(&mut self, from: usize, to: VmId, source: LoadSource, loads: ReportedLoads) {
        let clock = self.clock();
        let (vm, domain) = (self.routers[from].vm, self.routers[from].domain);
        let now = self.now;
        let receiver = &mut self.routers[to.0 as usize - 1];
        if !receiver.up {
            return;
        }
        *self.received.entry(to).or_default() += 1;
        receiver.last_heard.insert(vm, now);
        if matches!(source, LoadSource::Domain(_)) {
            receiver.book.record_relay(clock, domain, vm);
            if !receiver.is_relay {
                return;
            }
        }
        receiver.loads.record_report(clock, source, loads);
    }

    /// Sends one report of every router that is up.
    fn send_reports(&mut self) {
        self.now += PAUSE_MILLIS;
        self.received.clear();
        let clock = self.clock();
        for index in 0..self.routers.len() {
            self.routers[index].loads.remove_expired(clock);
            if !self.routers[index].up {
                continue;
            }
            let plan = self.plan(index);
            let (vm, domain) = (self.routers[index].vm, self.routers[index].domain);
            let local = ReportedLoads::of_router(self.routers[index].loads.local_loads().clone());
            for to in &plan.direct_peers {
                self.send(index, *to, LoadSource::Router(vm), local.clone());
            }
            if plan.is_relay {
                self.routers[index].loads.set_other_domain_count(plan.other_domain_count);
                let (routers, opens) = self.routers[index].loads.aggregate_domain(clock);
                let totals = ReportedLoads {
                    routers,
                    fragment: 0,
                    fragments: 1,
                    opens,
                    demands: BTreeMap::new(),
                    team_demands: BTreeMap::new(),
                };
                for to in &plan.remote_peers {
                    self.send(index, *to, LoadSource::Domain(domain), totals.clone());
                }
                if !self.routers[index].loads.covers_other_domains() {
                    continue;
                }
                let (routers, opens) = self.routers[index].loads.aggregate_other_domains(clock);
                let totals = ReportedLoads {
                    routers,
                    fragment: 0,
                    fragments: 1,
                    opens,
                    demands: BTreeMap::new(),
                    team_demands: BTreeMap::new(),
                };
                for to in &plan.direct_peers {
                    self.send(index, *to, LoadSource::OtherDomains, totals.clone());
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(PAUSE_MILLIS) {
            self.send_reports();
        }
    }

    fn relays(&self) -> Vec<(DomainId, VmId)> {
        let up = self.routers.iter().filter(|router| router.up && router.is_relay);
        up.map(|router| (router.domain, router.vm)).collect()
    }

    fn totals(&self, server: ServerId) -> BTreeSet<u32> {
        let up = self.routers.iter().filter(|router| router.up);
        up.map(|router| router.loads.total_load(server).open).collect()
    }
}

#[test]
fn one_relay_per_domain_gives_all_routers_the_same_totals() {
    let mut fleet = TestFleet::new(87);
    for router in &mut fleet.routers {
        router.loads.open(ServerId(7), 10);
    }

    fleet.run(600);

    assert_eq!(fleet.relays().len(), DOMAINS as usize);
    assert_eq!(fleet.totals(ServerId(7)), BTreeSet::from([87]));
    let clock = fleet.clock();
    assert!(fleet.routers.iter().all(|router| router.loads.live_routers(clock) == 87));
}

#[test]
fn the_number_of_received_reports_grows_with_the_domain_only() {
    let mut fleet = TestFleet::new(300);

    fleet.run(600);

    let max = fleet.received.values().max().unwrap();
    assert!(*max <= 300 / DOMAINS as u32 + 2 * DOMAINS as u32, "{max} reports");
}

#[test]
fn a_lost_relay_is_replaced_and_the_loads_of_its_domain_stay_counted() {
    let mut fleet = TestFleet::new(87);
    for router in &mut fleet.routers {
        router.loads.open(ServerId(7), 10);
    }
    fleet.run(600);
    let (domain, lost) = fleet.relays()[0];

    fleet.routers[lost.0 as usize - 1].up = false;
    for _ in 0..60 {
        fleet.send_reports();
        let totals = fleet.totals(ServerId(7));
        assert!(totals.iter().all(|open| (86..=87).contains(open)), "{totals:?}");
    }

    assert_eq!(fleet.relays().len(), DOMAINS as usize);
    assert!(fleet.relays().iter().any(|(other, vm)| *other == domain && *vm != lost));
    assert_eq!(fleet.totals(ServerId(7)), BTreeSet::from([86]));
}

#[test]
fn all_relays_lost_at_once_are_replaced_within_the_lifetime_of_a_report() {
    let mut fleet = TestFleet::new(87);
    fleet.run(600);
    for (_, lost) in fleet.relays() {
        fleet.routers[lost.0 as usize - 1].up = false;
    }
    fleet.run(2_400);
    for router in &mut fleet.routers {
        router.loads.open(ServerId(7), 10);
    }

    fleet.run(600);

    assert_eq!(fleet.relays().len(), DOMAINS as usize);
    assert_eq!(fleet.totals(ServerId(7)), BTreeSet::from([83]));
}

#[test]
fn small_vms_do_not_relay_while_a_strong_one_is_alive() {
    let mut fleet = TestFleet::new(87);

    fleet.run(600);

    assert!(fleet.relays().iter().all(|(_, vm)| vm_strength(*vm) == 100), "{:?}", fleet.relays());
}

#[test]
fn each_domain_has_a_router_without_stale_reads_also_after_it_is_lost() {
    let mut fleet = TestFleet::new(87);
    fleet.run(600);
    let readers = |fleet: &mut TestFleet| {
        let up: Vec<usize> = (0..87).filter(|index| fleet.routers[*index].up).collect();
        let reading = up.into_iter().filter(|index| fleet.plan(*index).consistent_reads);
        reading.collect::<Vec<usize>>()
    };
    let before = readers(&mut fleet);
    for reader in &before {
        fleet.routers[*reader].up = false;
    }

    fleet.run(2_400);

    let domains = |readers: &[usize]| -> BTreeSet<u64> {
        readers.iter().map(|index| *index as u64 % DOMAINS).collect()
    };
    let after = readers(&mut fleet);
    assert_eq!((before.len(), domains(&before).len()), (4, 4));
    assert_eq!((after.len(), domains(&after).len()), (4, 4));
}

#[test]
fn every_router_of_a_small_fleet_reports_to_every_other_one() {
    let mut fleet = TestFleet::new(12);

    let plan = fleet.plan(0);

    assert_eq!(plan.direct_peers.len(), 11);
    assert!(!plan.is_relay && plan.remote_peers.is_empty());
}

#[test]
fn fragments_of_an_earlier_report_do_not_count_twice() {
    let clock = ClockTime::from_millis(5);
    let mut table = LoadTable::default();
    let report = |fragment: u32, fragments: u32, server: u64| ReportedLoads {
        routers: 3,
        fragment,
        fragments,
        opens: BTreeMap::from([(ServerId(server), OpenLoad { open: 2, ..OpenLoad::default() })]),
        demands: BTreeMap::new(),
        team_demands: BTreeMap::new(),
    };
    table.record_report(clock, LoadSource::OtherDomains, report(0, 2, 10));
    table.record_report(clock, LoadSource::OtherDomains, report(1, 2, 11));
    assert_eq!((table.total_load(ServerId(10)).open, table.total_load(ServerId(11)).open), (2, 2));
    assert_eq!(table.live_routers(clock), 4);

    table.record_report(clock, LoadSource::OtherDomains, report(0, 1, 11));

    assert_eq!((table.total_load(ServerId(10)).open, table.total_load(ServerId(11)).open), (0, 2));
}

#[test]
fn a_router_that_is_no_longer_a_relay_counts_domains_once() {
    let mut table = LoadTable::default();
    let loads = ReportedLoads::of_router(BTreeMap::from([(
        ServerId(1),
        OpenLoad { open: 2, ..OpenLoad::default() },
    )]));
    let source = LoadSource::Domain(DomainId(1));
    table.record_report(ClockTime::from_millis(0), source, loads.clone());

    table.record_report(ClockTime::from_millis(100), LoadSource::OtherDomains, loads.clone());
    assert_eq!(table.total_load(ServerId(1)).open, 2);
    table.record_report(ClockTime::from_millis(1_600), LoadSource::OtherDomains, loads);
    assert_eq!(table.total_load(ServerId(1)).open, 2);
}

/// Guards against a store whose connections go silent at all routers at once while the routers that
/// would notice it early are down.
#[test]
fn two_live_routers_of_a_small_fleet_have_short_watches() {
    let member = |vm: u64, alive: bool| FleetMember {
        vm: VmId(vm),
        domain: Some(DomainId(vm % DOMAINS)),
        alive,
        strength: vm_strength(VmId(vm)),
    };
    for down in 0..7 {
        let is_watcher = |local: &u64| {
            let others: Vec<FleetMember> = (0..7)
                .filter(|other| other != local)
                .map(|other| member(other, other != down))
                .collect();
            let plan =
                RelayBook::default().plan_reports(ClockTime::ZERO, member(*local, true), &others);
            plan.short_watches
        };

        let watchers = (0..7).filter(|local| *local != down).filter(is_watcher).count();

        assert_eq!(watchers, 2, "router {down} is down");
    }
}
