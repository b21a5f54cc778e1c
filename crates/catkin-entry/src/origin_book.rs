//! Software versions at which streams began, so that a stream goes on only at its own version.
//!
//! What a router knows of that ends with it. A router that starts while streams may be under way
//! therefore lets none go on anywhere until it has read from the store which versions there were.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use catkin_base::{ClockTime, VmId, copy_type, hash_parts};

use crate::relay_plan::MAX_SMALL_FLEET;

/// Time for which the origin of a stream, and a version that no server has any more, are kept, in
/// milliseconds. It exceeds the time that callers wait for a stream, retries included.
const LIFETIME_MILLIS: u64 = 30_000;
/// Minimum time by which a version is listed later than another one that served alone before, in milliseconds.
const MIN_LATER_MILLIS: u64 = 1_000;
/// Maximum time for which no stream begins at a new version since the store does not name it yet, in
/// milliseconds.
const PENDING_MILLIS: u64 = 8_000;
/// Time within which servers write their entries again after the store was restored from a copy, in milliseconds.
const REWRITE_MILLIS: u64 = 2_500;
/// Maximum number of origins; further ones are dropped.
const MAX_ORIGINS: usize = 50_000;
/// Number of routers of a large fleet that are told the origin of a stream.
const ORIGIN_KEEPERS: usize = 3;
/// Number of routers of a large fleet that are asked for it. It exceeds the number of those that are
/// told, since the routers may disagree on who is alive.
const ASKED_KEEPERS: usize = 6;

copy_type! {
    /// Key of a stream: the hash of the identifier of the request that began it.
    pub struct StreamKey(pub u64);
}

copy_type! {
    /// Key of a version of the servers' software: the hash of its name.
    pub struct SoftwareKey(pub u64);
}

/// Software versions by service.
pub type ServiceVersions = BTreeMap<String, BTreeSet<SoftwareKey>>;

copy_type! {
    /// Where a stream may go on.
    pub enum ResumeChoice {
        /// At servers of this version, which began it.
        OnlyVersion(SoftwareKey),
        /// At servers of this version, unless another router or the store knows better.
        LikelyVersion(SoftwareKey),
        /// At servers of this version, the only one before others appeared while this router ran, unless another
        /// router or the store knows better, and only if the store was read.
        EarlierVersion(SoftwareKey),
        /// The version that began it is not known here.
        Unknown,
    }
}

/// Versions that services had before a router started, as the store has them.
#[derive(Debug, Clone, Default)]
enum StoredVersions {
    /// The store was not read, or what it has can't be read.
    #[default]
    Unread,
    /// The store has none, since the routers before wrote none.
    Unstored,
    /// What the store has, by service.
    Stored(ServiceVersions),
    /// What the store has from before it was restored from a copy, and from when on that counts.
    Restored(ServiceVersions, ClockTime),
}

/// Versions that services had before a router started, as it knows them.
#[derive(Debug, Clone, Default)]
struct EarlierVersions {
    stored: StoredVersions,
    /// What other routers told, which lacked none; `None` until one did.
    told: Option<ServiceVersions>,
}

impl EarlierVersions {
    fn is_unknown(&self, now: ClockTime) -> bool {
        let is_read = match self.stored {
            StoredVersions::Unread => false,
            StoredVersions::Unstored | StoredVersions::Stored(_) => true,
            StoredVersions::Restored(_, from) => now >= from,
        };
        !is_read && self.told.is_none()
    }

    /// Whether versions may have appeared that the store lost and no other router told.
    fn may_lack_versions(&self) -> bool {
        self.told.is_none() && matches!(self.stored, StoredVersions::Restored(..))
    }

    /// The versions of a service; `None` if it is not known to have had any.
    fn versions_of(&self, service: &str) -> Option<BTreeSet<SoftwareKey>> {
        let stored = match &self.stored {
            StoredVersions::Stored(services) | StoredVersions::Restored(services, _) => {
                services.get(service)
            }
            StoredVersions::Unread | StoredVersions::Unstored => None,
        };
        let told = self.told.as_ref().and_then(|services| services.get(service));
        let known = stored.into_iter().chain(told).flatten().copied();
        Some(known.collect()).filter(|versions: &BTreeSet<_>| !versions.is_empty())
    }
}

impl StreamKey {
    /// Derives the key from the identifier of the request that began the stream.
    pub fn from_request(id: &[u8]) -> Self {
        Self(hash_parts(&[b"stream", id]))
    }
}

