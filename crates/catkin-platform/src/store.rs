//! The platform's object API as traits, with its objects, conditions and errors.

use std::future::Future;
use std::time::Duration;

use catkin_base::{RunVerdict, copy_type, value_type};

value_type! {
    /// An object stored by the platform.
    pub struct StoredObject {
        /// Key of the object.
        pub key: String,
        /// Version of the object; each write increases it.
        pub version: u64,
        /// Content of the object, at most one megabyte.
        pub value: Vec<u8>,
    }
}

copy_type! {
    /// Precondition of a write.
    pub enum WriteCondition {
        /// No object with the key exists.
        Absent,
        /// The object exists and has this version.
        Version(u64),
    }
}

copy_type! {
    /// Kind of error of a platform call.
    pub enum StoreErrorKind {
        /// The precondition of the write was not met.
        Conflict,
        /// The platform's rate limit or the router's own call budget is exhausted.
        RateLimited,
        /// The platform did not respond or responded with an error.
        Unavailable,
        /// The key or value is not allowed, or a stored document cannot be decoded.
        Invalid,
    }
}

value_type! {
    /// A failed platform call, and whether it may have taken effect nevertheless.
    #[derive(Copy, thiserror::Error)]
    #[error("platform call failed: {kind:?}")]
    pub struct StoreError {
        /// Kind of error.
        pub kind: StoreErrorKind,
        /// Whether the write may have taken effect; [`RunVerdict::NotRun`] for reads.
        pub ran: RunVerdict,
    }
}

/// The platform's object API: versioned objects, conditional writes and watches.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;

    /// Writes an object if the condition holds; returns the new version.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: WriteCondition,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Deletes an object if it has this version.
    fn delete(
        &self,
        key: &str,
        version: u64,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists up to `limit` keys that start with `prefix` and sort after `after`, in ascending
    /// order.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<String>, StoreError>> + Send;

    /// Waits until the object's version differs from `version` (0: absent) or `wait` has passed;
    /// returns the object as it is then.
    fn watch(
        &self,
        key: &str,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoredObject>, StoreError>> + Send;
}

value_type! {
    /// A VM in the platform's list, which lags behind the actual state.
    pub struct VmListing {
        /// Name of the VM.
        pub name: String,
        /// Address of the peer listener of its router.
        pub peer_address: std::net::SocketAddr,
        /// Failure domain of the VM.
        pub domain: String,
        /// Region of the VM.
        pub region: String,
        /// Whether the VM is about to leave the fleet.
        pub leaving: bool,
    }
}

/// The platform's list of live and leaving VMs, which lags behind the actual state.
pub trait VmDirectory: Send + Sync + 'static {
    /// Reads the list.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmListing>, StoreError>> + Send;
}
