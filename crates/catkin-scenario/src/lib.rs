//! Scripted failure scenarios run against the router on a paused clock.
//!
//! A scenario starts a fleet of real routers over in-memory fakes of the network, the platform and
//! the backend servers, injects faults at given times, and states expectations on measured values.
//! The fakes and the simulated callers measure independently of the routers' own metrics; some
//! measures must be zero in every scenario ([`ScenarioMeasure::MUST_BE_ZERO`]).
//!
//! Read `script` (what a scenario contains) and `runner` (how it is executed) first, then `fleet`
//! (the routers), `callers` (the load) and `tally` (what is counted). `network`, `platform` and
//! `backend` with `server_state` are the fakes; `pause_gate` simulates a paused router process.
//! `lexer`, `line_reader` and `script_parser` read the script language; `report` is the result.
//!
//! ```
//! let text = "routers 2\nload chats 1/s\nat 3s crash engine e9\n";
//! let error = catkin_scenario::parse_script("wrong", text).unwrap_err();
//! assert_eq!(error.line, 3);
//! assert_eq!(error.message, "no such engine; number set up: 1");
//! ```

mod answer;
mod backend;
mod callers;
mod fleet;
mod lexer;
mod line_reader;
mod network;
mod pause_gate;
mod platform;
mod report;
mod runner;
mod script;
mod script_parser;
mod server_state;
mod tally;

pub use answer::{AnswerEvent, ScenarioBody};
pub use backend::{FakeBackend, FakeServers, FakeStream};
pub use fleet::{MODEL, SERVICE, ScenarioEnvironment};
pub use line_reader::ScriptError;
pub use network::{FakeLink, FakeNetwork, NetworkRules};
pub use pause_gate::PauseGate;
pub use platform::{FakePlatform, FakeStore, PlatformRules};
pub use report::{ExpectationError, FailedExpectation, ScenarioReport};
pub use runner::run_script;
pub use script::{
    CallerLoad, CompareKind, FleetSetup, LoadKind, NodeKind, NodeName, ScenarioMeasure,
    ScenarioScript, ScenarioStep, ScriptExpectation, TimedStep,
};
pub use script_parser::parse_script;
pub use server_state::{BackendRules, FakeServerKind};
pub use tally::{CallOutcome, ScenarioClass, ScenarioTally};
