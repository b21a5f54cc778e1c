//! Entry router: accepts callers' requests over persistent HTTP connections, selects a backend
//! server for each and forwards the answer.
//!
//! Suggested reading order:
//!
//! 1. `process` starts the background tasks; `state` holds what they share; `metrics_recorder` records metrics.
//! 2. Request path: `caller` reads requests, `caller_table` ends idle connections of callers near the limit, through the
//!    `caller_place` of each, `route_table` matches a route, `call` describes a
//!    request, `serve` runs it, `assign` and `server_selection` select a server, `attempt` sends
//!    the request through `connection` and `connection_pool`, `answer_forwarder` forwards the
//!    answer within the memory of a `buffer_budget`, `answer_end` decides whether one that ended with its
//!    connection is complete, `server_notice` reads what a server states of itself,
//!    `resumption` finds where a resumed stream may go on, by `origin_book`, `refusal` answers
//!    requests that were not served. `crash_check` and `break_cause` find out whether a server crashed under a request,
//!    `crash_book` decides which content is refused because of that, `crash_reports` logs it and tells
//!    the other routers.
//! 3. Store: `store_point` orders its changes, `join` registers the router, `store_follower` applies changes of declarations and
//!    servers to `route_table` and `server_book`, through `store_client`, `departure_table` remembers which servers leave, `strike_store` keeps what is quarantined, `origin_store` at which software versions streams began, `evacuation_follower` reads which failure domains are evacuated, which
//!    `evacuation_table` holds. `list_pages` joins the pages of a list, `store_trouble` decides until
//!    when servers are used whose entries are missing, `list_plan` decides which
//!    routers of a large fleet get a long list from another router, as a `server_copy`.
//! 4. Other routers: `peer_service` exchanges the reports that `report_builder` builds,
//!    `relay_plan` decides which routers they are sent to, `load_table` aggregates open requests,
//!    `cache_sync` and `cache_loader` load the `cache_index` after a start, `origin_exchange` shares
//!    where streams began, `limit_exchange` the limits that servers name, `brittle_exchange` servers that fall over, `evacuation_exchange` the evacuated domains,
//!    `speed_exchange` how slow servers state to be, `cold_exchange` which of them are cold.
//!
//! Decisions are made in modules without I/O: [`RouteTable`], [`ServerBook`], [`LoadTable`],
//! [`CacheIndex`], [`CacheSync`], [`RelayBook`], [`choose_list_source`], [`select_server`],
//! [`OutcomeBook`], [`SpeedBook`], [`BudgetBook`], [`StorePace`], [`ReportQueue`], [`ServedContent`],
//! [`OriginBook`], [`OriginPlan`], [`CrashBook`], [`DepartureTable`], [`EvacuationTable`],
//! [`find_break_cause`], [`find_end_fault`], [`HelpOffer`], [`choose_by_fill`], [`SpeedTable`], [`BufferBudget`],
//! [`CallerTable`]. [`run_entry`] runs the process. An
//! [`EntryWire`] defines the formats of callers, servers and the store.

mod admin_listener;
mod answer_end;
mod answer_forwarder;
mod assign;
mod attempt;
mod break_cause;
mod brittle_exchange;
mod budget_book;
mod buffer_budget;
mod cache_index;
mod cache_loader;
mod cache_sync;
mod call;
mod call_relay;
mod caller;
mod caller_place;
mod caller_table;
mod cold_exchange;
mod connection;
mod connection_pool;
mod crash_book;
mod crash_check;
mod crash_reports;
mod departure_table;
mod evacuation_client;
mod evacuation_exchange;
mod evacuation_follower;
mod evacuation_table;
mod help_offer;
mod join;
mod limit_exchange;
mod list_pages;
mod list_plan;
mod load_spread;
mod load_table;
mod logging;
mod metrics_recorder;
mod origin_book;
mod origin_exchange;
mod origin_plan;
mod origin_store;
mod outcome_book;
mod pause_watch;
mod peer_service;
mod process;
mod reach_watch;
mod record;
mod refusal;
mod relay_plan;
mod report_builder;
mod report_queue;
mod resumption;
mod retry_payment;
mod route_table;
mod serve;
mod served_content;
mod server_book;
mod server_copy;
mod server_notice;
mod server_selection;
mod settings;
mod speed_book;
mod speed_exchange;
mod speed_table;
mod state;
mod store_client;
mod store_follower;
mod store_pace;
mod store_point;
mod store_trouble;
mod strike_store;
mod waiting_room;
mod wire;

