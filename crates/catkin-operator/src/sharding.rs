//! Splits declarations into chunks and joins them again.
//!
//! Equal declarations always give equal chunks, so that unchanged chunks are neither written nor
//! read again.

use std::collections::BTreeMap;

use catkin_base::{digest_hex, document_type, hash_parts};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerRule, ServiceRule,
    TeamRule,
};

use crate::head::{ChunkRefs, encode_document};

/// Maximum average number of entries in a shard, until `MAX_SHARDS` is reached.
const ENTRIES_PER_SHARD: usize = 64;

/// Maximum number of shards of one table.
const MAX_SHARDS: usize = 512;

/// Maximum number of team shards that one group chunk lists.
const SHARDS_PER_GROUP: usize = 32;

document_type! {
    /// Chunk with everything but servers and teams.
    pub(crate) struct CommonChunk {
        deployment: String,
        classes: BTreeMap<String, ClassRule>,
        default_class: String,
        models: BTreeMap<String, ModelRule>,
        services: BTreeMap<String, ServiceRule>,
        placement: PlacementRules,
        limits: LimitRules,
    }

    /// Chunk that lists team shards.
    pub(crate) struct GroupChunk {
        /// Digests of the team shards.
        pub(crate) shards: Vec<String>,
    }
}

/// Chunks of one revision and the references to them.
pub(crate) struct ChunkSet {
    /// Contents of the chunks by digest.
    pub(crate) contents: BTreeMap<String, Vec<u8>>,
    /// References to the chunks, as the head holds them.
    pub(crate) refs: ChunkRefs,
}

/// Returns the number of shards for a table of `entries` entries: a power of two, at most 512.
pub fn compute_shard_count(entries: usize) -> usize {
    entries.div_ceil(ENTRIES_PER_SHARD).next_power_of_two().min(MAX_SHARDS)
}

/// Splits `declarations` into chunks.
pub(crate) fn split_declarations(declarations: &FleetDeclarations) -> ChunkSet {
    let mut contents = BTreeMap::new();
    let common = add_chunk(&mut contents, &build_common_chunk(declarations));
    let servers = add_shards(&mut contents, &declarations.servers);
    let team_shards = add_shards(&mut contents, &declarations.teams);
    let groups = team_shards.chunks(SHARDS_PER_GROUP);
    let groups = groups.map(|shards| GroupChunk { shards: shards.to_vec() });
    let team_groups = groups.map(|group| add_chunk(&mut contents, &group)).collect();
    ChunkSet { contents, refs: ChunkRefs { common, servers, team_groups } }
}

/// Joins the contents of chunks to declarations.
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

fn build_common_chunk(declarations: &FleetDeclarations) -> CommonChunk {
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
