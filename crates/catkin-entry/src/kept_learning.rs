//! How a router that has just started learns which parts of prompts engines keep.
//!
//! After a start of its own it is told by another router. After all routers were lost at once,
//! nobody knows: each engine is asked by the router that it falls to, which tells the others. They
//! start one after the other, so what a router is told then may lack what was told before.

use std::collections::BTreeSet;
use std::time::Duration;

use catkin_base::{DomainId, RegionId, ServerId, VmId, hash_parts};
use catkin_policy::{RouterSpec, choose_keyholder};

/// Routers asked at once: a list takes tens of kilobytes.
const TELLERS_PER_ROUND: usize = 2;
/// When routers are asked, since the own start: at once, again if none of them was up, and once more
/// after processes that are restarted together have told each other.
const ROUND_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(700)];

/// When a router tells its engines' lists once more, since its start: to those that started later.
const TELL_AGAIN_TIME: Duration = Duration::from_millis(700);

/// What a router knows of what engines keep.
#[derive(Debug, Clone, Default)]
pub struct KeptLearning {
    usable: bool,
    whole: bool,
    rounds: usize,
    /// Routers that were asked.
    asked: BTreeSet<VmId>,
    was_told: bool,
    /// Engines that were asked.
    engines: BTreeSet<ServerId>,
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
        self.was_told = true;
        self.whole |= whole;
        self.usable = true;
    }

    /// Notes that this router's engines were asked as far as they are known.
    pub fn note_asked(&mut self) {
        self.usable |= !self.engines.is_empty();
    }

    /// Whether to tell the other routers all lists once more now, `since` the own start.
    pub fn take_telling(&mut self, since: Duration) -> bool {
        let due = since >= TELL_AGAIN_TIME && !self.told_again;
        self.told_again |= due;
        due && !self.engines.is_empty()
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
        if self.was_told && !last {
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
        let specs: Vec<RouterSpec> = routers.iter().copied().map(plain_spec).collect();
        let mine = |server: &ServerId| choose_keyholder(server.0, &specs) == Some(own);
        let mine: Vec<ServerId> =
            engines.filter(mine).filter(|server| !self.engines.contains(server)).collect();
        self.engines.extend(&mine);
        mine
    }
}

fn plain_spec(vm: VmId) -> RouterSpec {
    RouterSpec { vm, domain: DomainId(0), region: RegionId(0) }
}