impl SoftwareKey {
    /// Derives the key from the name of the version.
    pub fn from_name(name: &str) -> Self {
        Self(hash_parts(&[b"software", name.as_bytes()]))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StreamOrigin {
    software: SoftwareKey,
    at: ClockTime,
}

/// What is known of a version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownVersion {
    /// When a server of the version was first listed; the start if another router or the store named it before.
    first: ClockTime,
    /// When one was last listed.
    last: ClockTime,
    /// Whether the store names the version.
    is_stored: bool,
}

impl KnownVersion {
    /// Whether the version appeared so recently that the store may not name it yet.
    fn is_pending(&self, now: ClockTime) -> bool {
        !self.is_stored && now.millis_since(self.first) < PENDING_MILLIS
    }
}

/// Origins of streams, and the software versions of each service.
#[derive(Debug, Clone, Default)]
pub struct OriginBook {
    origins: BTreeMap<StreamKey, StreamOrigin>,
    /// The streams in the order in which they were recorded.
    arrivals: VecDeque<StreamKey>,
    /// The versions of the services, as far as they were listed or named lately.
    versions: BTreeMap<String, BTreeMap<SoftwareKey, KnownVersion>>,
    /// Origins that other routers are still to be told.
    unsent: Vec<StreamKey>,
    /// Whether some service had several versions when origins were last taken to be sent.
    was_mixed: bool,
    /// Origins read from the store, in the order of their keys, and when they were read.
    stored: Option<(ClockTime, Vec<(StreamKey, SoftwareKey)>)>,
    /// Versions before the start of this router.
    earlier: EarlierVersions,
    /// Until when streams that began before the start of this router may be resumed.
    earlier_until: Option<ClockTime>,
}

impl OriginBook {
    /// Creates the book of a router that starts while streams may be under way.
    pub fn after_restart(now: ClockTime) -> Self {
        let mut book = Self::default();
        book.expect_earlier_versions(now);
        book
    }

    /// Expects streams that began before the router started.
    pub fn expect_earlier_versions(&mut self, now: ClockTime) {
        self.earlier_until = Some(now.plus_millis(LIFETIME_MILLIS));
    }

    /// Whether services may have had versions lately that are not known here.
    pub fn is_incomplete(&self, now: ClockTime) -> bool {
        self.earlier.is_unknown(now) && self.is_after_restart(now)
    }

    fn is_after_restart(&self, now: ClockTime) -> bool {
        self.earlier_until.is_some_and(|until| now < until)
    }

    /// Records the versions that the store has; `None` if it has none.
    pub fn record_stored_versions(&mut self, now: ClockTime, stored: Option<&ServiceVersions>) {
        let is_first =
            matches!(self.earlier.stored, StoredVersions::Unread | StoredVersions::Restored(..));
        let Some(services) = stored else {
            if is_first {
                self.earlier.stored = StoredVersions::Unstored;
            }
            return;
        };
        self.record_named_versions(now, services);
        self.mark_stored(services);
        // Later reads show what routers have written since the start of this one.
        if is_first {
            self.earlier.stored = StoredVersions::Stored(services.clone());
        }
    }

    /// Records the versions that the store has from before it was restored from a copy. What appeared after the copy
    /// was made may be missing there. Servers write their entries again within [`REWRITE_MILLIS`]; the versions
    /// count from then on, where no other one is listed.
    pub fn record_restored_versions(&mut self, now: ClockTime, restored: &ServiceVersions) {
        if !matches!(self.earlier.stored, StoredVersions::Unread) {
            return;
        }
        self.record_named_versions(now, restored);
        let from = now.plus_millis(REWRITE_MILLIS);
        self.earlier.stored = StoredVersions::Restored(restored.clone(), from);
    }

    /// Records versions that the store or another router names. They may have been there before the start.
    fn record_named_versions(&mut self, now: ClockTime, named: &ServiceVersions) {
        let named = named
            .iter()
            .flat_map(|(service, versions)| versions.iter().map(|key| (service.as_str(), *key)));
        for (service, software) in named {
            self.insert_version(now, service, software, ClockTime::ZERO);
        }
    }

