//! Weighted rendezvous hashing: ranks servers for a chat, and selects the router for a key.

use std::collections::BTreeMap;

use catkin_base::{ChatId, ServerId, VmId};

use crate::spec::{RouterSpec, ServerSpec};

/// Increment of the SplitMix64 generator.
const MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Number of steps into which the unit interval is divided; a hash selects one.
const UNIT_STEPS: f64 = (1u64 << 53) as f64;
/// Right shift that maps a 64-bit hash to one of these steps.
const UNIT_SHIFT: u32 = 11;

/// Weighted rendezvous ranking over a fixed set of servers.
///
/// Build one table for each pool and set of live servers. Servers are grouped by weight, so that
/// the logarithm is computed only for the best ones of each group.
#[derive(Debug, Clone, Default)]
pub struct RankTable {
    groups: Vec<WeightGroup>,
}

/// Servers of one weight.
#[derive(Debug, Clone)]
struct WeightGroup {
    weight: f64,
    rows: Vec<RankRow>,
}

#[derive(Debug, Clone, Copy)]
struct RankRow {
    server: ServerId,
    server_hash: u64,
}

/// A server and the step of the unit interval that its hash selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RankHit {
    step: u64,
    server: ServerId,
}

#[derive(Debug, Clone, Copy)]
struct RankScore {
    score: f64,
    server: ServerId,
}

impl RankTable {
    /// Builds the table of `servers`. A weight of zero counts as one.
    pub fn new<'a>(servers: impl IntoIterator<Item = &'a ServerSpec>) -> Self {
        let mut groups: BTreeMap<u32, Vec<RankRow>> = BTreeMap::new();
        for spec in servers {
            let row = RankRow { server: spec.server, server_hash: premix_word(spec.server.0) };
            groups.entry(spec.weight.max(1)).or_default().push(row);
        }
        let groups = groups.into_iter();
        let groups = groups.map(|(weight, rows)| WeightGroup { weight: f64::from(weight), rows });
        Self { groups: groups.collect() }
    }

    /// Returns the first `limit` servers in the rank order of `chat`, best first.
    pub fn rank(&self, chat: ChatId, limit: usize) -> Vec<ServerId> {
        let limit = limit.min(self.len());
        let mut best: Vec<RankScore> = Vec::with_capacity(limit + 1);
        for group in &self.groups {
            group.rank(chat, limit, &mut best);
        }
        best.into_iter().map(|scored| scored.server).collect()
    }

    /// Returns the number of servers in the table.
    pub fn len(&self) -> usize {
        self.groups.iter().map(|group| group.rows.len()).sum()
    }

    /// Whether the table has no server.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

impl WeightGroup {
    /// Adds the best servers of this group to `best`. Servers of equal weight are ordered by their
    /// hashes alone.
    fn rank(&self, chat: ChatId, limit: usize, best: &mut Vec<RankScore>) {
        for hit in self.best_hits(chat, limit) {
            let unit = (hit.step as f64 + 0.5) / UNIT_STEPS;
            let scored = RankScore { score: unit.ln() / self.weight, server: hit.server };
            insert_score(best, scored, limit);
        }
    }

    /// Returns the `limit` servers with the highest hashes, best first.
    fn best_hits(&self, chat: ChatId, limit: usize) -> Vec<RankHit> {
        let lowest = RankHit { step: 0, server: ServerId(0) };
        let mut hits = vec![lowest; limit.min(self.rows.len())];
        let Some(last) = hits.len().checked_sub(1) else {
            return hits;
        };
        for row in &self.rows {
            let step = mix_word(chat.0.wrapping_add(row.server_hash)) >> UNIT_SHIFT;
            let hit = RankHit { step, server: row.server };
            if hit <= hits[last] {
                continue;
            }
            let mut index = last;
            while index > 0 && hits[index - 1] < hit {
                hits[index] = hits[index - 1];
                index -= 1;
            }
            hits[index] = hit;
        }
        hits
    }
}

/// Returns the first `limit` of `servers` in the rank order of `chat`, best first. Callers that
/// rank the same servers often should build a [`RankTable`].
pub fn rank_servers(chat: ChatId, servers: &[ServerSpec], limit: usize) -> Vec<ServerId> {
    RankTable::new(servers).rank(chat, limit)
}

/// Returns the admission owner of `server`: the best ranked router of its failure domain, else of
/// its region, else of all. `None` without routers.
pub fn choose_owner(server: &ServerSpec, routers: &[RouterSpec]) -> Option<VmId> {
    let key = server.server.0;
    let in_domain = routers.iter().filter(|router| router.domain == server.domain);
    let in_region = routers.iter().filter(|router| router.region == server.region);
    choose_vm(key, in_domain)
        .or_else(|| choose_vm(key, in_region))
        .or_else(|| choose_key_router(key, routers))
}

/// Returns the router responsible for `key`, by rendezvous hashing over all routers. `None` without
/// routers.
pub fn choose_key_router(key: u64, routers: &[RouterSpec]) -> Option<VmId> {
    choose_vm(key, routers.iter())
}

fn choose_vm<'a>(key: u64, routers: impl Iterator<Item = &'a RouterSpec>) -> Option<VmId> {
    routers.map(|router| router.vm).max_by_key(|vm| (mix_pair(key, vm.0), *vm))
}

fn insert_score(best: &mut Vec<RankScore>, scored: RankScore, limit: usize) {
    let index =
        best.partition_point(|other| (other.score, other.server) > (scored.score, scored.server));
    best.insert(index, scored);
    best.truncate(limit);
}

/// Hashes two words with the finalizer of SplitMix64.
pub(crate) fn mix_pair(left: u64, right: u64) -> u64 {
    mix_word(left.wrapping_add(premix_word(right)))
}

fn premix_word(word: u64) -> u64 {
    mix_word(word.wrapping_add(MIX_INCREMENT))
}

fn mix_word(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
