//! The router: accepts callers' calls, obtains a grant from the owner of a backend server, and
//! forwards the call to that server.
//!
//! Every router is both an entry for callers and the owner of some backend servers, which it admits
//! calls to. A [`RouterCore`] runs the tasks of one router over the platform, backend servers
//! and peers of a [`RouterEnvironment`]; [`RouterService`] answers callers' calls.
//! [`RouterProcess`] adds the network listeners and clients.
//!
//! Reading order:
//!
//! 1. `environment`, `identity`, `router`, `state`, `policy_state`, `clock`: what a router
//!    consists of.
//! 2. `calls`, `checked_call`, `attempts`, `candidates`, `hint`, `grants`, `grant_asks`, `answer`,
//!    `once`: the path of a call.
//! 3. `admission`, `probes`, `strikes`: the owner's side.
//! 4. `fleet`, `fleet_index`, `ownership`, `peers`, `wire`, `pool_relay`: cooperation of the
//!    routers.
//! 5. `revision`, `orders`, `sweeps`, `garbage`: work on the platform.
//! 6. `process`, `drain`, `operator`, `status`, `metric`, `traffic`, `logging`: the process
//!    and its operation.

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
