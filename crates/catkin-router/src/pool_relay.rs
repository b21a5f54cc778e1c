//! Passes the sums of pools on: from the aggregator to a relay in each domain, from there to the
//! owners of the pool's servers.

use std::collections::BTreeSet;

use catkin_base::{DomainId, PoolId, VmId};
use catkin_policy::{PoolLoad, RouterSpec, choose_aggregator, choose_relay};

use crate::control::ControlState;
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::parts::RouterParts;
use crate::wire::pool_load_to_wire;

/// Sends the sum of a pool to a relay in each domain that has owners of its servers.
///
/// Where this router is the relay, it serves the owners itself.
pub(crate) fn send_to_relays<E: RouterEnvironment>(parts: &RouterParts<E>, load: &PoolLoad) {
    let own = parts.identity.vm;
    let Some(index) = parts.index() else { return };
    let control = parts.control();
    let owners = list_owners(&control, &index, load.pool);
    let domains: BTreeSet<DomainId> = owners.iter().map(|router| router.domain).collect();
    let relays: BTreeSet<VmId> = domains
        .iter()
        .filter_map(|domain| choose_relay(load.pool, *domain, &control.roster))
        .collect();
    drop(control);
    let message = pool_load_to_wire(load);
    for vm in relays.iter().filter(|vm| **vm != own) {
        parts.send_to(*vm, &message);
    }
    if relays.contains(&own) {
        send_to_owners(parts, load, &owners);
    }
}

/// Passes a sum on that came from its aggregator, if this router is its domain's relay.
pub(crate) fn relay_sum<E: RouterEnvironment>(parts: &RouterParts<E>, from: VmId, load: &PoolLoad) {
    let Some(index) = parts.index() else { return };
    let control = parts.control();
    let relay = choose_relay(load.pool, parts.identity.domain, &control.roster);
    let is_first_hand = choose_aggregator(load.pool, &control.roster) == Some(from);
    if !is_first_hand || relay != Some(parts.identity.vm) {
        return;
    }
    let owners = list_owners(&control, &index, load.pool);
    drop(control);
    send_to_owners(parts, load, &owners);
}

/// Sends a sum to the owners in this router's domain.
fn send_to_owners<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    load: &PoolLoad,
    owners: &[RouterSpec],
) {
    let message = pool_load_to_wire(load);
    let local = owners.iter().filter(|router| router.domain == parts.identity.domain);
    for router in local.filter(|router| router.vm != parts.identity.vm) {
        parts.send_to(router.vm, &message);
    }
}

/// Live routers that own a server of the pool.
fn list_owners(control: &ControlState, index: &FleetIndex, pool: PoolId) -> Vec<RouterSpec> {
    let servers = index.servers().filter(|entry| entry.spec.pools.contains(&pool));
    let owners: BTreeSet<VmId> =
        servers.filter_map(|entry| control.owners.get(&entry.spec.server).copied()).collect();
    control.roster.iter().copied().filter(|router| owners.contains(&router.vm)).collect()
}
