//! Follows the live routers: which servers this router owns, and what changes hands.

use std::collections::{BTreeMap, BTreeSet};

use catkin_base::{ClockTime, ServerId, VmId};
use catkin_membership::{MemberEvent, MemberEventKind};
use catkin_peer::messages as wire;
use catkin_peer::messages::peer_message::Kind;
use catkin_policy::{GrantExport, OwnerPhase, RouterSpec, ServerSpec, choose_owner};

use crate::environment::RouterEnvironment;
use crate::index::FleetIndex;
use crate::parts::RouterParts;
use crate::wire::{export_to_wire, wrap_kind};

/// Times that a former owner is asked for its grants.
const MAX_QUERIES: u32 = 10;

/// Handovers that wait for a former owner, and the routers that were live before.
#[derive(Debug, Default)]
pub(crate) struct HandoverTable {
    waiting: BTreeMap<ServerId, FormerOwner>,
    roster: Option<Vec<RouterSpec>>,
    revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct FormerOwner {
    vm: VmId,
    queries: u32,
}

/// Follows the changes of the live routers and of the declarations since the last call.
pub(crate) fn follow_changes<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    table: &mut HandoverTable,
) {
    take_events(parts);
    let Some(index) = parts.index().filter(|_| parts.is_joined()) else { return };
    let own = parts.identity.vm;
    let roster = parts.control().roster.clone();
    let others = || roster.iter().copied().filter(|router| router.vm != own).collect();
    let former = table.roster.take().unwrap_or_else(others);
    let changed = former != roster || table.revision != index.revision() || has_to_take_back(parts);
    if changed {
        refresh_ownership(parts, &index, &former, table);
    }
    table.roster = Some(roster);
    table.revision = index.revision();
}

/// Whether a server that this router owns was ceded to a router that has handed it back, or that
/// should have by now.
fn has_to_take_back<E: RouterEnvironment>(parts: &RouterParts<E>) -> bool {
    let now = parts.now();
    let own = parts.identity.vm;
    let control = parts.control();
    let mut owned = control.owners.iter().filter(|(_, owner)| **owner == own);
    owned.any(|(server, _)| control.owner.can_reclaim(now, *server))
}

/// Takes the member changes since the last call.
fn take_events<E: RouterEnvironment>(parts: &RouterParts<E>) {
    let now = parts.now();
    let mut control = parts.control();
    let events = control.members.events();
    for event in &events {
        note_event(now, &mut control, event);
    }
    control.refresh_roster();
    control.refresh_suspects();
}

fn note_event(now: ClockTime, control: &mut crate::control::ControlState, event: &MemberEvent) {
    let vm = event.spec.vm;
    log::info!("members: A router changed. vm={vm} change={:?}", event.kind);
    match event.kind {
        MemberEventKind::Died | MemberEventKind::Restarted => {
            control.owner.drop_router(now, vm);
            if event.kind == MemberEventKind::Died {
                control.forget_address(vm);
            }
        }
        MemberEventKind::Joined | MemberEventKind::Left | MemberEventKind::Displaced => {}
    }
}

/// Brings ownership in line with the live routers and the declarations.
///
/// `former` are the live routers before the change, whose owners are asked for their grants.
fn refresh_ownership<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    index: &FleetIndex,
    former: &[RouterSpec],
    table: &mut HandoverTable,
) {
    let now = parts.now();
    let own = parts.identity.vm;
    let mut control = parts.control();
    control.owners = choose_owners(index, &control.roster);
    let owned: Vec<ServerSpec> = index
        .servers()
        .filter(|entry| control.owners.get(&entry.spec.server) == Some(&own))
        .map(|entry| entry.spec.clone())
        .collect();
    let change = control.owner.set_owned(now, &owned);
    drop(control);
    for server in change.gained {
        let holder = index.server(server).and_then(|entry| choose_owner(&entry.spec, former));
        begin_handover(parts, server, holder, table);
    }
    for export in change.lost {
        table.waiting.remove(&export.server);
        parts.courier.drop_server(export.server);
        hand_over(parts, &export);
    }
    parts.admission_due.notify_one();
}

fn choose_owners(index: &FleetIndex, roster: &[RouterSpec]) -> BTreeMap<ServerId, VmId> {
    let servers = index.servers();
    servers
        .filter_map(|entry| Some((entry.spec.server, choose_owner(&entry.spec, roster)?)))
        .collect()
}

fn begin_handover<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    server: ServerId,
    holder: Option<VmId>,
    table: &mut HandoverTable,
) {
    let holder = holder.filter(|vm| *vm != parts.identity.vm);
    match holder {
        Some(vm) => {
            table.waiting.insert(server, FormerOwner { vm, queries: 1 });
            query_owner(parts, vm, server);
        }
        None => {
            let now = parts.now();
            parts.control().owner.give_up_handover(now, server);
        }
    }
}

/// Sends what this router knows of a lost server to its new owner.
fn hand_over<E: RouterEnvironment>(parts: &RouterParts<E>, export: &GrantExport) {
    let owner = parts.control().owners.get(&export.server).copied();
    if let Some(owner) = owner.filter(|owner| *owner != parts.identity.vm) {
        parts.send_to(owner, &export_to_wire(export));
    }
}

/// Asks former owners again, and gives up on those that are gone or silent.
pub(crate) fn pursue_handovers<E: RouterEnvironment>(
    parts: &RouterParts<E>,
    table: &mut HandoverTable,
) {
    let now = parts.now();
    let waiting = servers_in_handover(parts);
    table.waiting.retain(|server, _| waiting.contains(server));
    for server in waiting {
        let former = table.waiting.get_mut(&server);
        let known = former.filter(|former| {
            former.queries < MAX_QUERIES && parts.control().address(former.vm).is_some()
        });
        match known {
            Some(former) => {
                former.queries += 1;
                query_owner(parts, former.vm, server);
            }
            None => parts.control().owner.give_up_handover(now, server),
        }
    }
}

fn servers_in_handover<E: RouterEnvironment>(parts: &RouterParts<E>) -> BTreeSet<ServerId> {
    let now = parts.now();
    let states = parts.control().owner.server_states(now);
    let waiting = states.iter().filter(|state| state.phase == OwnerPhase::Handover);
    waiting.map(|state| state.server).collect()
}

fn query_owner<E: RouterEnvironment>(parts: &RouterParts<E>, vm: VmId, server: ServerId) {
    let query = wire::OwnerQuery { server: server.0 };
    parts.send_to(vm, &wrap_kind(Kind::OwnerQuery(query)));
}
