//! What the tasks of one entry router share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::rc::Rc;

use catkin_base::{ClockTime, DomainId, RequestDigest, ServerId, VmId};
use catkin_policy::StrikeCounter;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::budgets::BudgetBook;
use crate::kept_book::{KeptBook, KeptPair};
use crate::kept_learning::KeptLearning;
use crate::load_table::LoadTable;
use crate::outcome_book::OutcomeBook;
use crate::place::LoadBounds;
use crate::relay_plan::MAX_SMALL_FLEET;
use crate::route_table::RouteTable;
use crate::server_book::{ServerBook, ServerChange};
use crate::server_pool::ServerPool;
use crate::settings::EntrySettings;

/// Servers that must die under a request's content before it is refused.
const STRIKE_LIMIT: u32 = 3;
/// How long such content is refused, in milliseconds.
const STRIKE_HOLD_MILLIS: u64 = 60_000;
/// Part of the allowed load factor that is used; reports of other routers are late.
const HARD_SHARE: f64 = 0.92;
/// Requests that a server may hold beyond the factor.
const HARD_EXTRA: f64 = 2.0;
/// Part of the allowed load factor up to which reuse decides.
const SOFT_SHARE: f64 = 0.8;
/// Part of both bounds that is used in a larger fleet, whose loads are told less often.
const LARGE_FLEET_PART: f64 = 0.85;
/// Requests that the soft bound allows beyond the factor.
const SOFT_EXTRA: f64 = 2.0;

/// What other routers are to be told with the next reports.
#[derive(Debug, Default)]
pub(crate) struct PeerNews {
    /// Parts that servers were sent, each told twice.
    pub(crate) kept: Vec<KeptPair>,
    /// Parts told once.
    pub(crate) kept_again: Vec<KeptPair>,
    /// Servers that died under a request's content.
    pub(crate) strikes: Vec<(RequestDigest, ServerId)>,
    /// Whether open requests changed.
    pub(crate) changed: bool,
    /// Whether something must be told at once.
    pub(crate) urgent: bool,
}

/// What a relay passes on in one direction.
#[derive(Debug, Default)]
pub(crate) struct RelayNews {
    pub(crate) kept: Vec<KeptPair>,
    pub(crate) strikes: Vec<(RequestDigest, ServerId)>,
    /// Servers that routers set aside, and until when their word counts.
    pub(crate) held: BTreeMap<ServerId, ClockTime>,
}

/// Shared state.
pub(crate) struct EntryState<W> {
    pub(crate) settings: RefCell<Rc<EntrySettings>>,
    pub(crate) started: Instant,
    pub(crate) own: VmId,
    /// This router's failure domain.
    pub(crate) domain: DomainId,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    /// The declarations as the store holds them, for other routers, and their revision.
    pub(crate) declared: RefCell<Option<(u64, Rc<str>)>>,
    pub(crate) servers: RefCell<ServerBook>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) kept: RefCell<KeptBook>,
    pub(crate) outcomes: RefCell<OutcomeBook>,
    pub(crate) budgets: RefCell<BudgetBook>,
    pub(crate) strikes: RefCell<StrikeCounter>,
    pub(crate) pool: RefCell<ServerPool>,
    pub(crate) news: RefCell<PeerNews>,
    /// What other domains are to hear of this one, if this router relays.
    pub(crate) outward: RefCell<RelayNews>,
    /// What this domain is to hear of the others, if this router relays.
    pub(crate) inward: RefCell<RelayNews>,
    /// Signals that a place at a server may be free.
    pub(crate) room: Notify,
    /// Signals that another router knows newer versions.
    pub(crate) stale: Notify,
    /// Newest version of the declarations, and of the server list, that any router told of.
    pub(crate) told: Cell<(u64, u64)>,
    pub(crate) joined: Cell<bool>,
    pub(crate) stopping: Cell<Option<Instant>>,
    /// Whether the last call for declarations failed.
    pub(crate) store_fails: Cell<bool>,
    /// Whether this router's waits at the store must show changes at once.
    pub(crate) reads_fresh: Cell<bool>,
    /// How far it is known what engines keep.
    pub(crate) learning: RefCell<KeptLearning>,
    /// When the process ends at the latest, once it stops.
    pub(crate) exit: Cell<Option<Instant>>,
    pub(crate) open_calls: Cell<u32>,
    /// Connections of callers.
    pub(crate) connections: Cell<usize>,
    /// Set when idle callers are to be closed.
    pub(crate) closing: CancellationToken,
    /// Set when no caller is taken any longer.
    pub(crate) shut: CancellationToken,
    /// Set when the other routers are to be told of the end.
    pub(crate) leaving: CancellationToken,
    /// Set once they were told.
    pub(crate) left: CancellationToken,
    /// Signals that the process stood still.
    pub(crate) awake: Notify,
    wire: PhantomData<W>,
}

