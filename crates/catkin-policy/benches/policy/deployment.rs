//! The deployments that the bench plays: two of today and the size to design for.

use std::collections::BTreeMap;

use catkin_base::{ClassId, DomainId, PoolId, RegionId, ServerId, VmId};
use catkin_policy::{ClassPolicy, PolicyRules, RouterSpec, ServerSpec};

pub const QUICK: ClassId = ClassId(1);
pub const LONG: ClassId = ClassId(2);

/// Sizes, rates and rules of one deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub routers: Vec<RouterSpec>,
    pub servers: Vec<ServerSpec>,
    pub pools: usize,
    pub teams: usize,
    pub chats: usize,
    pub cached_chats: usize,
    pub requests_per_second: f64,
    pub report_millis: u64,
    pub near_micros: u64,
    pub far_micros: u64,
    pub rules: PolicyRules,
}

/// What differs between deployments.
struct DeploymentSize {
    name: &'static str,
    routers: usize,
    servers: usize,
    domains: usize,
    regions: usize,
    pools: usize,
    slots: u32,
}

/// Four domains, ten engines; reuse weighs most.
pub fn swiss() -> Deployment {
    let size = DeploymentSize {
        name: "swiss",
        routers: 8,
        servers: 10,
        domains: 4,
        regions: 1,
        pools: 1,
        slots: 16,
    };
    Deployment {
        requests_per_second: 8.0,
        near_micros: 250,
        far_micros: 1_500,
        rules: rules(400, 100),
        ..small_deployment(&size)
    }
}

/// Three domains, twelve engines; skew weighs most.
pub fn glenmore() -> Deployment {
    let size = DeploymentSize {
        name: "glenmore",
        routers: 8,
        servers: 12,
        domains: 3,
        regions: 1,
        pools: 1,
        slots: 16,
    };
    Deployment {
        requests_per_second: 10.0,
        near_micros: 250,
        far_micros: 500,
        rules: rules(100, 400),
        ..small_deployment(&size)
    }
}

/// The size to design for. Scaled down: 200,000 chats for 6.7 million, 2,000 teams for 31,000.
pub fn full() -> Deployment {
    let size = DeploymentSize {
        name: "full",
        routers: 330,
        servers: 860,
        domains: 6,
        regions: 2,
        pools: 19,
        slots: 64,
    };
    Deployment {
        teams: 2_000,
        chats: 200_000,
        cached_chats: 600,
        requests_per_second: 3_000.0,
        report_millis: 1_000,
        near_micros: 250,
        far_micros: 5_000,
        rules: rules(100, 100),
        ..small_deployment(&size)
    }
}

fn small_deployment(size: &DeploymentSize) -> Deployment {
    Deployment {
        name: size.name,
        routers: (0..size.routers).map(|index| router_spec(index, size)).collect(),
        servers: (0..size.servers).map(|index| server_spec(index, size)).collect(),
        pools: size.pools,
        teams: 10,
        chats: 2_000,
        cached_chats: 400,
        requests_per_second: 0.0,
        report_millis: 250,
        near_micros: 0,
        far_micros: 0,
        rules: rules(100, 100),
    }
}

fn router_spec(index: usize, size: &DeploymentSize) -> RouterSpec {
    let domain = index % size.domains;
    RouterSpec {
        vm: VmId(index as u64 + 1),
        domain: DomainId(domain as u64),
        region: RegionId((domain % size.regions) as u64),
    }
}

fn server_spec(index: usize, size: &DeploymentSize) -> ServerSpec {
    let domain = index % size.domains;
    ServerSpec {
        server: ServerId(index as u64 + 1),
        pools: vec![PoolId(pool_of(index, size) as u64)],
        domain: DomainId(domain as u64),
        region: RegionId((domain % size.regions) as u64),
        weight: 1,
        slots: size.slots,
    }
}

/// Pools get shares that fall with the square root of their place.
fn pool_of(index: usize, size: &DeploymentSize) -> usize {
    let shares: Vec<f64> = (0..size.pools).map(|pool| 1.0 / ((pool + 1) as f64).sqrt()).collect();
    let total: f64 = shares.iter().sum();
    let mut place = (index as f64 + 0.5) / size.servers as f64 * total;
    for (pool, share) in shares.iter().enumerate() {
        if place < *share {
            return pool;
        }
        place -= share;
    }
    size.pools - 1
}

fn rules(reuse_weight_percent: u32, skew_weight_percent: u32) -> PolicyRules {
    let quick = ClassPolicy { quick: true, priority: 1, expected_tokens: 100 };
    let long = ClassPolicy { quick: false, priority: 5, expected_tokens: 660 };
    PolicyRules {
        reuse_weight_percent,
        skew_weight_percent,
        classes: BTreeMap::from([(QUICK, quick), (LONG, long)]),
        ..PolicyRules::default()
    }
}
