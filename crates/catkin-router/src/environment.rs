//! Types of the external systems that a router uses: platform, backend servers and peers.

use catkin_backend::BackendLink;
use catkin_peer::PeerLink;
use catkin_platform::{ObjectStore, VmDirectory};

/// Names the types through which a router reaches external systems. Tests substitute fakes.
pub trait RouterEnvironment: Send + Sync + 'static {
    /// The platform's object API and list of VMs.
    type Store: ObjectStore + VmDirectory;
    /// Link to backend servers.
    type Backend: BackendLink;
    /// Link to other routers.
    type Peers: PeerLink;
}
