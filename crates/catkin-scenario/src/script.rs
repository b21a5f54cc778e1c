//! The parsed form of a scenario: the fleet, the load, the timed steps and the expectations.

use std::time::Duration;

use miette::SourceSpan;

use crate::tally::ScenarioClass;

/// A parsed scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioScript {
    /// Name of the scenario file.
    pub name: String,
    /// The fleet that is started before the run.
    pub setup: FleetSetup,
    /// Load that the callers send.
    pub loads: Vec<CallerLoad>,
    /// Injected faults and other changes, in the order of their times.
    pub steps: Vec<TimedStep>,
    /// Expectations checked at the end of the run.
    pub expectations: Vec<ScriptExpectation>,
}

/// The fleet and the length of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSetup {
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run, in simulated time.
    pub run: Duration,
    /// Failure domains, all in one region; nodes are assigned to them in turn.
    pub domains: Vec<String>,
    /// Number of routers.
    pub routers: u32,
    /// Number of engines.
    pub engines: u32,
    /// Number of servers of the plain (non-model) service.
    pub services: u32,
    /// Number of requests that each server runs at once.
    pub slots: u32,
    /// Number of teams.
    pub teams: u32,
    /// Maximum load of an engine relative to the mean, in percent.
    pub bound_percent: u32,
    /// Deadline of requests of class `quick`.
    pub quick_deadline: Duration,
    /// Deadline of requests of class `long`.
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

/// Kind of the requests of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadKind {
    /// Streamed chat requests to engines.
    Chats,
    /// Calls to the plain service with an idempotency key; each may take effect only once.
    Records,
}

/// Requests sent at a constant mean rate with random jitter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLoad {
    /// Kind of the requests.
    pub kind: LoadKind,
    /// Requests per minute.
    pub per_minute: u32,
    /// Number of the sending team, from 1.
    pub team: u32,
    /// Request class.
    pub class: ScenarioClass,
    /// Number of distinct chats, from which each request draws one.
    pub chats: u32,
    /// Length of an answer, in tokens.
    pub tokens: u32,
    /// Length of a prompt, in tokens.
    pub prompt: u32,
    /// Start of the load, relative to the start of the run.
    pub from: Duration,
    /// End of the load, relative to the start of the run; `None` means the end of the run.
    pub to: Option<Duration>,
}

impl CallerLoad {
    /// Creates a load of this rate with defaults for all other properties.
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

/// Kind of a node that a scenario names.
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
    /// Kind of the node.
    pub kind: NodeKind,
    /// Number of the node, from 1.
    pub number: u32,
}

/// A step and the time at which it is executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedStep {
    /// Time relative to the start of the run.
    pub at: Duration,
    /// The step.
    pub step: ScenarioStep,
}

/// An injected fault, another change of the fleet, or an intermediate check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScenarioStep {
    /// A process is killed.
    Crash(NodeName),
    /// A process that was killed or stopped is started again.
    Start(NodeName),
    /// A server announces that it is leaving.
    Leave(NodeName),
    /// A router shuts down gracefully; its number.
    Stop(u32),
    /// A router process is paused; its number and the length of the pause.
    Pause(u32, Duration),
    /// A server crashes and restarts repeatedly; the interval between crashes and the total time.
    Flap(NodeName, Duration, Duration),
    /// A network partition separates these routers, by number, from all others.
    Split(Vec<u32>),
    /// The network partition ends.
    Heal,
    /// Sets the share of messages between routers that are lost, in percent.
    NetworkLoss(u32),
    /// Sets the share of messages between routers that arrive twice, in percent.
    NetworkRepeat(u32),
    /// Sets the shortest and the longest delay of messages between routers.
    NetworkDelay(Duration, Duration),
    /// The platform becomes unavailable (`false`) or available (`true`).
    PlatformUp(bool),
    /// Sets the latency of calls to the platform.
    PlatformSlow(Duration),
    /// Sets the share of platform writes that take effect but whose answer is lost, in percent.
    PlatformAnswerLoss(u32),
    /// Sets the rate limit of the platform, in calls per second.
    PlatformLimit(u32),
    /// Sets the delay of cache events.
    EventLag(Duration),
    /// Sets the share of cache events that are never published, in percent.
    EventGaps(u32),
    /// Sets the age of the load that probes report.
    ProbeLag(Duration),
    /// A team (by number) sends a request that crashes every engine that runs it, this many times.
    Poison(u32, u32),
    /// Declarations with another load bound, in percent, are applied.
    Apply(u32),
    /// Two declarations with these load bounds are applied concurrently on the same base revision.
    ApplyBoth(u32, u32),
    /// A measure is checked at this time.
    Expect(ScriptExpectation),
}

