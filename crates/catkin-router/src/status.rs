//! View of a router's state, for operators and tests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use catkin_base::{DomainId, VmId};
use catkin_operator::{FleetStatus, MemberStatus, QuarantineStatus, RevisionHead, ServerStatus};
use catkin_peer::PeerLink;

use crate::environment::RouterEnvironment;
use crate::fleet_index::FleetIndex;
use crate::state::RouterState;
use crate::traffic::MessageCount;

/// View of one router's state, for operators and tests; cheap to clone.
pub struct RouterView<E: RouterEnvironment> {
    pub(crate) state: Arc<RouterState<E>>,
}

impl<E: RouterEnvironment> Clone for RouterView<E> {
    fn clone(&self) -> Self {
        Self { state: Arc::clone(&self.state) }
    }
}

impl<E: RouterEnvironment> RouterView<E> {
    pub(crate) fn new(state: Arc<RouterState<E>>) -> Self {
        Self { state }
    }

    /// Revision in force on this router; `None` until the first revision is in force.
    pub fn revision(&self) -> Option<u64> {
        self.state.index().map(|index| index.revision())
    }

    /// Index of the declarations in force; `None` until the first revision is in force.
    pub fn index(&self) -> Option<Arc<FleetIndex>> {
        self.state.index()
    }

    /// Whether the router accepts calls: it has joined the fleet, has declarations and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let leaving = self.state.gate.is_draining();
        !leaving && self.state.is_joined() && self.state.index().is_some()
    }

    /// Number of open calls on this router.
    pub fn open_calls(&self) -> usize {
        self.state.gate.open_calls()
    }

    /// Number of live routers that this router knows, itself included.
    pub fn live_routers(&self) -> usize {
        self.state.policy().roster.len()
    }

    /// Bytes sent to other routers since the start.
    pub fn peer_bytes(&self) -> u64 {
        self.state.peers.sent_bytes()
    }

    /// Messages sent to other routers since the start, by kind.
    pub fn sent_messages(&self) -> BTreeMap<&'static str, MessageCount> {
        self.state.traffic.counts()
    }

    /// The platform client of this router.
    pub fn store(&self) -> &E::Store {
        &self.state.store
    }

    /// Unix time in milliseconds.
    pub fn unix_millis(&self) -> u64 {
        self.state.clock.unix_millis()
    }

    /// Head of the newest revision that was read; `None` until the first.
    pub async fn head(&self) -> Option<RevisionHead> {
        self.state.revisions.head().await
    }

    /// Refuses new calls from now on.
    pub fn start_drain(&self) {
        self.state.gate.start_drain();
    }

    /// Regions of the declared servers.
    pub fn regions(&self) -> BTreeSet<String> {
        let index = self.state.index();
        let servers = index.iter().flat_map(|index| index.declarations().servers.values());
        servers.map(|server| server.region.clone()).collect()
    }

    /// Status of the fleet as this router knows it; the caller adds platform and leases.
    pub fn status(&self) -> FleetStatus {
        let index = self.state.index();
        let names = index.as_deref().map(collect_domain_names).unwrap_or_default();
        FleetStatus {
            router: self.state.identity.name.clone(),
            domain: format_domain(&names, self.state.identity.domain),
            revision: index.as_deref().map(FleetIndex::revision),
            draining: self.state.gate.is_draining(),
            members: self.list_members(&names),
            servers: index.as_deref().map_or(Vec::new(), |index| self.list_servers(index)),
            quarantine: self.list_quarantined(),
            ..FleetStatus::default()
        }
    }

    fn list_members(&self, names: &BTreeMap<DomainId, String>) -> Vec<MemberStatus> {
        let policy = self.state.policy();
        let members = policy.members.live_members().map(|view| MemberStatus {
            vm: self.format_vm(view.spec.vm),
            state: format!("{:?}", view.state).to_lowercase(),
            domain: format_domain(names, view.spec.domain),
            revision: (view.revision_in_force > 0).then_some(view.revision_in_force),
        });
        members.collect()
    }

    fn list_servers(&self, index: &FleetIndex) -> Vec<ServerStatus> {
        let now = self.state.now();
        let policy = self.state.policy();
        let owned: BTreeMap<_, _> = policy
            .admission
            .server_states(now)
            .into_iter()
            .map(|server_state| (server_state.server, server_state))
            .collect();
        drop(policy);
        let servers = index.servers().map(|entry| {
            let owner = self.state.owner_of(&entry.spec);
            let server_state = owned.get(&entry.spec.server);
            ServerStatus {
                name: entry.name.clone(),
                state: server_state.map_or("unknown", |state| describe_state(state)).to_owned(),
                owner: owner.map_or(String::new(), |vm| self.format_vm(vm)),
                open: server_state.map_or(0, |state| state.open),
                bound: server_state.map_or(0, |state| state.bound),
                leaving: server_state.is_some_and(|state| state.leaving),
                held_down: server_state.is_some_and(|state| state.hold_millis > 0),
            }
        });
        servers.collect()
    }

    fn list_quarantined(&self) -> Vec<QuarantineStatus> {
        let now = self.state.now();
        let policy = self.state.policy();
        let rows = policy.quarantine.iter().filter(|(_, until)| **until > now);
        let states = rows.map(|(digest, until)| QuarantineStatus {
            digest: digest.to_string(),
            strikes: policy.strikes.state(now, *digest).strikes,
            left_millis: until.millis_since(now),
        });
        states.collect()
    }

    /// Name of a VM; its identifier if the name is not known.
    fn format_vm(&self, vm: VmId) -> String {
        if vm == self.state.identity.vm {
            return self.state.identity.name.clone();
        }
        self.state.vm_name(vm).unwrap_or_else(|| vm.to_string())
    }
}

/// Word for a server's state in the status.
fn describe_state(state: &catkin_policy::ServerState) -> &'static str {
    if state.failed { "down" } else { "live" }
}

/// Names of the failure domains of the declared servers.
fn collect_domain_names(index: &FleetIndex) -> BTreeMap<DomainId, String> {
    let servers = index.declarations().servers.values();
    servers.map(|rule| (DomainId::from_name(&rule.domain), rule.domain.clone())).collect()
}

/// Name of a failure domain; its identifier if the name is not known.
fn format_domain(names: &BTreeMap<DomainId, String>, domain: DomainId) -> String {
    names.get(&domain).cloned().unwrap_or_else(|| domain.to_string())
}
