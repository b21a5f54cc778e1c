//! Randomized soak of the entry router.
//!
//! [`run_soak`] starts real routers as processes on loopback between stand-ins of callers, servers
//! and the store, plays the faults that [`plan_faults`] draws from a seed, and writes what callers
//! and servers see into a [`SoakLedger`]. [`find_breaches`] then looks for broken promises. The
//! formats of the stand-ins come from a [`StandinWire`].

mod accept;
mod caller;
mod check;
mod failed_seeds;
mod fault;
mod ledger;
mod link;
mod message;
mod plan;
mod router;
mod run;
mod server;
mod store;
mod wire;

pub use check::{SoakBounds, SoakBreach, find_breaches};
pub use failed_seeds::{FAILED_SEEDS, FailedSeed};
pub use ledger::{
    CallEnd, CallKind, CallRecord, FaultPeriod, FaultSubject, LeavingRecord, ProcessEnd, RunRecord,
    SoakLedger, StartRecord, VersionRecord,
};
pub use plan::{FaultKind, LinkTrouble, PlannedFault, SoakSize, plan_faults};
pub use run::{SoakError, SoakOptions, SoakReport, run_soak};
pub use wire::{StandinWire, StoreCall};