/// A measured value that an expectation can name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScenarioMeasure {
    /// Number of calls with a complete answer.
    Answered,
    /// Number of calls refused before their answer began.
    Refused,
    /// Number of answers that were cut off by a refusal.
    Cut,
    /// Number of calls whose router process was killed.
    Lost,
    /// Number of calls that ended neither with an answer nor with a refusal.
    Unanswered,
    /// Number of answers that belong to another request.
    Strangers,
    /// Number of answers marked as complete that lacked events.
    Partial,
    /// Number of calls reported as not run that a server did run.
    FalseNotRun,
    /// Number of idempotency keys that took effect more than once.
    DoubledRuns,
    /// Number of idempotency keys that took effect.
    RecordedRuns,
    /// Number of calls with a key whose caller stopped retrying before a complete answer arrived.
    UnsettledRecords,
    /// Number of requests that a server received more than five seconds after it announced that it
    /// is leaving.
    LateWork,
    /// Number of requests that put an engine above the load bound.
    OverBound,
    /// Highest load of the busiest engine relative to the mean, in percent.
    MaxSkewPercent,
    /// Share of returning chats that found their prefix in the cache of the engine, in percent.
    ReusePercent,
    /// Number of engine crashes caused by requests.
    PoisonCrashes,
    /// Number of times that a router changed to an older revision.
    ConfigReverts,
    /// Lowest revision in force on a running router.
    LowestRevision,
    /// Highest revision in force on a running router.
    HighestRevision,
    /// Number of applied declarations, the first one included.
    Applied,
    /// Number of applies refused because the base revision was no longer current.
    Conflicts,
    /// Number of orders that reached a server with a fencing token below one it had seen.
    StaleOrders,
    /// Number of graceful shutdowns that cut off a call.
    CutShutdowns,
    /// Lowest number of live routers in the view of any running router.
    LiveRouters,
    /// 95th percentile of the time to the first part of quick answers, in milliseconds.
    QuickP95Millis,
    /// 95th percentile of the time to the first part of long answers, in milliseconds.
    LongP95Millis,
    /// Highest mean rate at which a router process sent to other routers, in bytes per second.
    ControlBytes,
    /// Number of calls to the platform.
    PlatformCalls,
}

impl ScenarioMeasure {
    /// Every measure with its word in the script language.
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

    /// Word of the measure in the script language.
    pub fn as_word(self) -> &'static str {
        Self::ALL.iter().find(|(measure, _)| *measure == self).map_or("", |(_, word)| word)
    }
}

/// Comparison of a measure with a limit.
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
    /// Returns whether the comparison holds for `value`.
    pub fn holds(self, value: u64, limit: u64) -> bool {
        match self {
            Self::Equal => value == limit,
            Self::AtMost => value <= limit,
            Self::AtLeast => value >= limit,
        }
    }

    /// Sign of the comparison in the script language.
    pub fn as_sign(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
        }
    }
}

/// An expectation and its position in the scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptExpectation {
    /// The measure.
    pub measure: ScenarioMeasure,
    /// The comparison.
    pub compare: CompareKind,
    /// The limit that the measure is compared with.
    pub limit: u64,
    /// Position in the scenario file, in bytes.
    pub span: SourceSpan,
}
