//! Client of the platform's object API, claims and leases kept in it.

mod store;

pub use store::{
    ObjectStore, StoreError, StoreFault, StoredObject, VmDirectory, VmListing, WriteCondition,
};
