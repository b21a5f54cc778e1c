//! Server side of the callers' HTTP interface.
//!
//! A [`CallerListener`] accepts connections, validates each call, hands it to a [`CallService`] and
//! streams the answer to the caller. Limits on connections, heads, bodies and time keep callers
//! from exhausting the router.
//!
//! Read `service` (the interface to the router) first, then `limits`, `listener` (connections),
//! `state`, `idle`, `caller_stream` and `shutdown`, then `request_handler` with `request_ids`, the
//! `check_*` modules, `request_body` and `body_budget`, and finally `response`, `body` and
//! `problem`.
//!
//! ```no_run
//! use std::sync::Arc;
//! use catkin_caller::{CallService, CallerLimits, CallerListener, RequestIds};
//!
//! async fn run<S: CallService>(service: Arc<S>, seed: u64) -> std::io::Result<()> {
//!     let address = ([127, 0, 0, 1], 8080).into();
//!     let ids = RequestIds::from_seed(seed);
//!     let listener = CallerListener::bind(address, CallerLimits::default(), ids, service).await?;
//!     let shutdown = listener.shutdown_handle();
//!     let serving = tokio::spawn(listener.serve());
//!     shutdown.start_closing();
//!     serving.await?;
//!     Ok(())
//! }
//! ```

mod body;
mod body_budget;
mod caller_stream;
mod check_body;
mod check_error;
mod check_headers;
mod check_route;
mod idle;
mod limits;
mod listener;
mod problem;
mod request_body;
mod request_handler;
mod request_ids;
mod response;
mod service;
mod shutdown;
mod state;

pub use check_error::CallCheckError;
pub use check_headers::{CHAT_HEADER, CLASS_HEADER, DEADLINE_HEADER, HINT_HEADER, KEY_HEADER};
pub use limits::{CallerLimits, parse_descriptor_limit, read_descriptor_limit};
pub use listener::CallerListener;
pub use problem::{PROBLEM_TYPE, ProblemDocument};
pub use request_ids::RequestIds;
pub use response::{REPLAYED_HEADER, REQUEST_HEADER};
pub use service::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallTarget,
};
pub use shutdown::CallerShutdown;