    /// Records that a version is known at `now`, and since `first` if it is new.
    fn insert_version(
        &mut self,
        now: ClockTime,
        service: &str,
        software: SoftwareKey,
        first: ClockTime,
    ) {
        let new = KnownVersion { first, last: now, is_stored: false };
        match self.versions.get_mut(service) {
            Some(versions) => versions.entry(software).or_insert(new).last = now,
            None => {
                self.versions.insert(service.to_owned(), BTreeMap::from([(software, new)]));
            }
        }
    }

    /// Records that the store names these versions.
    pub fn mark_stored(&mut self, services: &ServiceVersions) {
        for (service, versions) in &mut self.versions {
            let Some(stored) = services.get(service) else { continue };
            for (software, known) in versions {
                known.is_stored |= stored.contains(software);
            }
        }
    }

    /// Records that another router reported that the store names these versions, given by their digests. Returns
    /// whether some were not known to be stored.
    pub fn mark_reported_stored(&mut self, digests: &[u64]) -> bool {
        let mut is_news = false;
        for (service, versions) in self.versions.iter_mut().filter(|_| !digests.is_empty()) {
            for (software, known) in versions.iter_mut().filter(|(_, known)| !known.is_stored) {
                known.is_stored = digests.contains(&version_digest(service, *software));
                is_news |= known.is_stored;
            }
        }
        is_news
    }

    /// Digests of the versions that appeared lately and that the store names.
    pub fn stored_digests(&self, now: ClockTime) -> Vec<u64> {
        let is_recent = |known: &KnownVersion| {
            known.is_stored && now.millis_since(known.first) < 2 * PENDING_MILLIS
        };
        let services = self.versions.iter().filter(|(_, versions)| versions.len() > 1);
        let recent = services.flat_map(|(service, versions)| {
            let recent = versions.iter().filter(|(_, known)| is_recent(known));
            recent.map(|(software, _)| version_digest(service, *software))
        });
        recent.collect()
    }

    /// The versions of a service at which no stream may begin yet: routers that all start now would take them for
    /// the version before, which the store names alone. None for long, and none if there was no version before.
    pub fn pending_versions(&self, now: ClockTime, service: &str) -> Vec<SoftwareKey> {
        let Some(versions) = self.versions.get(service) else { return Vec::new() };
        let has_earlier = |version: &KnownVersion| {
            versions.values().any(|other| !other.is_pending(now) || other.first < version.first)
        };
        let pending = versions.iter();
        let pending = pending.filter(|(_, known)| known.is_pending(now) && has_earlier(known));
        pending.map(|(software, _)| *software).collect()
    }

    /// Whether some service has a version that waits for the store to name it since `millis` or longer.
    pub fn has_pending_since(&self, now: ClockTime, millis: u64) -> bool {
        let mixed = self.versions.values().filter(|versions| versions.len() > 1);
        mixed
            .flat_map(BTreeMap::values)
            .any(|known| known.is_pending(now) && now.millis_since(known.first) >= millis)
    }

    /// Records the versions of which another router told this one when it joined. That router lacked none.
    pub fn record_told_versions(&mut self, now: ClockTime, told: &ServiceVersions) {
        self.record_named_versions(now, told);
        let known = self.earlier.told.get_or_insert_default();
        for (service, versions) in told {
            known.entry(service.clone()).or_default().extend(versions);
        }
    }

    /// Records the origins that the store has, in place of those read before.
    pub fn record_stored_origins(
        &mut self,
        now: ClockTime,
        origins: impl Iterator<Item = (StreamKey, SoftwareKey)>,
    ) {
        let mut stored: Vec<_> = origins.collect();
        stored.sort_unstable();
        self.stored = Some((now, stored));
    }

    /// Records the versions of the listed servers, given as pairs of service and version, and drops
    /// what is too old.
    pub fn record_versions<'a>(
        &mut self,
        now: ClockTime,
        servers: impl Iterator<Item = (&'a str, SoftwareKey)>,
    ) {
        for (service, software) in servers {
            self.insert_version(now, service, software, now);
        }
        let is_kept = |at: ClockTime| now.millis_since(at) < LIFETIME_MILLIS;
        for versions in self.versions.values_mut() {
            versions.retain(|_, known| is_kept(known.last));
        }
        self.versions.retain(|_, versions| !versions.is_empty());
        while let Some(key) = self
            .arrivals
            .pop_front_if(|key| self.origins.get(key).is_none_or(|origin| !is_kept(origin.at)))
        {
            self.origins.remove(&key);
        }
        self.stored = self.stored.take().filter(|(at, _)| is_kept(*at));
    }

