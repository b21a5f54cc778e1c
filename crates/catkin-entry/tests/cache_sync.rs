//! What routers learn of engines after starts, played without network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkin_base::{ServerId, VmId};
use catkin_entry::CacheSync;

const STEP_MILLIS: u64 = 100;
const ASK_MILLIS: u64 = 3_000;

struct TestRouter {
    vm: VmId,
    starts_at: u64,
    learning: CacheSync,
    known: BTreeSet<ServerId>,
    /// Engines that it asked itself.
    listed: Vec<ServerId>,
    /// Since its start, when it began to place requests by what it knew, and of how many engines.
    usable: Option<(u64, usize)>,
}

struct TestPlay {
    routers: Vec<TestRouter>,
    engines: Vec<ServerId>,
    /// How often each engine was asked.
    asked: BTreeMap<ServerId, u32>,
    /// How often routers told all that they know.
    tellings: usize,
}

impl TestPlay {
    fn new(starts: &[u64], engines: u64) -> Self {
        let router = |(index, starts_at): (usize, &u64)| TestRouter {
            vm: VmId(index as u64 + 1),
            starts_at: *starts_at,
            learning: CacheSync::default(),
            known: BTreeSet::new(),
            listed: Vec::new(),
            usable: None,
        };
        Self {
            routers: starts.iter().enumerate().map(router).collect(),
            engines: (1..=engines).map(|index| ServerId(index * 77_777)).collect(),
            asked: BTreeMap::new(),
            tellings: 0,
        }
    }

    fn run(&mut self, until: u64) {
        for millis in (0..until).step_by(10) {
            for index in 0..self.routers.len() {
                let starts_at = self.routers[index].starts_at;
                let due = millis >= starts_at && (millis - starts_at).is_multiple_of(STEP_MILLIS);
                if due && millis - starts_at >= ASK_MILLIS {
                    self.routers[index].learning.mark_complete();
                } else if due {
                    self.step(index, millis);
                }
            }
        }
    }

    /// Notes what routers know when they begin to place requests by it.
    fn note_usable(&mut self, millis: u64) {
        for router in self.routers.iter_mut().filter(|router| router.usable.is_none()) {
            if router.learning.is_usable() {
                router.usable = Some((millis - router.starts_at, router.known.len()));
            }
        }
    }

    fn step(&mut self, index: usize, millis: u64) {
        let vms: Vec<VmId> = self.routers.iter().map(|router| router.vm).collect();
        let own = vms[index];
        let since = Duration::from_millis(millis - self.routers[index].starts_at);
        let tellers = self.routers[index].learning.choose_sources(own, &vms, since);
        for teller in tellers {
            let teller = vms.iter().position(|vm| *vm == teller).unwrap();
            let up = self.routers[teller].starts_at <= millis;
            if up && self.routers[teller].learning.is_usable() {
                self.tellings += 1;
                let known = self.routers[teller].known.clone();
                let whole = self.routers[teller].learning.is_complete();
                self.routers[index].learning.record_lists(known.iter().copied());
                self.routers[index].known.extend(known);
                self.routers[index].learning.record_peer_sync(whole);
            }
        }
        let engines = self.engines.iter().copied();
        let engines = self.routers[index].learning.take_assigned_engines(own, &vms, engines);
        for engine in &engines {
            *self.asked.entry(*engine).or_default() += 1;
        }
        self.routers[index].listed.extend(&engines);
        let again = self.routers[index].learning.take_reannouncement(since);
        let told = if again { self.routers[index].listed.clone() } else { engines };
        for router in self.routers.iter_mut().filter(|router| router.starts_at <= millis) {
            router.known.extend(&told);
            router.learning.record_lists(told.iter().copied());
        }
        self.note_usable(millis);
    }
}

/// dgo-quotes, scale-2: of seven routers that came back within half a second, those that were told by
/// another did not ask their own engines, and one whose tellers were not up yet learned nothing.
#[test]
fn all_routers_lost_at_once_ask_every_engine_once_and_all_learn_all() {
    for spread in [0, 30, 70, 150, 240] {
        let starts: Vec<u64> = (0..7).map(|index| index * spread).collect();
        let mut play = TestPlay::new(&starts, 11);

        play.run(4_500);

        let counts: Vec<u32> = play.asked.values().copied().collect();
        assert_eq!(counts, [1; 11], "spread {spread}");
        for router in &play.routers {
            assert_eq!(router.known.len(), 11, "router {} with spread {spread}", router.vm);
            let (after, known) = router.usable.unwrap();
            assert!(known >= 9, "router {} placed by {known} lists, spread {spread}", router.vm);
            let last = starts.last().unwrap() - router.starts_at;
            assert!(after <= last + 200, "router {} after {after} ms", router.vm);
        }
    }
}

#[test]
fn a_single_restart_is_told_by_another_router_and_asks_no_engine() {
    let mut play = TestPlay::new(&[0, 0, 0, 0, 0, 0, 20_000], 11);
    play.run(19_000);
    let (asked, tellings) = (play.asked.clone(), play.tellings);
    let owned_by_last = 11 - asked.len();

    play.run(24_000);

    assert_eq!(play.routers[6].known.len(), 11 - owned_by_last);
    assert!(play.tellings > tellings && play.tellings <= tellings + 6 * 4 + 2);
    assert_eq!(play.asked, asked);
}

#[test]
fn a_new_fleet_asks_nobody() {
    let mut learning = CacheSync::default();
    learning.mark_complete();

    let routers = [VmId(1), VmId(2)];
    assert!(learning.choose_sources(VmId(1), &routers, Duration::from_secs(1)).is_empty());
    let engines = [ServerId(1), ServerId(2)].into_iter();
    assert!(learning.take_assigned_engines(VmId(1), &routers, engines).is_empty());
    assert!(learning.is_usable() && learning.is_complete());
}

#[test]
fn lists_of_a_large_fleet_are_asked_of_a_few_routers() {
    let starts: Vec<u64> = (0..87).map(|index| index / 2 * 10).collect();
    let mut play = TestPlay::new(&starts, 90);

    play.run(4_500);

    assert!(play.tellings <= 87 * 6, "{}", play.tellings);
    assert_eq!(play.asked.len(), 90);
    assert!(play.routers.iter().all(|router| router.known.len() == 90));
}
