//! Revisions of the declarations, the operators' listener and its client.
//!
//! Declarations are cut into chunks named by their digest; one conditional update of the head puts
//! a revision in force.
//!
//! ```
//! let cut = catkin_operator::compute_shard_count(31_000);
//! assert_eq!(cut, 512);
//! ```

mod apply;
mod changes;
mod chunks;
mod client;
mod cut;
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

pub use apply::{
    ApplyError, ApplyMetadata, ApplyOutcome, apply_declarations, rollback_declarations,
};
pub use changes::{ChangeKind, PathChange, list_changes};
pub use chunks::{ChunkSource, StoreSource};
pub use client::{ClientError, OperatorClient};
pub use cut::compute_shard_count;
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
