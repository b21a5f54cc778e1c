//! Servers that one call may go to.

use std::collections::BTreeSet;
use std::sync::Arc;

use catkin_base::{ChatId, ServerId};
use catkin_policy::PlacementPlan;

use crate::checked_call::CheckedCall;
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;

/// Servers of a pool that are considered for one request.
const RANK_LIMIT: usize = 8;
/// Servers drawn at random when a request has waited.
const RANDOM_SERVERS: usize = 4;

/// One attempt of a call that looks for a server.
pub(crate) struct AttemptScope<'a, E: RouterEnvironment> {
    pub(crate) state: &'a Arc<RouterState<E>>,
    pub(crate) index: &'a FleetIndex,
    pub(crate) call: &'a CheckedCall,
    /// Servers that failed under the call.
    pub(crate) excluded: &'a BTreeSet<ServerId>,
    /// Number of the attempt.
    pub(crate) attempt: u32,
}

impl<E: RouterEnvironment> AttemptScope<'_, E> {
    /// Plans which servers are asked for the call.
    pub(crate) fn plan_placement(&self) -> PlacementPlan {
        let ranked = self.rank(self.call.chat, RANK_LIMIT);
        let hint = self.call.hint.filter(|_| self.call.returning);
        let hint = hint.filter(|server| self.is_usable(*server));
        let plan = PlacementPlan::new(self.call.chat, ranked, self.light_servers(), hint);
        if self.call.returning { plan } else { plan.without_history() }
    }

    /// Whether the pool has servers that a chat's ranking leaves out.
    pub(crate) fn has_unranked(&self) -> bool {
        let table = self.index.rank_table(self.call.pool);
        table.is_some_and(|table| table.len() > RANK_LIMIT)
    }

    /// Servers of the pool that may have room by now: lightly loaded ones and some at random.
    pub(crate) fn list_others(&self) -> Vec<ServerId> {
        let any = ChatId(self.state.random_u64());
        let mut others = self.light_servers();
        others.extend(self.rank(any, RANDOM_SERVERS));
        others
    }

    /// Servers of the pool that had the least load when it was last summed.
    fn light_servers(&self) -> Vec<ServerId> {
        let policy = self.state.policy();
        let load = policy.pool_loads.get(&self.call.pool);
        let light = load.map_or(&[][..], |load| &load.light_servers);
        light.iter().copied().filter(|server| self.is_usable(*server)).collect()
    }

    fn rank(&self, chat: ChatId, count: usize) -> Vec<ServerId> {
        let Some(table) = self.index.rank_table(self.call.pool) else { return Vec::new() };
        let mut ranked = table.rank(chat, count + self.excluded.len());
        ranked.retain(|server| self.is_usable(*server));
        ranked
    }

    fn is_usable(&self, server: ServerId) -> bool {
        !self.excluded.contains(&server) && self.index.server(server).is_some()
    }
}
