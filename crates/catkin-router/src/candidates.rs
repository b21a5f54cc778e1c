//! Selects the servers that one attempt of a call may use.

use std::collections::BTreeSet;
use std::sync::Arc;

use catkin_base::{ChatId, ServerId};
use catkin_policy::PlacementPlan;

use crate::checked_call::CheckedCall;
use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;

/// Maximum number of servers in the ranking of one request.
const MAX_RANKED_SERVERS: usize = 8;
/// Number of servers drawn at random when a request has waited.
const RANDOM_SERVER_COUNT: usize = 4;

/// Inputs of the server selection for one attempt of a call.
pub(crate) struct AttemptScope<'a, E: RouterEnvironment> {
    pub(crate) state: &'a Arc<RouterState<E>>,
    pub(crate) index: &'a FleetIndex,
    pub(crate) call: &'a CheckedCall,
    /// Servers on which earlier attempts of the call failed.
    pub(crate) excluded: &'a BTreeSet<ServerId>,
    /// Number of the attempt, from 1.
    pub(crate) attempt: u32,
}

impl<E: RouterEnvironment> AttemptScope<'_, E> {
    /// Plans which servers are requested for the call, and in which order.
    pub(crate) fn plan_placement(&self) -> PlacementPlan {
        let ranked = self.rank_servers(self.call.chat, MAX_RANKED_SERVERS);
        let hint = self.call.hint.filter(|_| self.call.may_be_cached);
        let hint = hint.filter(|server| self.is_usable(*server));
        let plan = PlacementPlan::new(self.call.chat, ranked, self.list_least_loaded(), hint);
        if self.call.may_be_cached { plan } else { plan.without_cached_prefix() }
    }

    /// Whether the pool has more servers than a chat's ranking holds.
    pub(crate) fn has_unranked(&self) -> bool {
        let table = self.index.rank_table(self.call.pool);
        table.is_some_and(|table| table.len() > MAX_RANKED_SERVERS)
    }

    /// Servers of the pool that may have capacity by now: the least loaded ones and some at random.
    pub(crate) fn list_alternatives(&self) -> Vec<ServerId> {
        let random_chat = ChatId(self.state.random_u64());
        let mut alternatives = self.list_least_loaded();
        alternatives.extend(self.rank_servers(random_chat, RANDOM_SERVER_COUNT));
        alternatives
    }

    /// The least loaded servers of the pool, by the newest load total that this router has.
    fn list_least_loaded(&self) -> Vec<ServerId> {
        let policy = self.state.policy();
        let load = policy.pool_loads.get(&self.call.pool);
        let least_loaded = load.map_or(&[][..], |load| &load.light_servers);
        least_loaded.iter().copied().filter(|server| self.is_usable(*server)).collect()
    }

    /// The `count` usable servers that rank highest for `chat` by rendezvous hashing.
    fn rank_servers(&self, chat: ChatId, count: usize) -> Vec<ServerId> {
        let Some(table) = self.index.rank_table(self.call.pool) else { return Vec::new() };
        let mut ranked = table.rank(chat, count + self.excluded.len());
        ranked.retain(|server| self.is_usable(*server));
        ranked
    }

    /// Whether a server is declared and no attempt of the call has failed on it.
    fn is_usable(&self, server: ServerId) -> bool {
        !self.excluded.contains(&server) && self.index.server(server).is_some()
    }
}
