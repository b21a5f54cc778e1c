//! Randomized soak test of the entry router.
//!
//! [`run_soak`] starts real routers as processes on loopback between stand-ins of callers, servers
//! and the store, injects the faults that [`plan_faults`] draws from a seed, and records in a
//! [`SoakLedger`] what callers and servers see. [`find_violations`] then checks the router's
//! guarantees. The formats of the stand-ins come from a [`StandinWire`].
//!
//! Read `plan` (which faults are drawn), `fault` (how they are injected), `ledger` (what is
//! recorded) and `check` (the guarantees) first, then `run`, which connects them. `router`, `link`,
//! `store`, `server` and `caller` are the components of a fleet; `message`, `accept` and `wire` are
//! shared by them.

mod accept;
mod caller;
mod check;
mod domain_check;
mod failed_seeds;
mod fault;
mod ledger;
mod link;
mod message;
mod plan;
mod resume_check;
mod router;
mod run;
mod server;
mod source_cut;
mod store;
mod wire;

pub use check::{SoakBounds, SoakViolation, find_violations};
pub use failed_seeds::{FAILED_SEEDS, FailedSeed};
pub use ledger::{
    ArrivalRecord, CallKind, CallOutcome, CallRecord, ColdPeriod, CutRecord, DOMAINS,
    EvacuationRecord, FaultPeriod, FaultTarget, LeavingRecord, LimitRecord, PauseRecord,
    ProcessExit, ServingPeriod, SoakLedger, StartRecord, VersionRecord,
};
pub use plan::{FaultKind, LinkFault, PlannedFault, SoakSize, plan_faults};
pub use resume_check::{JoinedStream, find_joined_streams};
pub use run::{SoakError, SoakOptions, SoakReport, run_soak};
pub use wire::{StandinWire, StoreCall};
