//! What a router is built upon: the platform, backend servers and the link to its peers.

use catkin_backend::BackendLink;
use catkin_peer::PeerLink;
use catkin_platform::{ObjectStore, VmDirectory};

/// The parts of the world that a router talks to. Tests put fakes in their place.
pub trait RouterEnvironment: Send + Sync + 'static {
    /// The platform's object API and list of VMs.
    type Store: ObjectStore + VmDirectory;
    /// Link to backend servers.
    type Backend: BackendLink;
    /// Link to other routers.
    type Peers: PeerLink;
}
