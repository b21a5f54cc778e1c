//! Servers and routers as the decisions see them.

use catkin_base::{DomainId, PoolId, RegionId, ServerId, VmId, copy_type, value_type};

value_type! {
    /// A backend server that may take work.
    pub struct ServerSpec {
        /// The server.
        pub server: ServerId,
        /// Pools that it serves; its whole load counts in each of them.
        pub pools: Vec<PoolId>,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
        /// Relative capacity, at least one.
        pub weight: u32,
        /// Requests that it may run at once.
        pub slots: u32,
    }
}

copy_type! {
    /// A live router.
    pub struct RouterSpec {
        /// Its VM.
        pub vm: VmId,
        /// Its failure domain.
        pub domain: DomainId,
        /// Its region.
        pub region: RegionId,
    }
}
