//! Deployments that the bench simulates: two existing ones and the size to design for.

use std::collections::BTreeMap;

use catkin_base::{ClassId, DomainId, PoolId, RegionId, ServerId, VmId};
use catkin_policy::{ClassPolicy, PolicyRules, RouterSpec, ServerSpec};

/// Class of requests that generate few tokens and must start soon.
pub const QUICK_CLASS: ClassId = ClassId(1);
/// Class of requests that generate many tokens.
pub const LONG_CLASS: ClassId = ClassId(2);

/// Sizes, rates and rules of one deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub routers: Vec<RouterSpec>,
    pub servers: Vec<ServerSpec>,
    pub pools: usize,
    pub teams: usize,
    pub chats: usize,
    /// Number of chats that one server caches.
    pub cached_chats: usize,
    pub requests_per_second: f64,
    /// Interval of load reports.
    pub report_millis: u64,
    /// Mean delay of a datagram between routers of one failure domain.
    pub same_domain_micros: u64,
    /// Mean delay of a datagram between routers of different failure domains.
    pub cross_domain_micros: u64,
    pub rules: PolicyRules,
}

/// Sizes in which the deployments differ.
struct DeploymentSize {
    name: &'static str,
    routers: usize,
    servers: usize,
    domains: usize,
    regions: usize,
    pools: usize,
    slots: u32,
}

/// Four failure domains and ten engines; the rules weigh cache reuse more than skew.
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
        same_domain_micros: 250,
        cross_domain_micros: 1_500,
        rules: build_rules(400, 100),
        ..build_small_deployment(&size)
    }
}

/// Three failure domains and twelve engines; the rules weigh skew more than cache reuse.
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
        same_domain_micros: 250,
        cross_domain_micros: 500,
        rules: build_rules(100, 400),
        ..build_small_deployment(&size)
    }
}

/// The size to design for, with fewer chats (200,000 instead of 6.7 million) and teams (2,000
/// instead of 31,000).
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
        same_domain_micros: 250,
        cross_domain_micros: 5_000,
        rules: build_rules(100, 100),
        ..build_small_deployment(&size)
    }
}

fn build_small_deployment(size: &DeploymentSize) -> Deployment {
    Deployment {
        name: size.name,
        routers: (0..size.routers).map(|index| build_router_spec(index, size)).collect(),
        servers: (0..size.servers).map(|index| build_server_spec(index, size)).collect(),
        pools: size.pools,
        teams: 10,
        chats: 2_000,
        cached_chats: 400,
        requests_per_second: 0.0,
        report_millis: 250,
        same_domain_micros: 0,
        cross_domain_micros: 0,
        rules: build_rules(100, 100),
    }
}

fn build_router_spec(index: usize, size: &DeploymentSize) -> RouterSpec {
    let domain = index % size.domains;
    RouterSpec {
        vm: VmId(index as u64 + 1),
        domain: DomainId(domain as u64),
        region: RegionId((domain % size.regions) as u64),
    }
}

fn build_server_spec(index: usize, size: &DeploymentSize) -> ServerSpec {
    let domain = index % size.domains;
    ServerSpec {
        server: ServerId(index as u64 + 1),
        pools: vec![PoolId(assign_pool(index, size) as u64)],
        domain: DomainId(domain as u64),
        region: RegionId((domain % size.regions) as u64),
        weight: 1,
        slots: size.slots,
    }
}

/// Assigns a server to a pool. The number of servers of pool `k` is proportional to
/// `1 / sqrt(k + 1)`.
fn assign_pool(index: usize, size: &DeploymentSize) -> usize {
    let shares: Vec<f64> = (0..size.pools).map(|pool| 1.0 / ((pool + 1) as f64).sqrt()).collect();
    let total: f64 = shares.iter().sum();
    let mut position = (index as f64 + 0.5) / size.servers as f64 * total;
    for (pool, share) in shares.iter().enumerate() {
        if position < *share {
            return pool;
        }
        position -= share;
    }
    size.pools - 1
}

fn build_rules(reuse_weight_percent: u32, skew_weight_percent: u32) -> PolicyRules {
    let quick = ClassPolicy { quick: true, priority: 1, expected_tokens: 100 };
    let long = ClassPolicy { quick: false, priority: 5, expected_tokens: 660 };
    PolicyRules {
        reuse_weight_percent,
        skew_weight_percent,
        classes: BTreeMap::from([(QUICK_CLASS, quick), (LONG_CLASS, long)]),
        ..PolicyRules::default()
    }
}
