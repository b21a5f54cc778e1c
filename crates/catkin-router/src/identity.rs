//! Who a router is.

use std::net::SocketAddr;

use catkin_base::{DomainId, RegionId, VmId, value_type};
use catkin_settings::RouterSettings;

value_type! {
    /// Who a router is, taken from its settings.
    pub struct RouterIdentity {
        /// Name of its VM.
        pub name: String,
        /// Its VM.
        pub vm: VmId,
        /// Identifies its process; higher after each restart.
        pub incarnation: u64,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
        /// Name of its region.
        pub region_name: String,
        /// Address of its peer listener.
        pub peer_address: SocketAddr,
    }
}

impl RouterIdentity {
    /// Takes the identity from settings; `incarnation` must rise with each restart.
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
