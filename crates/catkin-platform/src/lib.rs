//! Client of the platform's object API, claims and leases kept in it.
//!
//! [`HttpStore`] calls the platform within a budget. A [`ClaimBook`] lets a request run at most
//! once, a [`LeaseHolder`] lets one router at a time act for a region; both work over any
//! [`ObjectStore`], such as a [`GroupStore`] that joins many writes into one.
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use catkin_platform::{HttpStore, HttpStoreOptions, LeaseHolder, LeaseOptions, LeaseStep};
//!
//! async fn hold_lease(address: std::net::SocketAddr) -> Option<u64> {
//!     let store = Arc::new(HttpStore::new(HttpStoreOptions::new(address, 1)));
//!     let lease = LeaseHolder::new(store, LeaseOptions::for_region("ch", "vm-1", 7));
//!     match lease.step().await {
//!         LeaseStep::Held(grant) => Some(grant.fence),
//!         LeaseStep::Waiting | LeaseStep::PlatformDown => None,
//!     }
//! }
//! ```

mod call_counts;
mod claim_book;
mod claim_document;
mod claim_owed;
mod claim_pending;
mod claim_sweeper;
mod claim_ticket;
mod confirmed_write;
mod group_log;
mod group_segment;
mod group_store;
mod http_call;
mod http_store;
mod lease_holder;
mod platform_guard;
mod store;

pub use call_counts::{CallCounts, CallKind};
pub use claim_book::{
    ClaimBook, ClaimMode, ClaimMoment, ClaimOptions, ClaimOutcome, MarkError, RecordOutcome,
    UnknownClaim,
};
pub use claim_document::{
    ClaimKey, ClaimNonce, ClaimState, MAX_RECORDED_BYTES, RecordedAnswer, RecordedBody,
    process_nonce,
};
pub use claim_sweeper::{ClaimRetention, ClaimSweeper, SweepCounts};
pub use claim_ticket::ClaimTicket;
pub use confirmed_write::ConfirmLimits;
pub use group_log::GroupOptions;
pub use group_store::GroupStore;
pub use http_store::{HttpStore, HttpStoreOptions};
pub use lease_holder::{LeaseGrant, LeaseHolder, LeaseOptions, LeaseStep, LeaseView, read_lease};
pub use platform_guard::{GuardLimits, HoldReason, PlatformGuard, PlatformHealth, PlatformRates};
pub use store::{
    ObjectStore, StoreError, StoreErrorKind, StoredObject, VmDirectory, VmListing, WriteCondition,
};
