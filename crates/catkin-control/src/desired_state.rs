//! Desired state of each backend server, derived from the declarations.

use std::net::SocketAddr;

use catkin_base::{ServerId, document_type, value_type};
use catkin_settings::{FleetDeclarations, ServerRule};

document_type! {
    /// A model that a server should have loaded.
    #[derive(Eq)]
    pub struct DesiredModel {
        /// Name of the model.
        pub model: String,
        /// Version of the model.
        pub version: u64,
        /// Adapters to load with it.
        pub adapters: Vec<String>,
    }
}

document_type! {
    /// Desired state of one server. An order contains the complete state.
    #[derive(Eq)]
    pub struct DesiredState {
        /// Models that should be loaded; all others should be unloaded.
        pub models: Vec<DesiredModel>,
    }
}

impl DesiredState {
    /// Encodes the state as the JSON text of an order.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a desired state has only string keys")
    }

    /// Counts the desired models that are not loaded.
    pub fn count_missing(&self, loaded: &[String]) -> u32 {
        self.models.iter().filter(|desired| !loaded.contains(&desired.model)).count() as u32
    }
}

value_type! {
    /// A server and its desired state.
    pub struct ServerTarget {
        /// The server.
        pub server: ServerId,
        /// Its address.
        pub address: SocketAddr,
        /// Whether the server itself refuses an order with an old fencing token.
        pub checks_fencing: bool,
        /// Desired state as the JSON text of an order.
        pub desired: String,
        /// Names of the desired models.
        pub models: Vec<String>,
    }
}

/// Lists the servers of a region that should have models loaded, in the order of their names.
pub fn list_targets(declarations: &FleetDeclarations, region: &str) -> Vec<ServerTarget> {
    declarations
        .servers
        .iter()
        .filter(|(_, rule)| rule.region == region && !rule.models.is_empty())
        .map(|(name, rule)| build_target(declarations, name, rule))
        .collect()
}

fn build_target(declarations: &FleetDeclarations, name: &str, rule: &ServerRule) -> ServerTarget {
    let models = rule.models.iter().map(|model| build_desired_model(declarations, model)).collect();
    ServerTarget {
        server: ServerId::from_name(name),
        address: rule.address,
        checks_fencing: rule.checks_fencing,
        desired: DesiredState { models }.encode(),
        models: rule.models.clone(),
    }
}

fn build_desired_model(declarations: &FleetDeclarations, model: &str) -> DesiredModel {
    let rule = declarations.models.get(model);
    DesiredModel {
        model: model.to_owned(),
        version: rule.map_or(0, |rule| rule.version),
        adapters: rule.map(|rule| rule.adapters.clone()).unwrap_or_default(),
    }
}