impl<W> EntryState<W> {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let budgets = BudgetBook::new(settings.retry_ratio, settings.retry_extra);
        Self {
            own: VmId::from_name(&settings.vm),
            domain: DomainId::from_name(&settings.domain),
            settings: RefCell::new(Rc::new(settings)),
            started: Instant::now(),
            table: RefCell::default(),
            declared: RefCell::default(),
            servers: RefCell::default(),
            loads: RefCell::default(),
            kept: RefCell::default(),
            outcomes: RefCell::default(),
            budgets: RefCell::new(budgets),
            strikes: RefCell::new(StrikeCounter::new(STRIKE_LIMIT, STRIKE_HOLD_MILLIS)),
            pool: RefCell::default(),
            news: RefCell::default(),
            outward: RefCell::default(),
            inward: RefCell::default(),
            room: Notify::new(),
            stale: Notify::new(),
            told: Cell::default(),
            joined: Cell::new(false),
            stopping: Cell::new(None),
            store_fails: Cell::new(false),
            reads_fresh: Cell::new(true),
            learning: RefCell::default(),
            exit: Cell::new(None),
            open_calls: Cell::new(0),
            connections: Cell::new(0),
            closing: CancellationToken::new(),
            shut: CancellationToken::new(),
            leaving: CancellationToken::new(),
            left: CancellationToken::new(),
            awake: Notify::new(),
            wire: PhantomData,
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started.elapsed())
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    pub(crate) fn routers(&self) -> u32 {
        self.loads.borrow().routers(self.now())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.table.borrow().is_some() && !self.servers.borrow().is_empty();
        known && self.joined.get() && !self.is_stopping()
    }

    pub(crate) fn load_bounds(&self) -> LoadBounds {
        let factor = self.settings.borrow().load_factor;
        let large = self.routers() as usize > MAX_SMALL_FLEET;
        let part = if large { LARGE_FLEET_PART } else { 1.0 };
        LoadBounds {
            soft_factor: factor * SOFT_SHARE * part,
            soft_extra: SOFT_EXTRA * part,
            hard_factor: factor * HARD_SHARE * part,
            hard_extra: HARD_EXTRA * part,
        }
    }

    /// Drops what is known of servers that left or started again.
    pub(crate) fn apply_change(&self, change: ServerChange) {
        match change {
            ServerChange::Unchanged => return,
            ServerChange::Appeared(server) => log::info!("servers: Appeared. server={server}"),
            ServerChange::Leaving(server) => {
                log::info!("servers: Leaving. server={server}");
                self.pool.borrow_mut().forget_server(server);
                self.news.borrow_mut().urgent = true;
            }
            ServerChange::Gone(server) => {
                log::info!("servers: Gone. server={server}");
                self.forget_server(server);
                self.news.borrow_mut().urgent = true;
            }
        }
        self.room.notify_waiters();
    }

    pub(crate) fn forget_server(&self, server: ServerId) {
        self.kept.borrow_mut().forget_server(server);
        self.outcomes.borrow_mut().forget_server(server);
        self.pool.borrow_mut().forget_server(server);
    }
}

/// An open request at a server, counted until dropped.
pub(crate) struct OpenPlace<W> {
    state: Rc<EntryState<W>>,
    pub(crate) server: ServerId,
    /// Prompt tokens that the server has yet to read for it.
    unread_tokens: u64,
}

impl<W> OpenPlace<W> {
    pub(crate) fn take(state: &Rc<EntryState<W>>, server: ServerId, unread_tokens: u64) -> Self {
        state.loads.borrow_mut().open(server, unread_tokens);
        state.news.borrow_mut().changed = true;
        Self { state: Rc::clone(state), server, unread_tokens }
    }

    /// Notes that the server has read the prompt.
    pub(crate) fn note_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens > 0 {
            self.state.loads.borrow_mut().note_read(self.server, tokens);
            self.state.news.borrow_mut().changed = true;
        }
    }
}

impl<W> Drop for OpenPlace<W> {
    fn drop(&mut self) {
        self.note_read();
        self.state.loads.borrow_mut().close(self.server);
        self.state.news.borrow_mut().changed = true;
        self.state.room.notify_one();
    }
}