    /// Records that a stream began here.
    pub fn record_stream(&mut self, now: ClockTime, key: StreamKey, software: SoftwareKey) {
        if self.record_reported(now, key, software) {
            self.unsent.push(key);
        }
    }

    /// Records the origin of a stream that another router reported; returns whether it was recorded.
    /// The first origin of a stream stays.
    pub fn record_reported(
        &mut self,
        now: ClockTime,
        key: StreamKey,
        software: SoftwareKey,
    ) -> bool {
        if self.origins.len() >= MAX_ORIGINS || self.origins.contains_key(&key) {
            return false;
        }
        self.origins.insert(key, StreamOrigin { software, at: now });
        self.arrivals.push_back(key);
        true
    }

    /// The version at which a stream began.
    pub fn find(&self, key: StreamKey) -> Option<SoftwareKey> {
        let known = self.origins.get(&key).map(|origin| origin.software);
        known.or_else(|| {
            let (_, stored) = self.stored.as_ref()?;
            let row = stored.binary_search_by_key(&key, |(key, _)| *key).ok()?;
            Some(stored[row].1)
        })
    }

    /// Decides where a stream of `service` may go on. `key` is `None` if the caller does not state
    /// which request began it. `is_doubtful` says that servers may have joined that this router does not
    /// list.
    ///
    /// A version is named also where it is the only one, so that a stream that waits for a server does
    /// not go on at a version that appears meanwhile.
    pub fn choose_resume(
        &self,
        now: ClockTime,
        service: &str,
        key: Option<StreamKey>,
        is_doubtful: bool,
    ) -> ResumeChoice {
        if let Some(software) = key.and_then(|key| self.find(key)) {
            return ResumeChoice::OnlyVersion(software);
        }
        let listed = self.versions.get(service).and_then(|versions| find_only(versions.keys()));
        if !self.is_after_restart(now) {
            return match listed {
                Some(software) if is_doubtful => ResumeChoice::LikelyVersion(software),
                Some(software) => ResumeChoice::OnlyVersion(software),
                None if is_doubtful || key.is_none() => ResumeChoice::Unknown,
                None => self.choose_earlier(service),
            };
        }
        if self.earlier.is_unknown(now) {
            return ResumeChoice::Unknown;
        }
        let earlier = self.earlier.versions_of(service);
        match (earlier.map(|versions| find_only(versions.iter())), listed) {
            (Some(Some(before)), Some(listed)) if before == listed && !is_doubtful => {
                ResumeChoice::OnlyVersion(before)
            }
            (Some(Some(before)), listed)
                if self.earlier.may_lack_versions() && listed != Some(before) =>
            {
                ResumeChoice::Unknown
            }
            // A stream that began after another version had appeared is known to other routers.
            (Some(Some(before)), _) => ResumeChoice::LikelyVersion(before),
            (None, Some(listed)) => ResumeChoice::LikelyVersion(listed),
            (Some(None), _) | (None, None) => ResumeChoice::Unknown,
        }
    }

    /// Chooses the version that a service had alone before others appeared. Where a stream of the others begins, other
    /// routers are told before the caller gets its first event; where one of a single version begins, nobody is told.
    fn choose_earlier(&self, service: &str) -> ResumeChoice {
        let Some(versions) = self.versions.get(service) else { return ResumeChoice::Unknown };
        let earliest = versions.iter().min_by_key(|(_, known)| known.first);
        let Some((software, earliest)) = earliest else { return ResumeChoice::Unknown };
        let is_later =
            |known: &KnownVersion| known.first.millis_since(earliest.first) >= MIN_LATER_MILLIS;
        let others = versions.iter().filter(|(other, _)| *other != software);
        let mut others = others.map(|(_, known)| known);
        if others.all(is_later) {
            ResumeChoice::EarlierVersion(*software)
        } else {
            ResumeChoice::Unknown
        }
    }

    /// Returns the origins to be sent to other routers. None are sent while each service has a single
    /// version, since they are not needed then; once one has several, all that are kept.
    pub fn unsent_origins(&mut self) -> Vec<(StreamKey, SoftwareKey)> {
        let unsent = std::mem::take(&mut self.unsent);
        if !self.is_any_mixed() {
            self.was_mixed = false;
            return Vec::new();
        }
        if !std::mem::replace(&mut self.was_mixed, true) {
            return self.origins.iter().map(|(key, origin)| (*key, origin.software)).collect();
        }
        unsent.into_iter().filter_map(|key| Some((key, self.find(key)?))).collect()
    }

