//! Scenarios as they are written: what is set up, what happens when, what is expected.

use std::time::Duration;

use miette::SourceSpan;

use crate::tally::ScenarioClass;

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioScript {
    /// Name of the file.
    pub name: String,
    /// What is set up before the start.
    pub setup: FleetSetup,
    /// Requests sent by callers.
    pub loads: Vec<CallerLoad>,
    /// Faults and changes.
    pub steps: Vec<TimedStep>,
    /// What must hold at the end.
    pub expectations: Vec<ScriptExpectation>,
}

/// What is set up before the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSetup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the run.
    pub run: Duration,
    /// Failure domains, all of one region.
    pub domains: Vec<String>,
    /// Number of routers.
    pub routers: u32,
    /// Number of engines.
    pub engines: u32,
    /// Number of plain services' servers.
    pub services: u32,
    /// Slots of each server.
    pub slots: u32,
    /// Number of teams.
    pub teams: u32,
    /// Most load on an engine relative to the mean, in percent.
    pub bound_percent: u32,
    /// Deadline of quick requests.
    pub quick_deadline: Duration,
    /// Deadline of long requests.
    pub long_deadline: Duration,
}

impl Default for FleetSetup {
    fn default() -> Self {
        Self {
            seed: 1,
            run: Duration::from_secs(30),
            domains: vec!["a".to_owned()],
            routers: 1,
            engines: 1,
            services: 1,
            slots: 8,
            teams: 1,
            bound_percent: 150,
            quick_deadline: Duration::from_secs(10),
            long_deadline: Duration::from_secs(60),
        }
    }
}

/// What callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadKind {
    /// Chats with engines.
    Chats,
    /// Calls to the plain service that may run only once.
    Records,
}

/// Requests sent at a steady rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLoad {
    /// What is asked for.
    pub kind: LoadKind,
    /// Requests in a minute.
    pub per_minute: u32,
    /// The team, from 1.
    pub team: u32,
    /// The class.
    pub class: ScenarioClass,
    /// Number of chats that return in turn.
    pub chats: u32,
    /// Length of an answer, in tokens.
    pub tokens: u32,
    /// Length of a prompt, in tokens.
    pub prompt: u32,
    /// Start, from the start of the run.
    pub from: Duration,
    /// End, from the start of the run; the end of the run if absent.
    pub to: Option<Duration>,
}

impl CallerLoad {
    /// A load of this rate with defaults for all else.
    pub fn new(kind: LoadKind, per_minute: u32) -> Self {
        Self {
            kind,
            per_minute,
            team: 1,
            class: ScenarioClass::Quick,
            chats: 10,
            tokens: 20,
            prompt: 500,
            from: Duration::ZERO,
            to: None,
        }
    }
}

/// Kind of a thing that a scenario names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeKind {
    /// `r1`, `r2`, ...
    Router,
    /// `e1`, `e2`, ...
    Engine,
    /// `s1`, `s2`, ...
    Service,
}

/// A router, engine or service by its number, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeName {
    /// What it is.
    pub kind: NodeKind,
    /// Its number.
    pub number: u32,
}

/// A step and its time from the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedStep {
    /// When.
    pub at: Duration,
    /// What.
    pub step: ScenarioStep,
}

/// A fault or a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScenarioStep {
    /// A process ends without notice.
    Crash(NodeName),
    /// A process that ended starts again.
    Start(NodeName),
    /// A server says that it is leaving.
    Leave(NodeName),
    /// A router shuts down gracefully.
    Stop(u32),
    /// A router is paused.
    Pause(u32, Duration),
    /// A server crashes and starts again and again, at this interval, this long.
    Flap(NodeName, Duration, Duration),
    /// Routers are cut off from all other routers.
    Split(Vec<u32>),
    /// The split ends.
    Heal,
    /// Messages between routers are lost, in percent.
    NetworkLoss(u32),
    /// Messages between routers arrive twice, in percent.
    NetworkRepeat(u32),
    /// Messages between routers take a time between these two.
    NetworkDelay(Duration, Duration),
    /// The platform stops or starts to answer.
    PlatformUp(bool),
    /// Calls of the platform take this long.
    PlatformSlow(Duration),
    /// Answers to writes are lost, in percent.
    PlatformLoses(u32),
    /// Calls of the platform in a second.
    PlatformLimit(u32),
    /// Cache events come this late.
    EventLag(Duration),
    /// Cache events are missing, in percent.
    EventGaps(u32),
    /// Load reports are this old.
    ProbeLag(Duration),
    /// A team sends a request that crashes engines, and sends it again this often.
    Poison(u32, u32),
    /// Declarations with another bound are applied.
    Apply(u32),
    /// Two declarations are applied at once on the same base.
    ApplyBoth(u32, u32),
    /// A measure is checked now.
    Expect(ScriptExpectation),
}

