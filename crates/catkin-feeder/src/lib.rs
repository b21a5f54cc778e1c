//! Feeds one real router the membership and the load of a large fleet, and measures it.
//!
//! The router runs as a process of its own; this one plays the platform, the backend servers, the
//! callers and all other routers over the real protocols on loopback.
//!
//! ```
//! use catkin_feeder::FleetShape;
//!
//! let shape = FleetShape { routers: 30, servers: 78, teams: 2_818, models: 19 };
//! let place = shape.place_router().expect("some name gives the mean share");
//! assert_eq!(place.owned.len(), 3);
//! ```

mod backend;
mod load;
mod measure;
mod peer;
mod report;
mod run;
mod shape;
mod traffic;

pub use measure::{ProcessReading, find_metric};
pub use run::{RunError, RunOptions, run_feeder};
pub use shape::{FleetShape, RouterPlace};
