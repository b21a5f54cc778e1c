//! Entry router: takes callers' requests over kept HTTP connections, chooses a backend server for
//! each, and passes the answer on.
//!
//! Decisions stand in modules without I/O: [`RouteTable`], [`ServerBook`], [`LoadTable`],
//! [`CacheIndex`], [`choose_place`], [`OutcomeBook`], [`BudgetBook`]. [`run_entry`] runs the process.
//! What callers, servers and the store speak is named by an [`EntryWire`].

mod attempt;
mod budgets;
mod cache_index;
mod cache_loader;
mod cache_sync;
mod call;
mod caller;
mod channel;
mod join;
mod load_table;
mod logging;
mod outcome_book;
mod pause;
mod peer_service;
mod place;
mod placing;
mod process;
mod record;
mod refuse;
mod relay;
mod relay_plan;
mod report_builder;
mod route_table;
mod serve;
mod server_book;
mod server_pool;
mod settings;
mod side_listener;
mod state;
mod store_client;
mod store_follower;
mod wire;

pub use budgets::BudgetBook;
pub use cache_index::{CacheIndex, CachedPart, PrefixPart, hash_prefixes, part_key};
pub use cache_sync::CacheSync;
pub use call::{CheckError, EntryCall, SendDetails, encode_call};
pub use channel::{ExchangeError, ExchangeFault, ExpectedAnswer, HttpChannel};
pub use load_table::{LoadSource, LoadTable, OpenLoad, ReportedLoads};
pub use logging::LineBudget;
pub use outcome_book::{AttemptOutcome, OutcomeBook};
pub use place::{
    Candidate, CandidateUse, LoadBounds, NoPlace, PlaceChoice, PlaceQuery, choose_place,
};
pub use process::{read_settings, run_entry};
pub use record::{
    CallerBounds, DeclarationRecord, EngineRecord, PromptPart, RouteKind, RouteRecord,
    ServerRecord, ServiceRecord, ServiceShare, TeamRecord,
};
pub use refuse::{Refusal, RefusalCause};
pub use relay_plan::{FleetMember, MAX_SMALL_FLEET, RelayBook, ReportPlan};
pub use route_table::{RouteMatch, RouteTable, choose_service};
pub use server_book::{KnownServer, MISSING_GRACE_MILLIS, ServerBook, ServerChange, server_id};
pub use server_pool::{ServerPool, read_idle_limit, share_connections};
pub use settings::{EntrySettings, SettingsError, parse_settings};
pub use store_client::{GrowingTimeout, StoreCallError, StoreClient, WriteMode};
pub use wire::{
    EntryWire, HeaderNames, ListedPart, RouterRecord, StoreKind, StorePage, StoredEntry, WireError,
};
