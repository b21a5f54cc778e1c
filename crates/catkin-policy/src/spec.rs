//! Backend servers and routers that take part in the decisions.

use catkin_base::{DomainId, PoolId, RegionId, ServerId, VmId, copy_type, value_type};

value_type! {
    /// A backend server that may accept requests.
    pub struct ServerSpec {
        /// The server.
        pub server: ServerId,
        /// Pools that the server serves; its entire load counts in each of them.
        pub pools: Vec<PoolId>,
        /// Failure domain of the server.
        pub domain: DomainId,
        /// Region of the server.
        pub region: RegionId,
        /// Relative capacity, at least one.
        pub weight: u32,
        /// Maximum number of requests that the server runs at once.
        pub slots: u32,
    }
}

copy_type! {
    /// A live router.
    pub struct RouterSpec {
        /// VM of the router.
        pub vm: VmId,
        /// Failure domain of the router.
        pub domain: DomainId,
        /// Region of the router.
        pub region: RegionId,
    }
}
