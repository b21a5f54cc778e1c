//! Identity of a router: its VM, process, failure domain and region.

use std::net::SocketAddr;

use catkin_base::{DomainId, RegionId, VmId, value_type};
use catkin_settings::RouterSettings;

value_type! {
    /// Identity of a router, taken from its settings.
    pub struct RouterIdentity {
        /// Name of the router's VM.
        pub name: String,
        /// Identifier of the VM, derived from its name.
        pub vm: VmId,
        /// Identifies the process; increases with each restart.
        pub incarnation: u64,
        /// Failure domain of the VM.
        pub domain: DomainId,
        /// Region of the VM.
        pub region: RegionId,
        /// Name of the region.
        pub region_name: String,
        /// Address of the listener for other routers.
        pub peer_address: SocketAddr,
    }
}

impl RouterIdentity {
    /// Reads the identity from settings. `incarnation` must increase with each restart on the VM.
    pub fn from_settings(settings: &RouterSettings, incarnation: u64) -> Self {
        Self {
            name: settings.vm.clone(),
            vm: VmId::from_name(&settings.vm),
            incarnation,
            domain: DomainId::from_name(&settings.domain),
            region: RegionId::from_name(&settings.region),
            region_name: settings.region.clone(),
            peer_address: settings.peer_address,
        }
    }
}
