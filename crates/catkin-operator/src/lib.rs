//! Revisions of the fleet's declarations in the platform's object store, and the operators' HTTP
//! API with its server and client.
//!
//! Declarations are split into chunks whose keys are their content digests. A revision comes into
//! force when a conditional write replaces the head, the one object that refers to its chunks. It
//! is in force on a router once that router has loaded it.
//!
//! Read the files in this order: `head`, `sharding`, `chunk_store`, `head_writer`, `history` and
//! `apply` for writing revisions; `reader` for loading them; `garbage` for deleting old chunks;
//! `documents`, `service`, `respond`, `listener` and `client` for the HTTP API.
//!
//! ```
//! let count = catkin_operator::compute_shard_count(31_000);
//! assert_eq!(count, 512);
//! ```

mod apply;
mod changes;
mod chunk_store;
mod client;
mod documents;
mod garbage;
mod head;
mod head_writer;
mod history;
mod listener;
mod reader;
mod respond;
mod retry_store;
mod service;
mod sharding;

pub use apply::{
    ApplyError, ApplyMetadata, ApplyOutcome, apply_declarations, rollback_declarations,
};
pub use changes::{ChangeKind, PathChange, list_changes};
pub use chunk_store::{ChunkSource, StoreSource};
pub use client::{ClientError, OperatorClient};
pub use documents::{
    ApplyAnswer, ApplyRequest, DrainAnswer, FleetStatus, HistoryAnswer, LeaseStatus, MemberStatus,
    PlatformStatus, QuarantineStatus, RefusalAnswer, RevisionAnswer, RollbackRequest, ServerStatus,
};
pub use garbage::{GarbageError, GarbageOutcome, collect_garbage};
pub use head::{ChunkRefs, HEAD_KEY, RevisionHead};
pub use history::read_history;
pub use listener::{ListenerError, OperatorListener};
pub use reader::{FetchError, FetchOutcome, RevisionReader};
pub use retry_store::RetryStore;
pub use service::{OperatorError, OperatorService};
pub use sharding::compute_shard_count;
