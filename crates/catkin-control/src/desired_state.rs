//! What the declarations want of each backend server.

use std::net::SocketAddr;

use catkin_base::{ServerId, document_type, value_type};
use catkin_settings::{FleetDeclarations, ServerRule};

document_type! {
    /// A model that a server is to have loaded.
    #[derive(Eq)]
    pub struct DesiredModel {
        /// Its name.
        pub model: String,
        /// Its version.
        pub version: u64,
        /// Adapters to load with it.
        pub adapters: Vec<String>,
    }
}

document_type! {
    /// Desired state of one server, which an order carries whole.
    #[derive(Eq)]
    pub struct DesiredState {
        /// Models that are to be loaded; others are to be unloaded.
        pub models: Vec<DesiredModel>,
    }
}

impl DesiredState {
    /// The state as an order carries it.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a desired state has only string keys")
    }

    /// Models that are desired and are not among the loaded ones.
    pub fn count_missing(&self, loaded: &[String]) -> u32 {
        self.models.iter().filter(|desired| !loaded.contains(&desired.model)).count() as u32
    }
}

value_type! {
    /// A server and what is wanted of it.
    pub struct ServerTarget {
        /// The server.
        pub server: ServerId,
        /// Its address.
        pub address: SocketAddr,
        /// Whether it refuses an order with an old fencing number.
        pub checks_fencing: bool,
        /// The order's content.
        pub desired: String,
        /// Names of the desired models.
        pub models: Vec<String>,
    }
}

/// Lists what the declarations want of the engines of a region.
pub fn list_targets(declarations: &FleetDeclarations, region: &str) -> Vec<ServerTarget> {
    declarations
        .servers
        .iter()
        .filter(|(_, rule)| rule.region == region && !rule.models.is_empty())
        .map(|(name, rule)| server_target(declarations, name, rule))
        .collect()
}

fn server_target(declarations: &FleetDeclarations, name: &str, rule: &ServerRule) -> ServerTarget {
    let models = rule.models.iter().map(|model| desired_model(declarations, model)).collect();
    ServerTarget {
        server: ServerId::from_name(name),
        address: rule.address,
        checks_fencing: rule.checks_fencing,
        desired: DesiredState { models }.encode(),
        models: rule.models.clone(),
    }
}

fn desired_model(declarations: &FleetDeclarations, model: &str) -> DesiredModel {
    let rule = declarations.models.get(model);
    DesiredModel {
        model: model.to_owned(),
        version: rule.map_or(0, |rule| rule.version),
        adapters: rule.map(|rule| rule.adapters.clone()).unwrap_or_default(),
    }
}
