//! HTTP client for backend servers: engines and plain services.
//!
//! An [`HttpLink`] opens a new connection for each attempt, and every error states whether the
//! request may have run. Dropping an [`HttpStream`] closes its connection, which
//! cancels the server's work.
//!
//! ```no_run
//! use catkin_backend::{AttemptSpec, BackendError, BackendLink, BackendStream, HttpLink};
//!
//! async fn count_bytes(spec: &AttemptSpec) -> Result<usize, BackendError> {
//!     let mut stream = HttpLink.send(spec).await?;
//!     let mut count = 0;
//!     while let Some(part) = stream.next_part().await? {
//!         count += part.len();
//!     }
//!     Ok(count)
//! }
//! ```
//!
//! Reading order: `link` (the traits and types that routers use), `headers`, `exchange` (one
//! connection), `idle_limit`, `stream` (an answer), `control` (probes, look-ups and orders),
//! `http_link`.

mod control;
mod exchange;
mod headers;
mod http_link;
mod idle_limit;
mod link;
mod stream;

pub use control::{ORDERS_PATH, PROBE_PATH, is_control_path};
pub use headers::{
    ATTEMPT_HEADER, CACHED_TOKENS_HEADER, CHAT_ID_HEADER, KEY_HEADER, NOT_RUN_HEADER,
    PRIORITY_HEADER, RESUME_AFTER_HEADER, RESUME_ATTEMPT_HEADER,
};
pub use http_link::HttpLink;
pub use link::{
    AnswerHead, AttemptSpec, BackendError, BackendErrorKind, BackendLink, BackendStream,
    CacheEvent, ResumePoint, ServerProbe,
};
pub use stream::HttpStream;
