//! Simulates without a network how routers load the cache index after starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkin_base::{ServerId, VmId};
use catkin_entry::CacheSync;

const STEP_MILLIS: u64 = 100;
const SYNC_MILLIS: u64 = 3_000;

struct TestRouter {
    vm: VmId,
    starts_at: u64,
    sync: CacheSync,
    known: BTreeSet<ServerId>,
    /// Engines that it requested lists from.
    listed: Vec<ServerId>,
    /// Time since its start at which its index became usable, and the number of engines known then.
    usable: Option<(u64, usize)>,
}

struct TestRun {
    routers: Vec<TestRouter>,
    engines: Vec<ServerId>,
    /// Number of requests to each engine.
    requests: BTreeMap<ServerId, u32>,
    /// Number of times that routers sent their whole index.
    answers: usize,
}

impl TestRun {
    fn new(starts: &[u64], engines: u64) -> Self {
        let router = |(index, starts_at): (usize, &u64)| TestRouter {
            vm: VmId(index as u64 + 1),
            starts_at: *starts_at,
            sync: CacheSync::default(),
            known: BTreeSet::new(),
            listed: Vec::new(),
            usable: None,
        };
        Self {
            routers: starts.iter().enumerate().map(router).collect(),
            engines: (1..=engines).map(|index| ServerId(index * 77_777)).collect(),
            requests: BTreeMap::new(),
            answers: 0,
        }
    }

    fn run(&mut self, until: u64) {
        for millis in (0..until).step_by(10) {
            for index in 0..self.routers.len() {
                let starts_at = self.routers[index].starts_at;
                let due = millis >= starts_at && (millis - starts_at).is_multiple_of(STEP_MILLIS);
                if due && millis - starts_at >= SYNC_MILLIS {
                    self.routers[index].sync.mark_complete();
                } else if due {
                    self.advance(index, millis);
                }
            }
        }
    }

    /// Records what routers know when their index becomes usable.
    fn record_usable(&mut self, millis: u64) {
        for router in self.routers.iter_mut().filter(|router| router.usable.is_none()) {
            if router.sync.is_usable() {
                router.usable = Some((millis - router.starts_at, router.known.len()));
            }
        }
    }

    fn advance(&mut self, index: usize, millis: u64) {
        let vms: Vec<VmId> = self.routers.iter().map(|router| router.vm).collect();
        let local_vm = vms[index];
        let since = Duration::from_millis(millis - self.routers[index].starts_at);
        let sources = self.routers[index].sync.choose_sources(local_vm, &vms, since);
        for source in sources {
            let source = vms.iter().position(|vm| *vm == source).unwrap();
            let up = self.routers[source].starts_at <= millis;
            if up && self.routers[source].sync.is_usable() {
                self.answers += 1;
                let known = self.routers[source].known.clone();
                let complete = self.routers[source].sync.is_complete();
                self.routers[index].sync.record_lists(known.iter().copied());
                self.routers[index].known.extend(known);
                self.routers[index].sync.record_peer_sync(complete);
            }
        }
        let engines = self.engines.iter().copied();
        let engines = self.routers[index].sync.take_assigned_engines(local_vm, &vms, engines);
        for engine in &engines {
            *self.requests.entry(*engine).or_default() += 1;
        }
        self.routers[index].listed.extend(&engines);
        let again = self.routers[index].sync.take_reannouncement(since);
        let announced = if again { self.routers[index].listed.clone() } else { engines };
        for router in self.routers.iter_mut().filter(|router| router.starts_at <= millis) {
            router.known.extend(&announced);
            router.sync.record_lists(announced.iter().copied());
        }
        self.record_usable(millis);
    }
}

/// Guards against incomplete indexes after all routers were lost at once. Seven routers came back
/// within half a second. Those that got an index from another router did not request lists from the
/// engines assigned to them, and a router whose sources had not started yet got no index at all.
#[test]
fn routers_that_restart_together_request_each_engine_once_and_all_get_every_list() {
    for spread in [0, 30, 70, 150, 240] {
        let starts: Vec<u64> = (0..7).map(|index| index * spread).collect();
        let mut run = TestRun::new(&starts, 11);

        run.run(4_500);

        let counts: Vec<u32> = run.requests.values().copied().collect();
        assert_eq!(counts, [1; 11], "spread {spread}");
        for router in &run.routers {
            assert_eq!(router.known.len(), 11, "router {} with spread {spread}", router.vm);
            let (after, known) = router.usable.unwrap();
            assert!(
                known >= 9,
                "router {} selects servers by {known} lists, spread {spread}",
                router.vm
            );
            let last = starts.last().unwrap() - router.starts_at;
            assert!(after <= last + 200, "router {} after {after} ms", router.vm);
        }
    }
}

#[test]
fn a_router_that_restarts_alone_gets_the_index_of_another_and_queries_no_engine() {
    let mut run = TestRun::new(&[0, 0, 0, 0, 0, 0, 20_000], 11);
    run.run(19_000);
    let (requests, answers) = (run.requests.clone(), run.answers);
    let assigned_to_last = 11 - requests.len();

    run.run(24_000);

    assert_eq!(run.routers[6].known.len(), 11 - assigned_to_last);
    assert!(run.answers > answers && run.answers <= answers + 6 * 4 + 2);
    assert_eq!(run.requests, requests);
}

#[test]
fn a_new_fleet_sends_no_requests() {
    let mut sync = CacheSync::default();
    sync.mark_complete();

    let routers = [VmId(1), VmId(2)];
    assert!(sync.choose_sources(VmId(1), &routers, Duration::from_secs(1)).is_empty());
    let engines = [ServerId(1), ServerId(2)].into_iter();
    assert!(sync.take_assigned_engines(VmId(1), &routers, engines).is_empty());
    assert!(sync.is_usable() && sync.is_complete());
}

#[test]
fn a_router_of_a_large_fleet_requests_the_index_of_a_few_routers() {
    let starts: Vec<u64> = (0..87).map(|index| index / 2 * 10).collect();
    let mut run = TestRun::new(&starts, 90);

    run.run(4_500);

    assert!(run.answers <= 87 * 6, "{}", run.answers);
    assert_eq!(run.requests.len(), 90);
    assert!(run.routers.iter().all(|router| router.known.len() == 90));
}
