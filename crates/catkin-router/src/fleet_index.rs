//! Lookup tables of the declarations in force, for the request path.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::{ClassId, DomainId, PoolId, RegionId, ServerId, TeamId};
use catkin_policy::{ClassPolicy, PolicyRules, RankTable, ServerSpec, TeamPolicy};
use catkin_settings::{
    ClassRule, FleetDeclarations, ServerKind, ServerRule, ServiceRule, TeamRule, WorkKind,
};

/// Path of a chat completion on an engine.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// A declared server with the fields that the request path reads.
#[derive(Debug, Clone)]
pub(crate) struct ServerEntry {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) spec: ServerSpec,
    /// Whether the server resumes streams that broke.
    pub(crate) resumes: bool,
    /// Whether the server refuses an order with an old fencing token.
    pub(crate) checks_fencing: bool,
}

/// A declared team's identifier and name.
#[derive(Debug, Clone)]
pub(crate) struct TeamEntry {
    pub(crate) team: TeamId,
    pub(crate) name: String,
}

/// One revision of the declarations, indexed for the request path.
#[derive(Debug)]
pub struct FleetIndex {
    revision: u64,
    declarations: FleetDeclarations,
    servers: BTreeMap<ServerId, ServerEntry>,
    pools: BTreeMap<PoolId, RankTable>,
    /// Teams by the digests of their tokens.
    teams: BTreeMap<String, TeamEntry>,
}

impl FleetIndex {
    /// Builds the index of the declarations with the number `revision`.
    pub fn new(revision: u64, declarations: FleetDeclarations) -> Self {
        let servers: BTreeMap<_, _> = declarations
            .servers
            .iter()
            .map(|(name, rule)| (ServerId::from_name(name), build_server(name, rule)))
            .collect();
        let pools = build_rank_tables(&servers);
        let teams = declarations
            .teams
            .iter()
            .map(|(name, rule)| (rule.token_digest.clone(), build_team(name)))
            .collect();
        Self { revision, declarations, servers, pools, teams }
    }

    /// Number of the revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The indexed declarations.
    pub fn declarations(&self) -> &FleetDeclarations {
        &self.declarations
    }

    pub(crate) fn server(&self, server: ServerId) -> Option<&ServerEntry> {
        self.servers.get(&server)
    }

    pub(crate) fn servers(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }

    pub(crate) fn rank_table(&self, pool: PoolId) -> Option<&RankTable> {
        self.pools.get(&pool)
    }

    /// The team with this token digest.
    pub(crate) fn team_by_digest(&self, token_digest: &str) -> Option<(&TeamEntry, &TeamRule)> {
        let entry = self.teams.get(token_digest)?;
        let rule = self.declarations.teams.get(&entry.name)?;
        Some((entry, rule))
    }

    /// The class with this name, or the default class without a name; `None` if not declared.
    pub(crate) fn class(&self, name: Option<&str>) -> Option<(&str, &ClassRule)> {
        let name = name.unwrap_or(&self.declarations.default_class);
        self.declarations.classes.get_key_value(name).map(|(name, rule)| (name.as_str(), rule))
    }

    pub(crate) fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.declarations.services.get(name)
    }

    pub(crate) fn has_model(&self, name: &str) -> bool {
        self.declarations.models.contains_key(name)
    }

    /// The rules that admission and placement follow under these declarations.
    pub(crate) fn policy_rules(&self) -> PolicyRules {
        let placement = &self.declarations.placement;
        let limits = &self.declarations.limits;
        PolicyRules {
            bound_percent: placement.bound_percent,
            prefill_micros_per_token: placement.prefill_micros_per_token,
            reuse_weight_percent: placement.reuse_weight_percent,
            skew_weight_percent: placement.skew_weight_percent,
            long_share_percent: placement.long_share_percent,
            retry_percent: limits.retry_percent,
            crash_strikes: limits.crash_strikes,
            quarantine_millis: limits.quarantine_millis,
            hold_down_millis: limits.hold_down_millis,
            classes: self.declarations.classes.iter().map(build_class_policy).collect(),
            teams: self.declarations.teams.iter().map(build_team_policy).collect(),
        }
    }
}

/// Pool of the servers that serve a model.
pub(crate) fn model_pool(model: &str) -> PoolId {
    PoolId::from_name(&format!("model/{model}"))
}

/// Pool of the servers of a service.
pub(crate) fn service_pool(service: &str) -> PoolId {
    PoolId::from_name(&format!("service/{service}"))
}

fn build_server(name: &str, rule: &ServerRule) -> ServerEntry {
    let pools = match rule.kind {
        ServerKind::Engine => rule.models.iter().map(|model| model_pool(model)).collect(),
        ServerKind::Service => rule.service.iter().map(|service| service_pool(service)).collect(),
    };
    let spec = ServerSpec {
        server: ServerId::from_name(name),
        pools,
        domain: DomainId::from_name(&rule.domain),
        region: RegionId::from_name(&rule.region),
        weight: rule.weight,
        slots: rule.slots,
    };
    ServerEntry {
        name: name.to_owned(),
        address: rule.address,
        spec,
        resumes: rule.resumes,
        checks_fencing: rule.checks_fencing,
    }
}

/// Builds the rank table of each pool.
fn build_rank_tables(servers: &BTreeMap<ServerId, ServerEntry>) -> BTreeMap<PoolId, RankTable> {
    let mut pools: BTreeMap<PoolId, Vec<&ServerSpec>> = BTreeMap::new();
    for entry in servers.values() {
        for pool in &entry.spec.pools {
            pools.entry(*pool).or_default().push(&entry.spec);
        }
    }
    pools.into_iter().map(|(pool, specs)| (pool, RankTable::new(specs))).collect()
}

fn build_team(name: &str) -> TeamEntry {
    TeamEntry { team: TeamId::from_name(name), name: name.to_owned() }
}

fn build_class_policy((name, rule): (&String, &ClassRule)) -> (ClassId, ClassPolicy) {
    let policy = ClassPolicy {
        quick: rule.work == WorkKind::Quick,
        priority: rule.priority,
        expected_tokens: rule.expected_tokens,
    };
    (ClassId::from_name(name), policy)
}

fn build_team_policy((name, rule): (&String, &TeamRule)) -> (TeamId, TeamPolicy) {
    (TeamId::from_name(name), TeamPolicy { weight: rule.weight, max_open: rule.max_open })
}
