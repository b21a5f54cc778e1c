//! Entry router: takes callers' requests over kept HTTP connections, chooses a backend server for
//! each, and passes the answer on.
//!
//! Decisions stand in modules without I/O: [`RouteTable`], [`ServerBook`], [`LoadTable`],
//! [`KeptBook`], [`select_server`], [`OutcomeBook`], [`BudgetBook`]. [`run_entry`] runs the process.
//! What callers, servers and the store speak is named by an [`EntryWire`].

mod assign;
mod attempt;
mod budget_book;
mod call;
mod caller;
mod connection;
mod connection_pool;
mod follow;
mod join;
mod kept_book;
mod kept_learning;
mod learn_kept;
mod load_table;
mod logging;
mod outcome_book;
mod pause_watch;
mod peers;
mod process;
mod record;
mod refusal;
mod relay;
mod relay_plan;
mod report;
mod route_table;
mod serve;
mod server_book;
mod server_selection;
mod settings;
mod side_listener;
mod state;
mod store_client;
mod wire;

pub use budget_book::BudgetBook;
pub use call::{CheckError, EntryCall, SendDetails, encode_call};
pub use connection::{ExchangeError, ExchangeFailure, ExpectedAnswer, HttpConnection};
pub use connection_pool::{ConnectionPool, read_idle_timeout, share_connection_limit};
pub use kept_book::{KeptBook, KeptPair, PrefixPart, hash_prefixes, part_key};
pub use kept_learning::KeptLearning;
pub use load_table::{LoadSource, LoadTable, OpenLoad, ReportedLoads};
pub use logging::LineBudget;
pub use outcome_book::{AttemptOutcome, OutcomeBook};
pub use process::{read_settings, run_entry};
pub use record::{
    CallerBounds, DeclarationRecord, EngineRecord, PromptPart, RouteKind, RouteRecord,
    ServerRecord, ServiceRecord, ServiceShare, TeamRecord,
};
pub use refusal::{Refusal, RefusalCause};
pub use relay_plan::{FleetMember, MAX_SMALL_FLEET, RelayBook, TellPlan};
pub use route_table::{RouteMatch, RouteTable, choose_service};
pub use server_book::{
    KnownServer, MISSING_GRACE_MILLIS, ServerBook, ServerChange, derive_server_id,
};
pub use server_selection::{
    CandidateState, LoadBounds, SelectionError, SelectionQuery, ServerCandidate, ServerSelection,
    select_server,
};
pub use settings::{EntrySettings, SettingsError, parse_settings};
pub use store_client::{GrowingPatience, StoreClient, StoreFault, WriteMode};
pub use wire::{
    EntryWire, HeaderNames, KeptRecord, RouterRecord, StoreKind, StorePage, StoredEntry, WireError,
};
