//! Client of the platform's object API, with the claims and leases that are stored through it.
//!
//! This platform is not that of `catkin-entry`, whose formats are in the package
//! `catkin-platform-names`.
//!
//! The object API is a small key-value store with versions and conditional writes. [`HttpStore`]
//! calls it over HTTP within a call budget. [`ClaimBook`] makes a request run at most once, and
//! [`LeaseCandidate`] elects one router at a time to act for a region. Both work over any
//! [`ObjectStore`], for example a [`GroupStore`], which combines many writes into one (group
//! commit).
//!
//! Read the files in this order: `store` (the API), `call_counts`, `platform_guard`, `http_call`
//! and `http_store` (the HTTP client), `confirmed_write` (writes whose response may be lost),
//! `claim_document`, `claim_book`, `claim_ticket`, `claim_pending`, `claim_owed` and
//! `claim_sweeper` (claims), `lease_holder` (leases), `group_segment`, `group_log` and
//! `group_store` (group commit).
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use catkin_platform::{HttpStore, HttpStoreOptions, LeaseCandidate, LeaseOptions, LeaseStep};
//!
//! async fn hold_lease(address: std::net::SocketAddr) -> Option<u64> {
//!     let store = Arc::new(HttpStore::new(HttpStoreOptions::new(address, 1)));
//!     let lease = LeaseCandidate::new(store, LeaseOptions::for_region("ch", "vm-1", 7));
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
    ClaimBook, ClaimMode, ClaimOptions, ClaimOutcome, ClaimTime, MarkError, RecordOutcome,
    UnknownClaim,
};
pub use claim_document::{
    ClaimKey, ClaimNonce, ClaimState, MAX_RECORDED_BYTES, RecordedAnswer, RecordedBody,
    derive_process_id,
};
pub use claim_sweeper::{ClaimRetention, ClaimSweeper, SweepCounts};
pub use claim_ticket::ClaimTicket;
pub use confirmed_write::ConfirmLimits;
pub use group_log::GroupOptions;
pub use group_store::GroupStore;
pub use http_store::{HttpStore, HttpStoreOptions};
pub use lease_holder::{
    LeaseCandidate, LeaseGrant, LeaseOptions, LeaseStep, LeaseView, read_lease,
};
pub use platform_guard::{BlockReason, GuardLimits, PlatformGuard, PlatformHealth, PlatformRates};
pub use store::{
    ObjectStore, StoreError, StoreErrorKind, StoredObject, VmDirectory, VmListing, WriteCondition,
};
