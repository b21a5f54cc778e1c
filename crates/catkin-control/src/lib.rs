//! Orders to backend servers under a lease: desired state, numbers and gates.
//!
//! The holder of a region's lease plans orders in an [`OrderPlanner`] and gives each a number that
//! rises with the lease's fencing number. Every order passes the gate of the server's owner, an
//! [`OrderDispatcher`], which refuses a number older than any that it has seen.
//!
//! ```
//! use catkin_control::OrderNumber;
//!
//! let last_of_old_holder = OrderNumber { term: 3, sequence: 900 };
//! let first_of_new_holder = OrderNumber { term: 4, sequence: 1 };
//! assert!(first_of_new_holder.fence() > last_of_old_holder.fence());
//! ```

mod control_loop;
mod desired_state;
mod order_courier;
mod order_gate;
mod order_number;
mod order_planner;

pub use control_loop::{ControlLoop, ControlStep, OrderTransport};
pub use desired_state::{DesiredModel, DesiredState, ServerTarget, list_targets};
pub use order_courier::{DispatcherOptions, OrderDispatcher};
pub use order_gate::{GateLimits, GateRefusal, OrderGate};
pub use order_number::OrderNumber;
pub use order_planner::{
    OrderLimits, OrderPlanner, OrderReply, ReportEffect, ServerOrder, ServerReport,
};
