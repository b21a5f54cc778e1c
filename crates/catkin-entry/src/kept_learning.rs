//! How a router that has just started learns which parts of prompts engines keep.
//!
//! After a start of its own it is told by another router. After all routers were lost at once,
//! nobody knows: each engine is asked by the router that it falls to, which tells the others. They
//! start one after the other, so what a router is told then may lack what was told before.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{DomainId, RegionId, ServerId, VmId, hash_parts};
use catkin_policy::{RouterSpec, choose_key_router};

/// Routers asked at once: a list takes tens of kilobytes.
const TELLERS_PER_ROUND: usize = 2;
/// When routers are asked, since the own start: at once, again while too little is known, and once
/// more after processes that are restarted together have told each other.
const ROUND_TIMES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(700),
];

/// When a router tells its engines' lists once more, since its start: to those that started later.
const TELL_AGAIN_TIME: Duration = Duration::from_millis(700);

/// Part of the engines whose lists must be known before requests are placed by them, in percent. An
/// engine that keeps nothing, or does not answer, has no list.
const KNOWN_PERCENT: usize = 80;

/// What a router knows of what engines keep.
#[derive(Debug, Clone, Default)]
pub struct KeptLearning {
    usable: bool,
    whole: bool,
    rounds: usize,
    /// Routers that were asked.
    asked: BTreeSet<VmId>,
    /// Engines in the directory.
    engines: BTreeSet<ServerId>,
    /// Engines that this router asked.
    mine: BTreeSet<ServerId>,
    /// Engines whose lists are known.
    listed: BTreeSet<ServerId>,
    told_again: bool,
}

impl KeptLearning {
    /// Notes that nothing is missing: the fleet is new, or every engine had its time to be asked.
    pub fn note_whole(&mut self) {
        self.whole = true;
        self.usable = true;
    }

    /// Notes that another router told all that it knows, and whether nothing was missing there.
    pub fn note_told(&mut self, whole: bool) {
        self.whole |= whole;
        self.usable |= whole;
    }

    /// Notes that lists of these engines are known.
    pub fn note_lists(&mut self, engines: impl Iterator<Item = ServerId>) {
        if self.usable {
            return;
        }
        self.listed.extend(engines);
        let known = self.engines.intersection(&self.listed).count();
        self.usable = known > 0 && known * 100 >= self.engines.len() * KNOWN_PERCENT;
    }

    /// Whether to tell the other routers all lists once more now, `since` the own start.
    pub fn take_telling(&mut self, since: Duration) -> bool {
        let due = since >= TELL_AGAIN_TIME && !self.told_again;
        self.told_again |= due;
        due && !self.mine.is_empty()
    }

    /// Whether requests need not wait for more.
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Whether nothing is missing.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Routers to ask now, `since` the own start.
    pub fn choose_tellers(&mut self, own: VmId, routers: &[VmId], since: Duration) -> Vec<VmId> {
        let due = ROUND_TIMES.get(self.rounds).is_some_and(|time| since >= *time);
        if self.whole || !due {
            return Vec::new();
        }
        self.rounds += 1;
        let last = self.rounds == ROUND_TIMES.len();
        if self.usable && !last {
            return Vec::new();
        }
        let mut others: Vec<VmId> =
            routers.iter().copied().filter(|vm| *vm != own && !self.asked.contains(vm)).collect();
        others.sort_by_key(|vm| hash_parts(&[&own.0.to_le_bytes(), &vm.0.to_le_bytes()]));
        others.truncate(TELLERS_PER_ROUND);
        self.asked.extend(&others);
        others
    }

    /// Engines that this router must ask now. Each falls to one of the routers.
    pub fn take_engines(
        &mut self,
        own: VmId,
        routers: &[VmId],
        engines: impl Iterator<Item = ServerId>,
    ) -> Vec<ServerId> {
        if self.whole {
            return Vec::new();
        }
        self.engines = engines.collect();
        let specs: Vec<RouterSpec> = routers.iter().copied().map(plain_spec).collect();
        let falls_here = |server: &ServerId| choose_key_router(server.0, &specs) == Some(own);
        let new = self.engines.difference(&self.mine).copied();
        let new: Vec<ServerId> = new.filter(falls_here).collect();
        self.mine.extend(&new);
        new
    }
}

fn plain_spec(vm: VmId) -> RouterSpec {
    RouterSpec { vm, domain: DomainId(0), region: RegionId(0) }
}