pub use answer_end::{EndFault, UnframedEnd, find_end_fault};
pub use break_cause::{BreakCause, ReusedBreak, ServerCheck, find_break_cause};
pub use budget_book::BudgetBook;
pub use buffer_budget::{BufferBudget, BufferShare, UNCOUNTED_BYTES};
pub use cache_index::{CacheIndex, CachedPart, PrefixPart, list_prefix_parts, part_key};
pub use cache_sync::CacheSync;
pub use call::{CheckError, EntryCall, SendDetails, encode_call};
pub use call_relay::may_have_sent;
pub use caller_table::{CallerId, CallerTable, count_allowed_callers};
pub use connection::{ExchangeError, ExchangeFailure, ExpectedAnswer, HttpConnection};
pub use connection_pool::{ConnectionPool, read_idle_timeout, share_connection_limit};
pub use crash_book::{CrashBook, CrashSource, QuarantineKey, StrikeEffect};
pub use departure_table::{DepartureTable, ReportAudience, ServerDeparture};
pub use evacuation_client::{
    EvacuationClient, EvacuationWrite, parse_obeyed_evacuations, read_obeyed_evacuations,
    record_evacuation_obeyed,
};
pub use evacuation_table::{
    EvacuationChange, EvacuationReport, EvacuationTable, EvacuationTimes, MAX_REPORTED_DOMAINS,
    ReadDecision,
};
pub use help_offer::HelpOffer;
pub use list_pages::{RepeatedPageError, append_page};
pub use list_plan::{ListSource, choose_asked_router, choose_list_source};
pub use load_spread::{
    FillCost, LotTable, SpreadQuery, UnseenInput, choose_by_fill, estimate_unseen,
};
pub use load_table::{LoadSource, LoadTable, OpenLoad, ReportedLoads, ServiceKey};
pub use logging::LineBudget;
pub use metrics_recorder::{UPKEEP_INTERVAL, maintain_metrics};
pub use origin_book::{
    OriginBook, ResumeChoice, ServiceVersions, SoftwareKey, StreamKey, choose_asked_keepers,
    choose_keepers, tells_joining,
};
pub use origin_plan::{
    OriginPlan, OriginWrite, WriterCandidate, WriterStanding, choose_origin_writer,
};
pub use outcome_book::{AttemptOutcome, OutcomeBook};
pub use process::{read_settings, run_entry};
pub use record::{
    CallerBounds, ColdRecord, DeclarationRecord, EngineRecord, PromptPart, RouteKind, RouteRecord,
    ServerRecord, ServiceRecord, ServiceShare, TeamRecord,
};
pub use refusal::{Refusal, RefusalCause};
pub use relay_plan::{FleetMember, MAX_SMALL_FLEET, RelayBook, ReportPlan};
pub use report_queue::{ReportQueue, Strike};
pub use retry_payment::RetryPayment;
pub use route_table::{RouteMatch, RouteTable, choose_service, hash_key};
pub use served_content::ServedContent;
pub use server_book::{KnownServer, ServerBook, ServerChange, derive_server_id};
pub use server_copy::{ServerList, decode_server_list, encode_server_list};
pub use server_notice::{LimitNotice, PauseNotice, read_limit, read_pause};
pub use server_selection::{
    CandidateState, LoadBounds, SelectionError, SelectionQuery, ServerCandidate, ServerSelection,
    select_server,
};
pub use settings::{EntrySettings, SettingsError, parse_settings};
pub use speed_book::{SpeedBook, StartedSample};
pub use speed_table::{
    SpeedStatement, SpeedTable, combine_factors, find_typical_factor, read_stated_speed,
};
pub use store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
pub use store_pace::StorePace;
pub use store_point::StorePoint;
pub use store_trouble::{MISSING_GRACE_MILLIS, StoreTrouble};
pub use wire::{
    EntryWire, HeaderNames, ListedPart, OriginRecord, RouterRecord, StoreKind, StorePage,
    StoredEntry, StrikeRecord, VersionRecord, WireError,
};