/// A measure that an expectation names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScenarioMeasure {
    /// Whole answers.
    Answered,
    /// Refusals.
    Refused,
    /// Answers cut off.
    Cut,
    /// Calls lost with their router.
    Lost,
    /// Calls that ended neither with an answer nor with a refusal.
    Unanswered,
    /// Answers of another request.
    Strangers,
    /// Answers said to be whole that lacked parts.
    Partial,
    /// Calls said not to have run that ran.
    FalseNotRun,
    /// Keys that took effect more than once.
    DoubledRuns,
    /// Keys that took effect.
    RecordedRuns,
    /// Calls with a key whose last attempt did not tell whether it ran.
    UnsettledRecords,
    /// Requests taken by a server five seconds after it began to leave.
    LateWork,
    /// Requests taken by an engine above its bound.
    OverBound,
    /// Load of the busiest engine relative to the mean, in percent, at its worst.
    MaxSkewPercent,
    /// Returning chats that found their prefix, in percent.
    ReusePercent,
    /// Engines crashed by requests.
    PoisonCrashes,
    /// Times that a router went back to an older revision.
    ConfigReverts,
    /// Lowest revision in force on a running router.
    LowestRevision,
    /// Highest revision in force on a running router.
    HighestRevision,
    /// Applies that took effect.
    Applied,
    /// Applies that were refused because of another one.
    Conflicts,
    /// Orders taken with an older fencing number than one before.
    StaleOrders,
    /// Graceful shutdowns that cut off a call.
    CutShutdowns,
    /// Fewest live routers that a running router knows.
    LiveRouters,
    /// Time within which 95 in 100 quick answers began, in milliseconds.
    QuickP95Millis,
    /// Time within which 95 in 100 long answers began, in milliseconds.
    LongP95Millis,
    /// Bytes that a router sent to others in a second, at the most.
    ControlBytes,
    /// Calls of the platform.
    PlatformCalls,
}

impl ScenarioMeasure {
    /// Every measure, with the word that names it.
    pub const ALL: [(ScenarioMeasure, &'static str); 28] = [
        (Self::Answered, "answered"),
        (Self::Refused, "refused"),
        (Self::Cut, "cut"),
        (Self::Lost, "lost"),
        (Self::Unanswered, "unanswered"),
        (Self::Strangers, "strangers"),
        (Self::Partial, "partial"),
        (Self::FalseNotRun, "false_not_run"),
        (Self::DoubledRuns, "doubled_runs"),
        (Self::RecordedRuns, "recorded_runs"),
        (Self::UnsettledRecords, "unsettled_records"),
        (Self::LateWork, "late_work"),
        (Self::OverBound, "over_bound"),
        (Self::MaxSkewPercent, "max_skew_percent"),
        (Self::ReusePercent, "reuse_percent"),
        (Self::PoisonCrashes, "poison_crashes"),
        (Self::ConfigReverts, "config_reverts"),
        (Self::LowestRevision, "lowest_revision"),
        (Self::HighestRevision, "highest_revision"),
        (Self::Applied, "applied"),
        (Self::Conflicts, "conflicts"),
        (Self::StaleOrders, "stale_orders"),
        (Self::CutShutdowns, "cut_shutdowns"),
        (Self::LiveRouters, "live_routers"),
        (Self::QuickP95Millis, "quick_p95_millis"),
        (Self::LongP95Millis, "long_p95_millis"),
        (Self::ControlBytes, "control_bytes"),
        (Self::PlatformCalls, "platform_calls"),
    ];

    /// Measures that must be zero in every scenario.
    pub const MUST_BE_ZERO: [ScenarioMeasure; 8] = [
        Self::Unanswered,
        Self::Strangers,
        Self::Partial,
        Self::FalseNotRun,
        Self::DoubledRuns,
        Self::LateWork,
        Self::ConfigReverts,
        Self::CutShutdowns,
    ];

    /// The word that names it.
    pub fn as_word(self) -> &'static str {
        Self::ALL.iter().find(|(measure, _)| *measure == self).map_or("", |(_, word)| word)
    }
}

/// How a measure is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareKind {
    /// `=`
    Equal,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
}

impl CompareKind {
    /// Whether a value meets the comparison.
    pub fn holds(self, value: u64, limit: u64) -> bool {
        match self {
            Self::Equal => value == limit,
            Self::AtMost => value <= limit,
            Self::AtLeast => value >= limit,
        }
    }

    /// The sign that is written.
    pub fn as_sign(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
        }
    }
}

/// An expectation and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptExpectation {
    /// What is measured.
    pub measure: ScenarioMeasure,
    /// How it is compared.
    pub compare: CompareKind,
    /// With what.
    pub limit: u64,
    /// Where it is written.
    pub span: SourceSpan,
}
