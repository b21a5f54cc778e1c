//! The live routers and declared servers as one router knows them.

use catkin_base::{PoolId, ServerId, VmId};
use catkin_policy::{RankTable, RouterSpec, ServerSpec, choose_owner};

use super::deployment::Deployment;

/// A change with a number, so that a change that arrives late does not overwrite a newer one.
#[derive(Debug, Clone, Copy)]
pub struct NumberedChange {
    pub number: u64,
    /// Incarnation of the router that changed, which rises at each restart.
    pub incarnation: u64,
    pub change: ViewChange,
}

/// A change of the membership or of the declared servers; both are given by index.
#[derive(Debug, Clone, Copy)]
pub enum ViewChange {
    RouterUp(usize),
    RouterDown(usize),
    ServerDeclared(usize),
    ServerRemoved(usize),
}

/// Live routers and declared servers, and the owners and rank tables that follow from them.
#[derive(Debug, Clone)]
pub struct RouterView {
    alive: Vec<bool>,
    declared: Vec<bool>,
    owners: Vec<Option<VmId>>,
    tables: Vec<RankTable>,
    /// Number of the last change of each router.
    router_numbers: Vec<u64>,
    /// Number of the last change of each server.
    server_numbers: Vec<u64>,
}

impl RouterView {
    /// Creates the view in which all routers are alive and all servers are declared.
    pub fn new(deployment: &Deployment) -> Self {
        let mut view = Self {
            alive: vec![true; deployment.routers.len()],
            declared: vec![true; deployment.servers.len()],
            owners: vec![None; deployment.servers.len()],
            tables: vec![RankTable::default(); deployment.pools],
            router_numbers: vec![0; deployment.routers.len()],
            server_numbers: vec![0; deployment.servers.len()],
        };
        view.choose_owners(deployment);
        for pool in 0..deployment.pools {
            view.build_table(deployment, pool);
        }
        view
    }

    /// Applies a change. Returns false if a newer one was applied.
    pub fn apply_numbered(&mut self, deployment: &Deployment, numbered: NumberedChange) -> bool {
        let known = match numbered.change {
            ViewChange::RouterUp(router) | ViewChange::RouterDown(router) => {
                &mut self.router_numbers[router]
            }
            ViewChange::ServerDeclared(server) | ViewChange::ServerRemoved(server) => {
                &mut self.server_numbers[server]
            }
        };
        if *known >= numbered.number {
            return false;
        }
        *known = numbered.number;
        self.apply(deployment, numbered.change);
        true
    }

    /// Applies a change, whatever its number.
    pub fn apply(&mut self, deployment: &Deployment, change: ViewChange) {
        match change {
            ViewChange::RouterUp(router) => self.alive[router] = true,
            ViewChange::RouterDown(router) => self.alive[router] = false,
            ViewChange::ServerDeclared(server) => self.declared[server] = true,
            ViewChange::ServerRemoved(server) => self.declared[server] = false,
        }
        match change {
            ViewChange::RouterUp(_) | ViewChange::RouterDown(_) => self.choose_owners(deployment),
            ViewChange::ServerDeclared(server) | ViewChange::ServerRemoved(server) => {
                let pool = deployment.servers[server].pools[0].0 as usize;
                self.build_table(deployment, pool);
            }
        }
    }

    /// Whether the router on `vm` is alive.
    pub fn is_alive(&self, vm: VmId) -> bool {
        self.alive[vm.0 as usize - 1]
    }

    /// The router that owns `server`.
    pub fn owner(&self, server: ServerId) -> Option<VmId> {
        self.owners[server.0 as usize - 1]
    }

    /// The rank table of a pool.
    pub fn table(&self, pool: PoolId) -> &RankTable {
        &self.tables[pool.0 as usize]
    }

    /// Servers that the router on `vm` owns.
    pub fn owned(&self, deployment: &Deployment, vm: VmId) -> Vec<ServerSpec> {
        let servers = deployment.servers.iter();
        servers.filter(|spec| self.owner(spec.server) == Some(vm)).cloned().collect()
    }

    /// The router that would own `server` if the router on `vm` were not alive.
    pub fn former_owner(
        &self,
        deployment: &Deployment,
        server: ServerId,
        vm: VmId,
    ) -> Option<VmId> {
        let mut routers = self.routers(deployment);
        routers.retain(|router| router.vm != vm);
        choose_owner(&deployment.servers[server.0 as usize - 1], &routers)
    }

    /// The live routers.
    pub fn routers(&self, deployment: &Deployment) -> Vec<RouterSpec> {
        let routers = deployment.routers.iter();
        routers.filter(|router| self.is_alive(router.vm)).copied().collect()
    }

    fn choose_owners(&mut self, deployment: &Deployment) {
        let routers = self.routers(deployment);
        let owners = deployment.servers.iter().map(|spec| choose_owner(spec, &routers));
        self.owners = owners.collect();
    }

    fn build_table(&mut self, deployment: &Deployment, pool: usize) {
        let pool_id = PoolId(pool as u64);
        let members = deployment
            .servers
            .iter()
            .enumerate()
            .filter(|(index, spec)| self.declared[*index] && spec.pools.contains(&pool_id));
        self.tables[pool] = RankTable::new(members.map(|(_, spec)| spec));
    }
}
