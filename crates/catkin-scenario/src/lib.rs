//! Scripted failure scenarios run against the router on a paused clock.
//!
//! A scenario sets up a fleet of real routers over fakes of the network, the platform and the
//! backend servers, brings about failures at given times, and says what it expects. The fakes
//! count by themselves what must always hold.
//!
//! ```
//! let text = "routers 2\nload chats 1/s\nat 3s crash engine e9\n";
//! let error = catkin_scenario::parse_script("wrong", text).unwrap_err();
//! assert_eq!(error.line, 3);
//! assert_eq!(error.message, "there is no such engine: 1 are set up");
//! ```

mod answer;
mod backend;
mod callers;
mod gate;
mod lexer;
mod line;
mod network;
mod parse;
mod platform;
mod report;
mod runner;
mod script;
mod servers;
mod tally;
mod world;

pub use answer::{AnswerEvent, ScenarioBody};
pub use backend::{FakeBackend, FakeServers, FakeStream};
pub use gate::PauseGate;
pub use line::ScriptError;
pub use network::{FakeLink, FakeNetwork, NetworkRules};
pub use parse::parse_script;
pub use platform::{FakePlatform, FakeStore, PlatformRules};
pub use report::{ExpectationError, FailedExpectation, ScenarioReport};
pub use runner::run_script;
pub use script::{
    CallerLoad, CompareKind, FleetSetup, LoadKind, NodeKind, NodeName, ScenarioMeasure,
    ScenarioScript, ScenarioStep, ScriptExpectation, TimedStep,
};
pub use servers::{BackendRules, FakeKind};
pub use tally::{CallEnd, ScenarioClass, ScenarioTally};
pub use world::{MODEL, SERVICE, ScenarioEnvironment};
