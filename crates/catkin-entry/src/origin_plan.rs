//! Decides what a router writes to the store of the versions at which streams began, so that they are
//! known after all routers ended at once.
//!
//! One router of a small fleet, and one of each failure domain of a large one, writes. The versions of
//! the services are one object, which changes only with them. Origins are written only while a service
//! has several versions; each writer has objects of its own, so that two that take each other's
//! place lose nothing of what the other wrote. The main one is large and written now and then, the one with the
//! latest streams often.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkin_base::{ClockTime, VmId, copy_type, hash_parts};

use crate::origin_book::{OriginBook, ServiceVersions, SoftwareKey, StreamKey};
use crate::wire::OriginRecord;

/// Interval of two writes of origins, in milliseconds. Streams that began within it before all routers end are
/// refused when callers resume them.
const WRITE_INTERVAL_MILLIS: u64 = 50;
/// Number of streams, and fraction of those in the main object, beyond which that is written again instead of the one
/// with the latest streams.
const MIN_RECENT: usize = 64;
const RECENT_FRACTION: usize = 8;
/// Maximum number of streams in one object, about 640 KB. The book holds fewer; what an earlier process
/// wrote is left out beyond it.
const MAX_STREAMS: usize = 60_000;
/// Time after its start for which a router writes again what an earlier process of it wrote.
pub(crate) const EARLIER_TIME: Duration = Duration::from_secs(30);

copy_type! {
    /// How well a router can write origins, from worst to best.
    pub enum WriterStanding {
        /// The store did not answer its latest calls.
        Refused,
        /// It may lack versions that services had lately.
        Incomplete,
        /// It is being stopped.
        Stopping,
        /// Nothing keeps it from writing.
        Able,
    }
}

copy_type! {
    /// A router that may write origins.
    pub struct WriterCandidate {
        /// The router.
        pub vm: VmId,
        /// How well it can write them.
        pub standing: WriterStanding,
        /// Its relative capacity.
        pub strength: u32,
    }
}

/// What is to be written next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginWrite {
    /// The versions of the services.
    Versions(ServiceVersions),
    /// The streams that began lately, to this router's main object.
    Origins(BTreeMap<SoftwareKey, Vec<StreamKey>>),
    /// Those of them that the main object lacks, to this router's object with the latest streams.
    Recent(BTreeMap<SoftwareKey, Vec<StreamKey>>),
}

/// Chooses the router that writes origins, among those of its group that are alive. One that is being stopped
/// writes if there is no better one.
pub fn choose_origin_writer(candidates: impl Iterator<Item = WriterCandidate>) -> Option<VmId> {
    let rank = |candidate: &WriterCandidate| {
        let tie = hash_parts(&[b"origin-writer", &candidate.vm.0.to_le_bytes()]);
        (candidate.standing, candidate.strength, Reverse(tie))
    };
    candidates.max_by_key(rank).map(|candidate| candidate.vm)
}

/// What the store has, as a writer knows it, from which follows what it writes next.
#[derive(Debug, Clone, Default)]
pub struct OriginPlan {
    /// The versions that the store has; `None` if it has none.
    versions: Option<ServiceVersions>,
    /// The streams in this router's main object.
    written: BTreeSet<StreamKey>,
    /// The latest stream in this router's object with the latest ones.
    recent: Option<StreamKey>,
    /// What this router's object had when it was read, and when that was.
    earlier: Option<(ClockTime, OriginRecord)>,
    last_write: Option<ClockTime>,
}

impl OriginPlan {
    /// Creates the plan of a router that has read the store.
    pub fn new(
        now: ClockTime,
        versions: Option<ServiceVersions>,
        own: Option<OriginRecord>,
    ) -> Self {
        Self { versions, earlier: own.map(|record| (now, record)), ..Self::default() }
    }

    /// Decides what is written now; `None` if the store has all that is needed.
    pub fn choose_write(&self, now: ClockTime, book: &OriginBook) -> Option<OriginWrite> {
        let services = book.version_sets();
        // A book that may lack versions must not remove them from the store.
        let is_known = !services.is_empty() && !book.is_incomplete(now);
        if is_known && self.versions.as_ref() != Some(&services) {
            return Some(OriginWrite::Versions(services));
        }
        let is_early =
            self.last_write.is_some_and(|last| now.millis_since(last) < WRITE_INTERVAL_MILLIS);
        if is_early || !book.is_any_mixed() {
            return None;
        }
        let recent = book.origins_after(|key| self.written.contains(&key));
        let (latest, _) = recent.first()?;
        if self.recent == Some(*latest) {
            return None;
        }
        let max_recent = MIN_RECENT.max(self.written.len() / RECENT_FRACTION);
        if !self.written.is_empty() && recent.len() <= max_recent {
            return Some(OriginWrite::Recent(group_streams(BTreeMap::new(), recent.into_iter())));
        }
        let count = MAX_STREAMS.saturating_sub(book.origins().count());
        let streams = group_streams(self.earlier_streams(now, count), book.origins());
        Some(OriginWrite::Origins(streams))
    }

    /// Records the versions that the store has.
    pub fn record_versions(&mut self, versions: ServiceVersions) {
        self.versions = Some(versions);
    }

    /// Records that the latest origins were written, of which `latest` is the last one.
    pub fn record_recent(&mut self, now: ClockTime, latest: Option<StreamKey>) {
        self.recent = latest;
        self.last_write = Some(now);
    }

    /// Records that the origins were written to the main object.
    pub fn record_origins(
        &mut self,
        now: ClockTime,
        streams: &BTreeMap<SoftwareKey, Vec<StreamKey>>,
    ) {
        self.written = streams.values().flatten().copied().collect();
        self.recent = None;
        self.last_write = Some(now);
    }

    /// What an earlier process wrote, if it counts still and has at most `count` streams.
    fn earlier_streams(
        &self,
        now: ClockTime,
        count: usize,
    ) -> BTreeMap<SoftwareKey, Vec<StreamKey>> {
        let earlier = self.earlier.as_ref();
        let kept = earlier.filter(|(read, record)| {
            let streams: usize = record.streams.values().map(Vec::len).sum();
            now.since(*read) < EARLIER_TIME && streams <= count
        });
        kept.map(|(_, record)| record.streams.clone()).unwrap_or_default()
    }
}

/// Adds streams to others, by their versions.
fn group_streams(
    mut grouped: BTreeMap<SoftwareKey, Vec<StreamKey>>,
    streams: impl Iterator<Item = (StreamKey, SoftwareKey)>,
) -> BTreeMap<SoftwareKey, Vec<StreamKey>> {
    for (key, software) in streams {
        grouped.entry(software).or_default().push(key);
    }
    grouped
}
