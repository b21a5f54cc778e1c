//! Ownership of servers: follows changes of the live routers and the declarations, and hands over
//! the grants of servers whose owner changes.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, ServerId, VmId};
use catkin_membership::{MemberEvent, MemberEventKind};
use catkin_peer::messages;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{GrantExport, OwnerPhase, RouterSpec, ServerSpec, choose_owner};

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;
use crate::wire::{export_to_wire, wrap_kind};

/// Maximum number of queries to a former owner for its grants.
const MAX_QUERIES: u32 = 10;

/// Handovers that wait for a former owner's reply, and the roster and revision last applied.
#[derive(Debug, Default)]
pub(crate) struct HandoverTable {
    waiting: BTreeMap<ServerId, FormerOwner>,
    roster: Option<Vec<RouterSpec>>,
    revision: u64,
}

/// A router that owned a server before, and the queries sent to it so far.
#[derive(Debug, Clone, Copy)]
struct FormerOwner {
    vm: VmId,
    queries: u32,
}

/// Applies the changes of the live routers and of the declarations since the last call.
pub(crate) fn apply_changes<E: RouterEnvironment>(
    state: &RouterState<E>,
    table: &mut HandoverTable,
) {
    apply_member_events(state);
    let Some(index) = state.index().filter(|_| state.is_joined()) else { return };
    let local_vm = state.identity.vm;
    let roster = state.policy().roster.clone();
    let others = || roster.iter().copied().filter(|router| router.vm != local_vm).collect();
    let former = table.roster.take().unwrap_or_else(others);
    let changed = former != roster || table.revision != index.revision() || can_reclaim_any(state);
    if changed {
        refresh_ownership(state, &index, &former, table);
    }
    table.roster = Some(roster);
    table.revision = index.revision();
}

/// Whether this router owns a server that it ceded to a router that has handed it back, or that
/// should have done so by now.
fn can_reclaim_any<E: RouterEnvironment>(state: &RouterState<E>) -> bool {
    let now = state.now();
    let local_vm = state.identity.vm;
    let policy = state.policy();
    let mut owned = policy.owners.iter().filter(|(_, owner)| **owner == local_vm);
    owned.any(|(server, _)| policy.admission.can_reclaim(now, *server))
}

/// Applies the membership events since the last call.
fn apply_member_events<E: RouterEnvironment>(state: &RouterState<E>) {
    let now = state.now();
    let mut policy = state.policy();
    let events = policy.members.take_events();
    for event in &events {
        apply_member_event(now, &mut policy, event);
    }
    policy.refresh_roster();
    policy.refresh_suspects();
}

fn apply_member_event(
    now: ClockTime,
    policy: &mut crate::policy_state::PolicyState,
    event: &MemberEvent,
) {
    let vm = event.spec.vm;
    log::info!(
        "members: membership of a router changed; server ownership is recomputed. vm={vm} change={:?}",
        event.kind
    );
    match event.kind {
        MemberEventKind::Died | MemberEventKind::Restarted => {
            policy.admission.drop_router(now, vm);
            if event.kind == MemberEventKind::Died {
                policy.remove_address(vm);
            }
        }
        MemberEventKind::Joined | MemberEventKind::Left | MemberEventKind::Displaced => {}
    }
}

/// Recomputes which servers this router owns, and starts the handovers that result.
///
/// `former` are the live routers before the change: the owners among them are queried for their
/// grants.
fn refresh_ownership<E: RouterEnvironment>(
    state: &RouterState<E>,
    index: &FleetIndex,
    former: &[RouterSpec],
    table: &mut HandoverTable,
) {
    let now = state.now();
    let local_vm = state.identity.vm;
    let mut policy = state.policy();
    policy.owners = choose_owners(index, &policy.roster);
    let owned: Vec<ServerSpec> = index
        .servers()
        .filter(|entry| policy.owners.get(&entry.spec.server) == Some(&local_vm))
        .map(|entry| entry.spec.clone())
        .collect();
    let change = policy.admission.set_owned(now, &owned);
    drop(policy);
    for server in change.gained {
        let holder = index.server(server).and_then(|entry| choose_owner(&entry.spec, former));
        begin_handover(state, server, holder, table);
    }
    for export in change.lost {
        table.waiting.remove(&export.server);
        state.dispatcher.remove_server(export.server);
        hand_over(state, &export);
    }
    state.admission_due.notify_one();
}

fn choose_owners(index: &FleetIndex, roster: &[RouterSpec]) -> BTreeMap<ServerId, VmId> {
    let servers = index.servers();
    servers
        .filter_map(|entry| Some((entry.spec.server, choose_owner(&entry.spec, roster)?)))
        .collect()
}

fn begin_handover<E: RouterEnvironment>(
    state: &RouterState<E>,
    server: ServerId,
    holder: Option<VmId>,
    table: &mut HandoverTable,
) {
    let holder = holder.filter(|vm| *vm != state.identity.vm);
    match holder {
        Some(vm) => {
            table.waiting.insert(server, FormerOwner { vm, queries: 1 });
            query_owner(state, vm, server);
        }
        None => {
            let now = state.now();
            state.policy().admission.give_up_handover(now, server);
        }
    }
}

/// Sends the grants and warm chats of a server that this router lost to its new owner.
fn hand_over<E: RouterEnvironment>(state: &RouterState<E>, export: &GrantExport) {
    let owner = state.policy().owners.get(&export.server).copied();
    if let Some(owner) = owner.filter(|owner| *owner != state.identity.vm) {
        state.send_to(owner, &export_to_wire(export));
    }
}

/// Repeats the queries to former owners, and ends the handovers whose former owner is gone or did
/// not reply to [`MAX_QUERIES`] queries.
pub(crate) fn retry_handovers<E: RouterEnvironment>(
    state: &RouterState<E>,
    table: &mut HandoverTable,
) {
    let now = state.now();
    let waiting = list_handovers(state);
    table.waiting.retain(|server, _| waiting.contains(server));
    for server in waiting {
        let former = table.waiting.get_mut(&server);
        let known = former.filter(|former| {
            former.queries < MAX_QUERIES && state.policy().address(former.vm).is_some()
        });
        match known {
            Some(former) => {
                former.queries += 1;
                query_owner(state, former.vm, server);
            }
            None => state.policy().admission.give_up_handover(now, server),
        }
    }
}

/// Servers that this router owns and whose former owner has not replied yet.
fn list_handovers<E: RouterEnvironment>(state: &RouterState<E>) -> BTreeSet<ServerId> {
    let now = state.now();
    let states = state.policy().admission.server_states(now);
    let waiting = states.iter().filter(|server_state| server_state.phase == OwnerPhase::Handover);
    waiting.map(|server_state| server_state.server).collect()
}

fn query_owner<E: RouterEnvironment>(state: &RouterState<E>, vm: VmId, server: ServerId) {
    let query = messages::OwnerQuery { server: server.0 };
    state.send_to(vm, &wrap_kind(Kind::OwnerQuery(query)));
}
