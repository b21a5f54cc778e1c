//! Failure domains whose servers get no requests, as the operator wrote it in the store.
//!
//! Answers a failure domain that is emptied while the store turns routers away, peers are silent, or
//! routers are frozen or restarted: the set is replaced as a whole by that of a later point of the store,
//! and its age shows when a router must read the store itself.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, DomainId, VmId, copy_type, value_type};

use crate::store_point::StorePoint;

/// Maximum number of evacuated domains in a report, so that it fits a datagram with what else it has.
pub const MAX_REPORTED_DOMAINS: usize = 64;
/// The duration of a watch is the time within which an evacuation must be obeyed, divided by this.
const WATCH_DIVISOR: u32 = 6;
/// The age of the set from which on a router reads the store itself, in 32nds of that time. It differs
/// between routers, so that one reads first and the others rely on it.
const MIN_AGE_PARTS: u32 = 10;
const MAX_AGE_PARTS: u32 = 12;
const AGE_PARTS: u32 = 32;
/// Number of different ages.
const AGE_STEPS: u64 = 64;
/// Minimum of both, so that a small bound does not make routers call the store without pause.
const MIN_WATCH: Duration = Duration::from_millis(200);
/// Maximum duration of a watch.
const MAX_WATCH: Duration = Duration::from_millis(1_400);
/// Maximum age of the set before a router reads the store itself.
const MAX_AGE: Duration = Duration::from_millis(3_000);

copy_type! {
    /// How long routers rely on what they know of evacuations.
    pub struct EvacuationTimes {
        /// Duration of a watch.
        pub watch: Duration,
        /// Age of the set from which on a router reads the store itself.
        pub maximum_age: Duration,
    }
}

impl EvacuationTimes {
    /// The times of a router for a bound within which evacuations must be obeyed.
    pub fn choose(bound: Duration, local: VmId) -> Self {
        let least = (bound * MIN_AGE_PARTS / AGE_PARTS).clamp(MIN_WATCH, MAX_AGE);
        let most = (bound * MAX_AGE_PARTS / AGE_PARTS).clamp(MIN_WATCH, MAX_AGE);
        let step = (most - least) / AGE_STEPS as u32;
        Self {
            watch: (bound / WATCH_DIVISOR).clamp(MIN_WATCH, MAX_WATCH),
            maximum_age: least + step * (local.0 % AGE_STEPS) as u32,
        }
    }
}

copy_type! {
    /// Whether a router reads the store for evacuations now.
    pub enum ReadDecision {
        /// It reads the store.
        Read,
        /// It relies on other routers for so long.
        Rely(Duration),
    }
}

value_type! {
    /// What a router reports of evacuations.
    pub struct EvacuationReport {
        /// The evacuated domains, at most [`MAX_REPORTED_DOMAINS`].
        pub domains: Vec<DomainId>,
        /// Point of the store that they reflect.
        pub point: StorePoint,
        /// Time since the store confirmed them to the router itself, in milliseconds; `None` if it only
        /// heard of them.
        pub age_millis: Option<u64>,
    }
}

value_type! {
    /// The begin or the end of an evacuation.
    pub struct EvacuationChange {
        /// The domain.
        pub domain: DomainId,
        /// Its name, if it is known.
        pub name: Option<String>,
        /// Whether the evacuation begins.
        pub begins: bool,
    }
}

/// An evacuated domain.
#[derive(Debug, Clone)]
struct EvacuatedDomain {
    name: Option<String>,
    /// When this router learned of it.
    began: ClockTime,
    /// Whether a request was kept away from it.
    obeyed: bool,
}

/// The evacuated domains as of one point of the store.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    domains: BTreeMap<DomainId, EvacuatedDomain>,
    /// `None` until the first list or report.
    point: Option<StorePoint>,
    /// When the store confirmed the set to this router at the latest.
    confirmed: Option<ClockTime>,
    /// When it did so to another router. What that router heard from others does not count: its age would
    /// lose the delay of each report.
    confirmed_elsewhere: Option<ClockTime>,
}

