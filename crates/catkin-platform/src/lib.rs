//! Client of the platform's object API, claims and leases kept in it.

mod call_counts;
mod http_call;
mod http_store;
mod platform_guard;
mod store;

pub use call_counts::{CallCounts, CallKind};
pub use http_store::{HttpStore, HttpStoreOptions};
pub use platform_guard::{GuardLimits, HoldReason, PlatformGuard, PlatformHealth};
pub use store::{
    ObjectStore, StoreError, StoreFault, StoredObject, VmDirectory, VmListing, WriteCondition,
};
