//! The fleet that is fed: its names, its declarations and the routers' places in it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::{DomainId, PoolId, RegionId, ServerId, VmId, copy_type, digest_hex};
use catkin_policy::{RouterSpec, ServerSpec, choose_aggregator, choose_owner};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    TeamRule, WorkKind,
};

/// Failure domains of the fleet.
pub const DOMAINS: usize = 6;
/// Regions of the fleet.
const REGIONS: usize = 2;
/// The only class of requests.
pub const CLASS: &str = "chat";
/// Requests that one server runs at once.
const SERVER_SLOTS: u32 = 128;
/// Open requests of one team.
const TEAM_MAX_OPEN: u32 = 40;
/// Names tried for the router under measurement.
const NAME_TRIES: usize = 10_000;

copy_type! {
    /// Size of a fleet.
    pub struct FleetShape {
        /// Routers, the measured one included.
        pub routers: usize,
        /// Backend servers.
        pub servers: usize,
        /// Teams.
        pub teams: usize,
        /// Models; each server has one of them.
        pub models: usize,
    }
}

/// The place of the measured router among the others.
#[derive(Debug, Clone)]
pub struct RouterPlace {
    /// Name of its VM.
    pub name: String,
    /// Where it runs.
    pub spec: RouterSpec,
    /// Servers that it owns, by index.
    pub owned: Vec<usize>,
    /// Pools that it aggregates.
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

/// Name of the VM of a light peer.
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

/// A router with this VM name in the domain of this index.
pub fn router_spec(name: &str, index: usize) -> RouterSpec {
    RouterSpec {
        vm: VmId::from_name(name),
        domain: DomainId::from_name(&domain_name(index)),
        region: RegionId::from_name(&region_name(index)),
    }
}

impl FleetShape {
    /// Model that a server has.
    pub fn model_of(&self, server: usize) -> String {
        model_name(server % self.models)
    }

    /// Pool of a server.
    pub fn pool_of(&self, server: usize) -> PoolId {
        PoolId::from_name(&format!("model/{}", self.model_of(server)))
    }

    /// A server as the decisions see it.
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

    /// The light peers.
    pub fn peers(&self) -> Vec<RouterSpec> {
        (0..self.routers - 1).map(|index| router_spec(&peer_name(index), index)).collect()
    }

    /// Finds a name under which the measured router owns as many servers as the mean router, and
    /// aggregates one pool.
    pub fn place_router(&self) -> Option<RouterPlace> {
        let mean = (self.servers as f64 / self.routers as f64).round() as usize;
        let places = (0..NAME_TRIES).map(|number| self.place_named(format!("measured-{number}")));
        let mut places = places;
        places.find(|place| place.owned.len() == mean && place.pools.len() == 1)
    }

    fn place_named(&self, name: String) -> RouterPlace {
        let spec = router_spec(&name, self.routers - 1);
        let mut roster = self.peers();
        roster.push(spec);
        let own = Some(spec.vm);
        let pools = (0..self.models.min(self.servers)).map(|index| self.pool_of(index));
        let pools: Vec<_> = pools.filter(|pool| choose_aggregator(*pool, &roster) == own).collect();
        if pools.len() != 1 {
            return RouterPlace { name, spec, owned: Vec::new(), pools };
        }
        let servers = 0..self.servers;
        let owned = servers.filter(|index| choose_owner(&self.server_spec(*index), &roster) == own);
        RouterPlace { name, spec, owned: owned.collect(), pools }
    }

    /// Declares the fleet over servers at these addresses.
    pub fn declare(&self, addresses: &[SocketAddr]) -> FleetDeclarations {
        let servers = addresses.iter().enumerate();
        FleetDeclarations {
            deployment: "feeder".to_owned(),
            classes: BTreeMap::from([(CLASS.to_owned(), declare_class())]),
            default_class: CLASS.to_owned(),
            models: (0..self.models).map(|index| (model_name(index), declare_model())).collect(),
            services: BTreeMap::new(),
            servers: servers.map(|(index, address)| self.declare_server(index, *address)).collect(),
            teams: (0..self.teams).map(declare_team).collect(),
            placement: declare_placement(),
            limits: declare_limits(),
        }
    }

    fn declare_server(&self, index: usize, address: SocketAddr) -> (String, ServerRule) {
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

fn declare_class() -> ClassRule {
    ClassRule { work: WorkKind::Quick, deadline_millis: 30_000, priority: 1, expected_tokens: 323 }
}

fn declare_model() -> ModelRule {
    ModelRule { adapters: Vec::new(), version: 1 }
}

fn declare_team(index: usize) -> (String, TeamRule) {
    let rule = TeamRule {
        token_digest: digest_hex(team_token(index).as_bytes()),
        weight: 1,
        max_open: TEAM_MAX_OPEN,
        classes: Vec::new(),
    };
    (team_name(index), rule)
}

fn declare_placement() -> PlacementRules {
    PlacementRules {
        bound_percent: 150,
        prefill_micros_per_token: 200,
        reuse_weight_percent: 100,
        skew_weight_percent: 100,
        long_share_percent: 75,
    }
}

fn declare_limits() -> LimitRules {
    LimitRules {
        retry_percent: 10,
        crash_strikes: 2,
        quarantine_millis: 60_000,
        hold_down_millis: 2_000,
        loads_at_once: 2,
    }
}
