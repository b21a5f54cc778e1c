//! `catkin-ctl`: command line for the operators of a fleet.
//!
//! Checks declarations and settings without a router, and sends requests to the operators' HTTP API
//! of a router: applying, comparing and rolling back declarations, reading the state of the fleet,
//! and draining a router.
//!
//! Read the files in this order: `cli` (arguments and help), `run` (dispatch and output), `failure`
//! (exit codes), `client_options`, then the commands in `check`, `diff`, `apply` and `status`, and
//! `table`.
//!
//! ```
//! use catkin_ctl::{ExitStatus, run_command};
//!
//! let mut output = Vec::new();
//! let mut errors = Vec::new();
//! let status = run_command(["catkin-ctl", "completions", "bash"], &mut output, &mut errors);
//! assert_eq!(status, ExitStatus::Done);
//! assert!(!output.is_empty());
//! ```

mod apply;
mod check;
mod cli;
mod client_options;
mod diff;
mod failure;
mod run;
mod status;
mod table;

pub use failure::ExitStatus;
pub use run::run_command;