impl EvacuationTable {
    /// Applies the complete set as of `point`, which the store confirmed at `confirmed`. Returns what
    /// changed.
    pub fn apply_list<'a>(
        &mut self,
        now: ClockTime,
        confirmed: ClockTime,
        point: StorePoint,
        names: impl Iterator<Item = &'a str>,
    ) -> Vec<EvacuationChange> {
        let names = names.map(|name| (DomainId::from_name(name), Some(name)));
        self.confirmed = self.confirmed.max(Some(confirmed));
        self.replace(now, point, names.collect())
    }

    /// Applies the changes up to `point` to a set of the same era, at or before the own point. Each has
    /// the name of a domain and whether its object was removed.
    pub fn apply_changes<'a>(
        &mut self,
        now: ClockTime,
        confirmed: ClockTime,
        point: StorePoint,
        changes: impl Iterator<Item = (&'a str, bool)>,
    ) -> Vec<EvacuationChange> {
        let mut next: BTreeMap<DomainId, Option<&str>> =
            self.domains.keys().map(|domain| (*domain, None)).collect();
        for (name, removed) in changes {
            let domain = DomainId::from_name(name);
            if removed {
                next.remove(&domain);
            } else {
                next.insert(domain, Some(name));
            }
        }
        self.confirmed = self.confirmed.max(Some(confirmed));
        self.replace(now, point, next)
    }

    /// Applies what another router reports.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        report: &EvacuationReport,
    ) -> Vec<EvacuationChange> {
        let confirmed = report.age_millis.map(|millis| now.minus_millis(millis));
        // A set as of an earlier point counts as well: the store had nothing later then.
        self.confirmed_elsewhere = self.confirmed_elsewhere.max(confirmed);
        if self.is_known(report.point) {
            return Vec::new();
        }
        let domains = report.domains.iter().map(|domain| (*domain, None));
        self.replace(now, report.point, domains.collect())
    }

    /// Whether the set reflects this point, or a later one.
    fn is_known(&self, point: StorePoint) -> bool {
        self.point.is_some_and(|known| known >= point)
    }

    /// Replaces the set if `point` is later than its own.
    fn replace(
        &mut self,
        now: ClockTime,
        point: StorePoint,
        next: BTreeMap<DomainId, Option<&str>>,
    ) -> Vec<EvacuationChange> {
        if self.is_known(point) {
            return Vec::new();
        }
        self.point = Some(point);
        let mut changes = Vec::new();
        let ended: Vec<DomainId> =
            self.domains.keys().copied().filter(|domain| !next.contains_key(domain)).collect();
        for domain in ended {
            let name = self.domains.remove(&domain).and_then(|evacuated| evacuated.name);
            changes.push(EvacuationChange { domain, name, begins: false });
        }
        for (domain, name) in next {
            let name = name.map(str::to_owned);
            if let Some(known) = self.domains.get_mut(&domain) {
                known.name = known.name.take().or(name);
                continue;
            }
            let evacuated = EvacuatedDomain { name: name.clone(), began: now, obeyed: false };
            self.domains.insert(domain, evacuated);
            changes.push(EvacuationChange { domain, name, begins: true });
        }
        changes
    }

    /// Requires that the set is confirmed again, since the process was paused.
    pub fn expire(&mut self) {
        self.confirmed = None;
        self.confirmed_elsewhere = None;
    }

    /// What to report to other routers; `None` if nothing is known, or too much.
    pub fn build_report(&self, now: ClockTime) -> Option<EvacuationReport> {
        let point = self.point?;
        let age_millis = self.confirmed.map(|at| now.millis_since(at));
        let fits = self.domains.len() <= MAX_REPORTED_DOMAINS;
        let domains = self.domains.keys().copied().collect();
        fits.then_some(EvacuationReport { domains, point, age_millis })
    }

    /// Decides whether a router reads the store now. `follows` is whether others rely on it for that.
    pub fn choose_read(
        &self,
        now: ClockTime,
        follows: bool,
        times: EvacuationTimes,
    ) -> ReadDecision {
        let relies = self.point.is_some() && !follows;
        let Some(confirmed) = self.confirmed_elsewhere.filter(|_| relies) else {
            return ReadDecision::Read;
        };
        let left = times.maximum_age.saturating_sub(now.since(confirmed));
        if left.is_zero() { ReadDecision::Read } else { ReadDecision::Rely(left) }
    }

    /// Point of the store that the set reflects; `None` until it is known.
    pub fn point(&self) -> Option<StorePoint> {
        self.point
    }

    /// Whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Number of evacuated domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Whether a domain is evacuated.
    pub fn contains(&self, domain: DomainId) -> bool {
        !self.domains.is_empty() && self.domains.contains_key(&domain)
    }

    /// Records that a request was kept away from a domain. Returns for the first one how long this
    /// router had known of the evacuation, in milliseconds.
    pub fn record_kept_away(&mut self, now: ClockTime, domain: DomainId) -> Option<u64> {
        let evacuated = self.domains.get_mut(&domain)?;
        let is_first = !std::mem::replace(&mut evacuated.obeyed, true);
        is_first.then(|| now.millis_since(evacuated.began))
    }
}
