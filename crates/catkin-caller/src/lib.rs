//! Server side of the callers' HTTP interface.
//!
//! A [`CallerListener`] accepts connections, checks the form of each call, hands it to a
//! [`CallService`] and passes the answer on as it arrives. Bounds on connections, heads, bodies
//! and time keep callers from exhausting the router.
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

mod answer;
mod body;
mod check_body;
mod check_error;
mod check_headers;
mod check_route;
mod guard;
mod held;
mod idle;
mod ids;
mod limits;
mod listener;
mod problem;
mod request_body;
mod response;
mod service;
mod shared;
mod shutdown;

pub use check_error::CallCheckError;
pub use check_headers::{CHAT_HEADER, CLASS_HEADER, DEADLINE_HEADER, HINT_HEADER, KEY_HEADER};
pub use ids::RequestIds;
pub use limits::{CallerLimits, parse_descriptor_limit, read_descriptor_limit};
pub use listener::CallerListener;
pub use problem::{PROBLEM_TYPE, ProblemDocument};
pub use response::{REPLAYED_HEADER, REQUEST_HEADER};
pub use service::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallTarget,
};
pub use shutdown::CallerShutdown;
