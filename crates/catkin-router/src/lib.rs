//! The router: callers, owners, peers and the platform put together.
//!
//! A [`RouterCore`] runs the tasks of one router over the parts of the world that a
//! [`RouterEnvironment`] names; [`RouterService`] answers callers' calls. [`RouterProcess`] adds
//! the real listeners and clients.

mod admission;
mod answer;
mod attempts;
mod calls;
mod candidates;
mod checked_call;
mod clock;
mod drain;
mod environment;
mod fleet;
mod fleet_index;
mod garbage;
mod grant_asks;
mod grants;
mod hint;
mod identity;
mod logging;
mod metric;
mod once;
mod operator;
mod orders;
mod ownership;
mod peers;
mod policy_state;
mod pool_relay;
mod probes;
mod process;
mod revision;
mod router;
mod state;
mod status;
mod strikes;
mod sweeps;
mod traffic;
mod wire;

pub use answer::RouterAnswer;
pub use calls::RouterService;
pub use checked_call::build_service_key;
pub use clock::RuntimeClock;
pub use environment::RouterEnvironment;
pub use fleet_index::FleetIndex;
pub use identity::RouterIdentity;
pub use logging::start_logging;
pub use process::{ProcessEnvironment, ProcessError, RouterProcess};
pub use router::{RevisionDecoding, RouterCore, RouterInput};
pub use status::RouterView;
pub use traffic::MessageCount;
