//! Measures one real router under the membership and the load of a large fleet.
//!
//! The router runs as a separate process. This process simulates the platform, the backend servers,
//! the callers and all other routers, and speaks the real protocols with it on loopback.
//!
//! Read `shape` (the simulated fleet) and `run` (the steps of a measurement) first, then
//! `load_generator` (the load on the router), `peer` (the other routers) and `backend` (the backend
//! servers). `state` is shared by these tasks; `measure` reads the router process, and `report`
//! computes and prints the rates.
//!
//! ```
//! use catkin_feeder::FleetShape;
//!
//! let shape = FleetShape { routers: 30, servers: 78, teams: 2_818, models: 19 };
//! let assignment = shape.find_assignment().expect("some name gives the mean share");
//! assert_eq!(assignment.owned.len(), 3);
//! ```

mod backend;
mod load_generator;
mod measure;
mod peer;
mod report;
mod run;
mod shape;
mod state;

pub use measure::{ProcessReading, find_metric};
pub use run::{RunError, RunOptions, run_feeder};
pub use shape::{FleetShape, RouterAssignment};
