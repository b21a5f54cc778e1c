//! Operators' command line.
//!
//! ```
//! use catkin_ctl::{ExitVerdict, run_command};
//!
//! let mut output = Vec::new();
//! let mut errors = Vec::new();
//! let verdict = run_command(["catkin-ctl", "completions", "bash"], &mut output, &mut errors);
//! assert_eq!(verdict, ExitVerdict::Done);
//! assert!(!output.is_empty());
//! ```

mod apply;
mod check;
mod cli;
mod connect;
mod diff;
mod failure;
mod run;
mod status;
mod table;

pub use failure::ExitVerdict;
pub use run::run_command;
