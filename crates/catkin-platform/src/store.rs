//! What the system needs of the platform's object API.

use std::future::Future;
use std::time::Duration;

use catkin_base::{RunVerdict, copy_type, value_type};

value_type! {
    /// An object as the platform holds it.
    pub struct StoredObject {
        /// Its key.
        pub key: String,
        /// Its version, which every write raises.
        pub version: u64,
        /// Its content, at most one megabyte.
        pub value: Vec<u8>,
    }
}

copy_type! {
    /// The condition under which a write takes effect.
    pub enum WriteCondition {
        /// No object has the key.
        Absent,
        /// The object has this version.
        Version(u64),
    }
}

copy_type! {
    /// What went wrong with a call.
    pub enum StoreErrorKind {
        /// The condition did not hold.
        Conflict,
        /// The platform limits the rate of calls.
        RateLimited,
        /// The platform did not answer or answered with a failure.
        Unavailable,
        /// The value or key is not acceptable.
        Invalid,
    }
}

value_type! {
    /// A failed call, and whether it may have taken effect all the same.
    #[derive(Copy, thiserror::Error)]
    #[error("platform call failed: {kind:?}")]
    pub struct StoreError {
        /// What went wrong.
        pub kind: StoreErrorKind,
        /// Whether the write may have taken effect.
        pub ran: RunVerdict,
    }
}

/// The platform's object API: versions, conditional writes and watches.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes an object if the condition holds; returns its new version.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Deletes an object that has this version.
    fn delete(
        &self,
        key: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists the keys that start with `prefix`, at most `limit`, in order, after `after`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<String>, StoreError>> + Send;

    /// Waits until the object's version differs from `version` (0: absent), at most `wait`.
    fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;
}

value_type! {
    /// A VM as the platform lists it, with a lag.
    pub struct VmListing {
        /// Its name.
        pub name: String,
        /// Address of its router's peer listener.
        pub peer_address: std::net::SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// Its region.
        pub region: String,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

/// The platform's lagging list of live and leaving VMs.
pub trait VmDirectory: Send + Sync + 'static {
    /// Reads the list.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmListing>, StoreError>> + Send;
}
