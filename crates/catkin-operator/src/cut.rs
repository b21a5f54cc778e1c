//! Cuts declarations into chunks and puts them together again.
//!
//! The same declarations always give the same chunks, so that unchanged ones are neither written
//! nor read again.

use std::collections::BTreeMap;

use catkin_base::{digest_hex, document_type, hash_parts};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerRule, ServiceRule,
    TeamRule,
};

use crate::head::{ChunkRefs, encode_document};

/// Entries that a shard holds on average, at most, until the number of shards is at its bound.
const ENTRIES_PER_SHARD: usize = 64;

/// Most shards of one table.
const MAX_SHARDS: usize = 512;

/// Team shards whose digests stand in one group chunk.
const SHARDS_PER_GROUP: usize = 32;

document_type! {
    /// Everything but servers and teams.
    pub(crate) struct CommonChunk {
        deployment: String,
        classes: BTreeMap<String, ClassRule>,
        default_class: String,
        models: BTreeMap<String, ModelRule>,
        services: BTreeMap<String, ServiceRule>,
        placement: PlacementRules,
        limits: LimitRules,
    }

    /// A list of team shards.
    pub(crate) struct GroupChunk {
        /// Their digests.
        pub(crate) shards: Vec<String>,
    }
}

/// Chunks by digest, and the references to them.
pub(crate) struct ChunkCut {
    /// Contents by digest.
    pub(crate) contents: BTreeMap<String, Vec<u8>>,
    /// What a head says of them.
    pub(crate) refs: ChunkRefs,
}

/// Number of shards for a table of `entries`: a power of two.
pub fn compute_shard_count(entries: usize) -> usize {
    entries.div_ceil(ENTRIES_PER_SHARD).next_power_of_two().min(MAX_SHARDS)
}

/// Cuts `declarations` into chunks.
pub(crate) fn cut_declarations(declarations: &FleetDeclarations) -> ChunkCut {
    let mut contents = BTreeMap::new();
    let common = add_chunk(&mut contents, &common_chunk(declarations));
    let servers = add_shards(&mut contents, &declarations.servers);
    let team_shards = add_shards(&mut contents, &declarations.teams);
    let groups = team_shards.chunks(SHARDS_PER_GROUP);
    let groups = groups.map(|shards| GroupChunk { shards: shards.to_vec() });
    let team_groups = groups.map(|group| add_chunk(&mut contents, &group)).collect();
    ChunkCut { contents, refs: ChunkRefs { common, servers, team_groups } }
}

/// Puts declarations together from their parts.
pub(crate) fn join_declarations(
    common: CommonChunk,
    servers: BTreeMap<String, ServerRule>,
    teams: BTreeMap<String, TeamRule>,
) -> FleetDeclarations {
    FleetDeclarations {
        deployment: common.deployment,
        classes: common.classes,
        default_class: common.default_class,
        models: common.models,
        services: common.services,
        servers,
        teams,
        placement: common.placement,
        limits: common.limits,
    }
}

fn common_chunk(declarations: &FleetDeclarations) -> CommonChunk {
    CommonChunk {
        deployment: declarations.deployment.clone(),
        classes: declarations.classes.clone(),
        default_class: declarations.default_class.clone(),
        models: declarations.models.clone(),
        services: declarations.services.clone(),
        placement: declarations.placement.clone(),
        limits: declarations.limits.clone(),
    }
}

fn add_shards<T: serde::Serialize>(
    contents: &mut BTreeMap<String, Vec<u8>>,
    table: &BTreeMap<String, T>,
) -> Vec<String> {
    let mut shards = vec![BTreeMap::new(); compute_shard_count(table.len())];
    let mask = shards.len() - 1;
    for (name, rule) in table {
        let shard = hash_parts(&[name.as_bytes()]) as usize & mask;
        shards[shard].insert(name, rule);
    }
    shards.iter().map(|shard| add_chunk(contents, shard)).collect()
}

fn add_chunk<T: serde::Serialize>(
    contents: &mut BTreeMap<String, Vec<u8>>,
    document: &T,
) -> String {
    let content = encode_document(document);
    let digest = digest_hex(&content);
    contents.insert(digest.clone(), content);
    digest
}
