//! Decides where a router that has just started gets a long list of servers from.
//!
//! Answers the pattern of a fleet whose routers all start at once: if each of them lists thousands
//! of servers, the store's link is busy for seconds and most calls time out. In a large fleet a few
//! routers of each failure domain list the servers from the store. They and the others pass the
//! list on along a tree, in the order in which routers become relays, so that every router sends
//! it to a few others only. Every router derives the same tree from the list of routers.

use catkin_base::VmId;

use crate::relay_plan::{FleetMember, MAX_SMALL_FLEET, relay_order};

/// Routers of each failure domain that list the servers from the store.
const STORE_LISTERS: usize = 2;
/// Routers that each router passes the list on to.
const COPIES_PER_ROUTER: usize = 4;

/// Where a router gets the list of servers from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListSource {
    /// From the store.
    Store,
    /// From one of these routers: the one before it in the tree, then the one before that, and so
    /// on up to one that lists from the store.
    Routers(Vec<VmId>),
}

/// Chooses where `local` gets the list from; `others` are all other routers of the fleet.
pub fn choose_list_source(local: FleetMember, others: &[FleetMember]) -> ListSource {
    if others.len() < MAX_SMALL_FLEET {
        return ListSource::Store;
    }
    let mut members: Vec<&FleetMember> =
        others.iter().filter(|member| member.domain == local.domain).collect();
    members.sort_by_key(|member| relay_order(member));
    let position = members.partition_point(|member| relay_order(member) < relay_order(&local));
    if position < STORE_LISTERS {
        return ListSource::Store;
    }
    let positions = std::iter::successors(Some(position), |position| find_previous(*position));
    ListSource::Routers(positions.skip(1).map(|position| members[position].vm).collect())
}

/// Position in the tree that passes the list on to `position`; `None` if that one lists from the
/// store.
fn find_previous(position: usize) -> Option<usize> {
    position.checked_sub(STORE_LISTERS).map(|rest| rest / COPIES_PER_ROUTER)
}

/// Chooses the router to request the list from at the given attempt, counted from 0: the nearest
/// one in the tree that is known to run, else the next one with each attempt.
pub fn choose_asked_router(
    sources: &[VmId],
    attempt: usize,
    is_heard: impl Fn(VmId) -> bool,
) -> Option<VmId> {
    let heard = sources.iter().copied().find(|vm| is_heard(*vm));
    heard.or_else(|| sources.get(attempt.min(sources.len().saturating_sub(1))).copied())
}
