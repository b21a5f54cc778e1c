//! Identifiers, time, refusals, event streams and derive macros shared by the catkinpitch crates.
//!
//! ```
//! use catkin_base::{ClockTime, ServerId};
//!
//! let server = ServerId::from_name("estimator-1");
//! let start = ClockTime::from_millis(5);
//! assert_eq!(server, ServerId::from_name("estimator-1"));
//! assert_eq!(start.plus_millis(2).millis_since(start), 2);
//! ```
//!
//! A *call* is what a caller sends to a router; its identifier is a [`RequestId`]. A *request* is
//! an HTTP or a grant request, such as one attempt of a call on a server.
//!
//! Reading order: `macros`, `digest`, `id`, `time`, `verdict`, `refusal`, `sse`.

mod digest;
mod id;
mod macros;
mod refusal;
mod sse;
mod time;
mod verdict;

pub use digest::{digest_hex, hash_parts};
pub use id::{
    AttemptId, ChatId, ClassId, DomainId, PartKey, PoolId, RegionId, RequestDigest, RequestId,
    ServerId, TeamId, VmId,
};
pub use refusal::{CallRefusal, RefusalReason};
pub use sse::{EventCounter, EventTooLong, SseScanner};
pub use time::ClockTime;
pub use verdict::RunVerdict;
