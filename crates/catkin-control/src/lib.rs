//! Orders that bring backend servers to their declared state, sent under a region's lease.
//!
//! The holder of a region's lease plans orders with an [`OrderPlanner`] and numbers them; the
//! numbers increase within a term of the lease and from term to term. A term is the fencing token
//! of the lease; the fencing token of an order consists of the term and a sequence number.
//!
//! The owner of a server sends each order through its [`OrderDispatcher`], whose [`OrderGate`]
//! refuses an order with a lower number than the highest known one.
//!
//! Reading order: `desired_state` (what an order contains), `order_number`, `order_planner` (which
//! order is due), `order_gate` and `order_courier` (how the owner of a server sends it), and
//! `control_loop`, which connects them to the lease.
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
    OrderLimits, OrderPlanner, OrderReply, ReportEffect, ServerOrder, StateReport,
};