    /// Whether servers of several versions were listed for some service lately.
    pub fn is_any_mixed(&self) -> bool {
        self.versions.values().any(|versions| versions.len() > 1)
    }

    /// The versions that each service had lately.
    pub fn version_sets(&self) -> ServiceVersions {
        let services = self.versions.iter();
        services
            .map(|(service, versions)| (service.clone(), versions.keys().copied().collect()))
            .collect()
    }

    /// The streams that began lately, the latest ones first, if some service has several versions.
    pub fn latest_origins(&self) -> Vec<(StreamKey, SoftwareKey)> {
        if !self.is_any_mixed() {
            return Vec::new();
        }
        self.origins_after(|_| false)
    }

    /// The stream that was recorded last.
    pub fn latest_stream(&self) -> Option<StreamKey> {
        self.arrivals.back().copied()
    }

    /// The streams that were recorded after the latest one for which `is_known` holds, the latest ones first.
    pub fn origins_after(
        &self,
        is_known: impl Fn(StreamKey) -> bool,
    ) -> Vec<(StreamKey, SoftwareKey)> {
        let latest = self.arrivals.iter().rev().take_while(|key| !is_known(**key));
        latest.filter_map(|key| Some((*key, self.origins.get(key)?.software))).collect()
    }

    /// The streams that began lately, as this router and those that report to it know them.
    pub fn origins(&self) -> impl Iterator<Item = (StreamKey, SoftwareKey)> {
        self.origins.iter().map(|(key, origin)| (*key, origin.software))
    }

    /// Number of versions of all services.
    pub fn count_all_versions(&self) -> usize {
        self.versions.values().map(BTreeMap::len).sum()
    }

    /// Number of versions of which servers were listed for the service lately.
    pub fn count_versions(&self, service: &str) -> usize {
        self.versions.get(service).map_or(0, BTreeMap::len)
    }
}

/// Digest of a version of a service, by which routers name it to one another.
fn version_digest(service: &str, software: SoftwareKey) -> u64 {
    hash_parts(&[b"service-version", service.as_bytes(), &software.0.to_le_bytes()])
}

/// Returns the only element.
fn find_only<'a>(mut versions: impl Iterator<Item = &'a SoftwareKey>) -> Option<SoftwareKey> {
    let first = versions.next()?;
    versions.next().is_none().then_some(*first)
}

/// Chooses the routers that are told where a stream began, among the live ones: all of a small fleet,
/// and some of a large one.
pub fn choose_keepers(key: StreamKey, routers: &[VmId]) -> Vec<VmId> {
    rank_keepers(key, routers, ORIGIN_KEEPERS)
}

/// Whether a router tells one that joins where a stream began. A few of `others`, the live ones without the one
/// that joins, tell each of the routers that are asked.
pub fn tells_joining(key: StreamKey, local: VmId, joining: VmId, others: &[VmId]) -> bool {
    let is_told =
        others.len() + 1 < MAX_SMALL_FLEET || is_ranked(key, joining, others, ORIGIN_KEEPERS);
    is_told && is_ranked(key, local, others, ORIGIN_KEEPERS)
}

/// Whether a router is one of the first `count` for a stream, among `routers` and itself.
fn is_ranked(key: StreamKey, vm: VmId, routers: &[VmId], count: usize) -> bool {
    let rank = keeper_rank(key, vm);
    let before = routers.iter().filter(|other| keeper_rank(key, **other) < rank);
    before.take(count).count() < count
}

/// Chooses the routers that are asked where a stream began, among the live ones.
pub fn choose_asked_keepers(key: StreamKey, routers: &[VmId]) -> Vec<VmId> {
    rank_keepers(key, routers, ASKED_KEEPERS)
}

fn rank_keepers(key: StreamKey, routers: &[VmId], count: usize) -> Vec<VmId> {
    let mut ranked = routers.to_vec();
    if ranked.len() < MAX_SMALL_FLEET {
        return ranked;
    }
    ranked.sort_by_cached_key(|vm| keeper_rank(key, *vm));
    ranked.truncate(count);
    ranked
}

fn keeper_rank(key: StreamKey, vm: VmId) -> u64 {
    hash_parts(&[&key.0.to_le_bytes(), &vm.0.to_le_bytes()])
}
