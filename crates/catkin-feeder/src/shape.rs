//! The simulated fleet: its names, its declarations, and what is assigned to the measured router.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::{DomainId, PoolId, RegionId, ServerId, VmId, copy_type, digest_hex};
use catkin_policy::{RouterSpec, ServerSpec, choose_aggregator, choose_owner};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    TeamRule, WorkKind,
};

/// Number of failure domains of the fleet.
pub const DOMAINS: usize = 6;
/// Number of regions of the fleet.
const REGIONS: usize = 2;
/// The only request class.
pub const CLASS: &str = "chat";
/// Number of requests that a server runs at once.
const SERVER_SLOTS: u32 = 128;
/// Maximum number of open requests of a team.
const TEAM_MAX_OPEN: u32 = 40;
/// Number of VM names tried for the measured router.
const MAX_NAME_TRIES: usize = 10_000;

copy_type! {
    /// Size of a fleet.
    pub struct FleetShape {
        /// Number of routers, the measured one included.
        pub routers: usize,
        /// Number of backend servers.
        pub servers: usize,
        /// Number of teams.
        pub teams: usize,
        /// Number of models; each server serves one of them.
        pub models: usize,
    }
}

/// Servers and pools that rendezvous hashing assigns to the measured router.
#[derive(Debug, Clone)]
pub struct RouterAssignment {
    /// Name of the VM of the router.
    pub name: String,
    /// VM, failure domain and region of the router.
    pub spec: RouterSpec,
    /// Indexes of the servers that the router owns.
    pub owned: Vec<usize>,
    /// Pools whose load the router aggregates.
    pub pools: Vec<PoolId>,
}

/// Name of a failure domain.
pub fn domain_name(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Name of the region of a failure domain.
pub fn region_name(index: usize) -> String {
    format!("region-{}", index % DOMAINS / (DOMAINS / REGIONS))
}

/// Name of the VM of a simulated peer.
pub fn peer_name(index: usize) -> String {
    format!("peer-{index:04}")
}

/// Name of a backend server.
pub fn server_name(index: usize) -> String {
    format!("server-{index:04}")
}

/// Name of a model.
pub fn model_name(index: usize) -> String {
    format!("model-{index:02}")
}

/// Name of a team.
pub fn team_name(index: usize) -> String {
    format!("team-{index:05}")
}

/// Bearer token of a team.
pub fn team_token(index: usize) -> String {
    format!("token-{index:05}")
}

/// Returns a router with this VM name in the failure domain of this index.
pub fn router_spec(name: &str, index: usize) -> RouterSpec {
    RouterSpec {
        vm: VmId::from_name(name),
        domain: DomainId::from_name(&domain_name(index)),
        region: RegionId::from_name(&region_name(index)),
    }
}

impl FleetShape {
    /// Name of the model that a server serves.
    pub fn model_of(&self, server: usize) -> String {
        model_name(server % self.models)
    }

    /// Pool of a server, the one of its model.
    pub fn pool_of(&self, server: usize) -> PoolId {
        PoolId::from_name(&format!("model/{}", self.model_of(server)))
    }

    /// Returns a server in the form that the ownership decisions take.
    pub fn server_spec(&self, server: usize) -> ServerSpec {
        ServerSpec {
            server: ServerId::from_name(&server_name(server)),
            pools: vec![self.pool_of(server)],
            domain: DomainId::from_name(&domain_name(server)),
            region: RegionId::from_name(&region_name(server)),
            weight: 1,
            slots: SERVER_SLOTS,
        }
    }

    /// Returns the simulated peers.
    pub fn peers(&self) -> Vec<RouterSpec> {
        (0..self.routers - 1).map(|index| router_spec(&peer_name(index), index)).collect()
    }

    /// Finds a VM name under which the measured router owns the mean number of servers and
    /// aggregates one pool; `None` if none of the tried names does.
    pub fn find_assignment(&self) -> Option<RouterAssignment> {
        let mean = (self.servers as f64 / self.routers as f64).round() as usize;
        let assignments =
            (0..MAX_NAME_TRIES).map(|number| self.assign_router(format!("measured-{number}")));
        let mut assignments = assignments;
        assignments.find(|assignment| assignment.owned.len() == mean && assignment.pools.len() == 1)
    }

    fn assign_router(&self, name: String) -> RouterAssignment {
        let spec = router_spec(&name, self.routers - 1);
        let mut roster = self.peers();
        roster.push(spec);
        let own = Some(spec.vm);
        let pools = (0..self.models.min(self.servers)).map(|index| self.pool_of(index));
        let pools: Vec<_> = pools.filter(|pool| choose_aggregator(*pool, &roster) == own).collect();
        if pools.len() != 1 {
            return RouterAssignment { name, spec, owned: Vec::new(), pools };
        }
        let servers = 0..self.servers;
        let owned = servers.filter(|index| choose_owner(&self.server_spec(*index), &roster) == own);
        RouterAssignment { name, spec, owned: owned.collect(), pools }
    }

    /// Builds the declarations of the fleet, with its servers at these addresses.
    pub fn build_declarations(&self, addresses: &[SocketAddr]) -> FleetDeclarations {
        let servers = addresses.iter().enumerate();
        FleetDeclarations {
            deployment: "feeder".to_owned(),
            classes: BTreeMap::from([(CLASS.to_owned(), build_class_rule())]),
            default_class: CLASS.to_owned(),
            models: (0..self.models).map(|index| (model_name(index), build_model_rule())).collect(),
            services: BTreeMap::new(),
            servers: servers
                .map(|(index, address)| self.build_server_rule(index, *address))
                .collect(),
            teams: (0..self.teams).map(build_team_rule).collect(),
            placement: build_placement_rules(),
            limits: build_limit_rules(),
        }
    }

    fn build_server_rule(&self, index: usize, address: SocketAddr) -> (String, ServerRule) {
        let rule = ServerRule {
            kind: ServerKind::Engine,
            address,
            domain: domain_name(index),
            region: region_name(index),
            models: vec![self.model_of(index)],
            service: None,
            weight: 1,
            slots: SERVER_SLOTS,
            checks_fencing: true,
            resumes: false,
        };
        (server_name(index), rule)
    }
}

fn build_class_rule() -> ClassRule {
    ClassRule { work: WorkKind::Quick, deadline_millis: 30_000, priority: 1, expected_tokens: 323 }
}

fn build_model_rule() -> ModelRule {
    ModelRule { adapters: Vec::new(), version: 1 }
}

fn build_team_rule(index: usize) -> (String, TeamRule) {
    let rule = TeamRule {
        token_digest: digest_hex(team_token(index).as_bytes()),
        weight: 1,
        max_open: TEAM_MAX_OPEN,
        classes: Vec::new(),
    };
    (team_name(index), rule)
}

fn build_placement_rules() -> PlacementRules {
    PlacementRules {
        bound_percent: 150,
        prefill_micros_per_token: 200,
        reuse_weight_percent: 100,
        skew_weight_percent: 100,
        long_share_percent: 75,
    }
}

fn build_limit_rules() -> LimitRules {
    LimitRules {
        retry_percent: 10,
        crash_strikes: 2,
        quarantine_millis: 60_000,
        hold_down_millis: 2_000,
        loads_at_once: 2,
    }
}
