//! Weighted rendezvous ranking of servers, and of routers that own a duty.

use catkin_base::{ChatId, ServerId, VmId};

use crate::spec::{RouterSpec, ServerSpec};

/// Increment of the SplitMix64 sequence.
const MIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weighted rendezvous ranking over a fixed set of servers.
///
/// Build one for each pool and set of live servers; ranking then touches two words a server.
#[derive(Debug, Clone, Default)]
pub struct RankTable {
    rows: Vec<RankRow>,
}

#[derive(Debug, Clone, Copy)]
struct RankRow {
    server: ServerId,
    weight: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankScore {
    score: f64,
    server: ServerId,
}

impl RankTable {
    /// Builds the table of `servers`.
    pub fn new<'a>(servers: impl IntoIterator<Item = &'a ServerSpec>) -> Self {
        let rows = servers.into_iter().map(RankRow::from_spec).collect();
        Self { rows }
    }

    /// The first `limit` servers in the rank order of `chat`, best first.
    pub fn rank(&self, chat: ChatId, limit: usize) -> Vec<ServerId> {
        rank_rows(chat, self.rows.iter().copied(), limit)
    }

    /// Number of servers in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no server.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl RankRow {
    fn from_spec(spec: &ServerSpec) -> Self {
        Self { server: spec.server, weight: f64::from(spec.weight.max(1)) }
    }
}

/// The first `limit` of `servers` in the weighted rendezvous order of `chat`, best first.
pub fn rank_servers(chat: ChatId, servers: &[ServerSpec], limit: usize) -> Vec<ServerId> {
    rank_rows(chat, servers.iter().map(RankRow::from_spec), limit)
}

/// The router that admits work to `server`: the best ranked of its domain, else of its region,
/// else of all.
pub fn choose_owner(server: &ServerSpec, routers: &[RouterSpec]) -> Option<VmId> {
    let key = server.server.0;
    let in_domain = routers.iter().filter(|router| router.domain == server.domain);
    let in_region = routers.iter().filter(|router| router.region == server.region);
    choose_vm(key, in_domain)
        .or_else(|| choose_vm(key, in_region))
        .or_else(|| choose_keyholder(key, routers))
}

/// The router that keeps the state named by `key`, by rendezvous over all routers.
pub fn choose_keyholder(key: u64, routers: &[RouterSpec]) -> Option<VmId> {
    choose_vm(key, routers.iter())
}

fn choose_vm<'a>(key: u64, routers: impl Iterator<Item = &'a RouterSpec>) -> Option<VmId> {
    routers.map(|router| router.vm).max_by_key(|vm| (mix_pair(key, vm.0), *vm))
}

fn rank_rows(chat: ChatId, rows: impl Iterator<Item = RankRow>, limit: usize) -> Vec<ServerId> {
    let mut best: Vec<RankScore> = Vec::with_capacity(limit.saturating_add(1).min(64));
    if limit == 0 {
        return Vec::new();
    }
    for row in rows {
        let unit = unit_interval(mix_pair(chat.0, row.server.0));
        // ln(u) <= u - 1, so most rows are dismissed without a logarithm.
        let ceiling = (unit - 1.0) / row.weight;
        let worst = best.last().filter(|_| best.len() == limit);
        if worst.is_some_and(|worst| ceiling < worst.score) {
            continue;
        }
        let entry = RankScore { score: unit.ln() / row.weight, server: row.server };
        insert_score(&mut best, entry, limit);
    }
    best.into_iter().map(|entry| entry.server).collect()
}

fn insert_score(best: &mut Vec<RankScore>, entry: RankScore, limit: usize) {
    let place =
        best.partition_point(|other| (other.score, other.server) > (entry.score, entry.server));
    best.insert(place, entry);
    best.truncate(limit);
}

/// Maps a hash to the open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Hashes two words by the finalizer of SplitMix64.
pub(crate) fn mix_pair(left: u64, right: u64) -> u64 {
    mix_word(left.wrapping_add(mix_word(right.wrapping_add(MIX_INCREMENT))))
}

fn mix_word(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
