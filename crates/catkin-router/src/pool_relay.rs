//! Distributes the load totals of pools: from the pool's aggregator to one relay in each failure
//! domain, and from there to the owners of the pool's servers in that domain.

use std::collections::BTreeSet;

use catkin_base::{DomainId, PoolId, VmId};
use catkin_policy::{PoolLoad, RouterSpec, choose_aggregator, choose_relay};

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::policy_state::PolicyState;
use crate::state::RouterState;
use crate::wire::pool_load_to_wire;

/// Sends a pool's load total to a relay in each failure domain that has owners of its servers.
///
/// In the domain where this router is the relay, it sends the total to the owners itself.
pub(crate) fn send_to_relays<E: RouterEnvironment>(state: &RouterState<E>, load: &PoolLoad) {
    let local_vm = state.identity.vm;
    let Some(index) = state.index() else { return };
    let policy = state.policy();
    let owners = list_owners(&policy, &index, load.pool);
    let domains: BTreeSet<DomainId> = owners.iter().map(|router| router.domain).collect();
    let relays: BTreeSet<VmId> = domains
        .iter()
        .filter_map(|domain| choose_relay(load.pool, *domain, &policy.roster))
        .collect();
    drop(policy);
    let message = pool_load_to_wire(load);
    for vm in relays.iter().filter(|vm| **vm != local_vm) {
        state.send_to(*vm, &message);
    }
    if relays.contains(&local_vm) {
        send_to_owners(state, load, &owners);
    }
}

/// Relays a load total that came from the pool's aggregator, if this router is its domain's relay.
pub(crate) fn relay_pool_load<E: RouterEnvironment>(
    state: &RouterState<E>,
    from: VmId,
    load: &PoolLoad,
) {
    let Some(index) = state.index() else { return };
    let policy = state.policy();
    let relay = choose_relay(load.pool, state.identity.domain, &policy.roster);
    let is_from_aggregator = choose_aggregator(load.pool, &policy.roster) == Some(from);
    if !is_from_aggregator || relay != Some(state.identity.vm) {
        return;
    }
    let owners = list_owners(&policy, &index, load.pool);
    drop(policy);
    send_to_owners(state, load, &owners);
}

/// Sends a load total to the owners in this router's failure domain.
fn send_to_owners<E: RouterEnvironment>(
    state: &RouterState<E>,
    load: &PoolLoad,
    owners: &[RouterSpec],
) {
    let message = pool_load_to_wire(load);
    let local = owners.iter().filter(|router| router.domain == state.identity.domain);
    for router in local.filter(|router| router.vm != state.identity.vm) {
        state.send_to(router.vm, &message);
    }
}

/// Live routers that own a server of the pool.
fn list_owners(policy: &PolicyState, index: &FleetIndex, pool: PoolId) -> Vec<RouterSpec> {
    let servers = index.servers().filter(|entry| entry.spec.pools.contains(&pool));
    let owners: BTreeSet<VmId> =
        servers.filter_map(|entry| policy.owners.get(&entry.spec.server).copied()).collect();
    policy.roster.iter().copied().filter(|router| owners.contains(&router.vm)).collect()
}
