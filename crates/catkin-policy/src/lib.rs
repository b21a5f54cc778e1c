//! Placement, admission, fairness, retry and quarantine decisions, without input or output.
//!
//! All functions are deterministic: they take the current time, messages and a seeded random
//! generator, and return decisions and messages. Each backend server has one admission owner among
//! the routers. The owner's [`AdmissionOwner`] answers the grant requests of entry routers, and an
//! entry router chooses with its [`PlacementPlan`] to which owner it sends the next grant request.
//! A chat is warm on a server if its prefix is believed to be in the cache of the server.
//!
//! Read `spec`, `rules` and `grant` first: they define the servers, the settings and the messages.
//! Then `rank` and `plan` hold the entry router's side. The owner's side starts with `owner`;
//! `decision`, `dispatch`, `release` and `handover` add its operations, and `ledger`, with `queue`,
//! `health`, `warm`, `history` and `bound`, holds its state. `load` and `report` aggregate and send
//! the load of pools. `retry`, `shared_budget`, `strike`, `suspect`, `server_limit`, `cold_server`, `server_pause`, `reach`,
//! `backoff` and `recent` stand alone. `admission`, with `waiting_line`, `room_credit` and `team_share`,
//! decides who uses the room of a service that has too little.
//!
//! ```
//! use catkin_base::{ChatId, ServerId};
//! use catkin_policy::{PlacementPlan, RankTable, ServerSpec};
//! # use catkin_base::{DomainId, PoolId, RegionId};
//! # let spec = |name: &str| ServerSpec {
//! #     server: ServerId::from_name(name),
//! #     pools: vec![PoolId::from_name("estimator")],
//! #     domain: DomainId(1),
//! #     region: RegionId(1),
//! #     weight: 1,
//! #     slots: 8,
//! # };
//! let servers = [spec("estimator-1"), spec("estimator-2")];
//! let table = RankTable::new(&servers);
//! let ranked = table.rank(ChatId(7), 2);
//! let plan = PlacementPlan::new(ChatId(7), ranked.clone(), Vec::new(), None);
//! assert_eq!(plan.next_ask().map(|ask| ask.server), ranked.first().copied());
//! ```

mod admission;
mod backoff;
mod bound;
mod brittle_server;
mod cold_server;
mod decision;
mod dispatch;
mod grant;
mod handover;
mod health;
mod history;
mod ledger;
mod load;
mod owner;
mod plan;
mod queue;
mod rank;
mod reach;
mod recent;
mod release;
mod report;
mod retry;
mod room_credit;
mod rules;
mod server_limit;
mod server_pause;
mod shared_budget;
mod spec;
mod state;
mod strike;
mod suspect;
mod team_share;
mod waiting_line;
mod warm;

pub use admission::{RoomCause, RoomRefusal, RoomRequest, RoomVerdict, ServiceRoom};
pub use backoff::BackoffPlan;
pub use bound::admission_bound;
pub use brittle_server::{BrittleRoom, BrittleStatement, BrittleTable};
pub use cold_server::{ColdShare, ColdTable};
pub use grant::{
    GrantAnswer, GrantAsk, GrantAudit, GrantExport, GrantRefusal, GrantRelease, GrantResult,
    OpenGrant, OverflowCause, ReleaseOutcome, WarmChat,
};
pub use handover::OwnershipChange;
pub use load::{CacheEvent, LoadAggregator, LoadReport, PoolLoad, ServerLoad, ServerReport};
pub use owner::AdmissionOwner;
pub use plan::{PlacementPlan, PlanAsk, PlanStep};
pub use rank::{RankTable, choose_key_router, choose_owner, rank_servers};
pub use reach::{ConnectFailure, ReachChange, ReachKey, ReachTable};
pub use report::{ReportMode, ReportPacer, choose_aggregator, choose_relay};
pub use retry::{BudgetUsage, RetryBudget};
pub use room_credit::{RoomCredit, RoomInput};
pub use rules::{ClassPolicy, PolicyRules, TeamPolicy};
pub use server_limit::{LimitShare, LimitStatement, LimitTable, RequestRate, compute_fraction};
pub use server_pause::PauseTable;
pub use shared_budget::{RETRY_CREDIT, SharedBudget};
pub use spec::{RouterSpec, ServerSpec};
pub use state::{OwnerPhase, ServerState};
pub use strike::{StrikeCounter, StrikeState};
pub use suspect::{
    CrashEvidence, CrashObservation, PartVerdict, QuarantinedPart, SuspectChange, SuspectTable,
    choose_trial_delay,
};
pub use team_share::{
    MAX_REPORTED_TEAMS, SurplusMarker, TEAM_SECONDS, TeamCounter, compute_share_level, keep_largest,
};
pub use waiting_line::{LineTicket, StartForecast, WaitingLine, WaitingRank};
