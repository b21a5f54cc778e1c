//! State that the tasks of one entry router share. All tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, DomainId, ServerId, VmId};
use catkin_peer::messages::StoppingHelp;
use catkin_policy::{BrittleTable, LimitTable, PauseTable, ReachTable};
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::brittle_exchange::BrittleUpdates;
use crate::budget_book::BudgetBook;
use crate::buffer_budget::BufferBudget;
use crate::cache_index::{CacheIndex, CachedPart};
use crate::cache_sync::CacheSync;
use crate::caller_place::SharedCallers;
use crate::caller_table::{CallerTable, count_allowed_callers};
use crate::cold_exchange::{ColdUpdates, ColdWatch};
use crate::connection_pool::ConnectionPool;
use crate::crash_book::CrashBook;
use crate::crash_check::CheckTable;
use crate::crash_reports::CrashUpdates;
use crate::evacuation_table::EvacuationTable;
use crate::help_offer::encode_offer;
use crate::limit_exchange::{DemandCounter, LimitUpdates};
use crate::load_spread::LotTable;
use crate::load_table::LoadTable;
use crate::origin_book::{OriginBook, StreamKey};
use crate::origin_store::OriginAccess;
use crate::outcome_book::OutcomeBook;
use crate::peer_service::PeerService;
use crate::process::BALANCER_DELAY;
use crate::relay_plan::MAX_SMALL_FLEET;
use crate::route_table::RouteTable;
use crate::server_book::{ServerBook, ServerChange};
use crate::server_copy::ServerList;
use crate::server_selection::LoadBounds;
use crate::settings::EntrySettings;
use crate::speed_book::{SpeedBook, StartedSample};
use crate::speed_table::{SpeedStatement, SpeedTable};
use crate::store_point::StorePoint;
use crate::store_trouble::StoreTrouble;
use crate::waiting_room::RoomBook;
use crate::wire::StoreKind;

/// Fraction of the memory that incomplete answers may take together.
const ANSWER_MEMORY_FRACTION: f64 = 0.15;
/// Fraction of the memory that the bodies of requests may take together.
const BODY_MEMORY_FRACTION: f64 = 0.25;
/// Time without a report of another router and an answer of the store after which servers may have joined
/// unnoticed.
const LIST_CONFIRM_TIME: Duration = Duration::from_millis(1_000);

/// Fraction of the configured load factor that the hard bound uses; the margin allows for late
/// reports of other routers.
const HARD_FRACTION: f64 = 0.92;
/// Requests that the hard bound allows beyond the factor.
const HARD_EXTRA: f64 = 2.0;
/// Fraction of the configured load factor that the soft bound uses, up to which cache reuse
/// decides.
const SOFT_FRACTION: f64 = 0.8;
/// Fraction of both bounds in a large fleet, whose loads are reported less often.
const LARGE_FLEET_FRACTION: f64 = 0.85;
/// Requests that the soft bound allows beyond the factor.
const SOFT_EXTRA: f64 = 2.0;

/// Pending updates for the next reports to other routers.
#[derive(Debug, Default)]
pub(crate) struct PeerUpdates {
    /// Newly cached parts that have not been sent yet. Each is sent twice.
    pub(crate) cached_parts: Vec<CachedPart>,
    /// Cached parts that were sent once and are sent again with the next report.
    pub(crate) parts_to_repeat: Vec<CachedPart>,
    pub(crate) crashes: CrashUpdates,
    pub(crate) limits: LimitUpdates,
    pub(crate) brittle: BrittleUpdates,
    /// What servers stated of their speed to this router since its last report.
    pub(crate) stated_speeds: BTreeMap<ServerId, SpeedStatement>,
    pub(crate) cold: ColdUpdates,
    /// Whether open requests changed since the last report.
    pub(crate) loads_changed: bool,
    /// Whether a report must be sent at the next check, also without other updates.
    pub(crate) send_now: bool,
}

/// Pending updates that a relay sends in one direction.
#[derive(Debug, Default)]
pub(crate) struct RelayUpdates {
    pub(crate) cached_parts: Vec<CachedPart>,
    pub(crate) crashes: CrashUpdates,
    pub(crate) limits: LimitUpdates,
    pub(crate) brittle: BrittleUpdates,
    pub(crate) cold: ColdUpdates,
    /// Servers that routers ejected, and until when the ejection counts.
    pub(crate) ejected: BTreeMap<ServerId, ClockTime>,
    /// Factors of slow servers, and until when they count.
    pub(crate) slow: BTreeMap<ServerId, (f64, ClockTime)>,
    pub(crate) stated_speeds: BTreeMap<ServerId, SpeedStatement>,
}

/// Progress of getting the first list of servers from another router.
#[derive(Debug, Default)]
pub(crate) enum ListCopy {
    /// It is not known yet whether another router must be asked.
    #[default]
    Unplanned,
    /// The list comes from the store.
    FromStore,
    /// The list is long, so another router is asked.
    Wanted,
    /// Another router sent its list.
    Received(ServerList),
}

/// State shared by all tasks of the router.
pub(crate) struct EntryState<W> {
    pub(crate) settings: RefCell<Rc<EntrySettings>>,
    pub(crate) started: Instant,
    pub(crate) local_vm: VmId,
    /// This router's failure domain.
    pub(crate) local_domain: DomainId,
    pub(crate) route_table: RefCell<Option<Rc<RouteTable>>>,
    /// Point and stored text of the declarations in force, to be sent to other routers.
    pub(crate) stored_declarations: RefCell<Option<(StorePoint, Rc<str>)>>,
    pub(crate) servers: RefCell<ServerBook>,
    /// Failure domains whose servers get no requests.
    pub(crate) evacuations: RefCell<EvacuationTable>,
    pub(crate) loads: RefCell<LoadTable>,
    pub(crate) cache_index: RefCell<CacheIndex>,
    pub(crate) outcomes: RefCell<OutcomeBook>,
    pub(crate) speeds: RefCell<SpeedBook>,
    pub(crate) stated_speeds: RefCell<SpeedTable>,
    /// Positions that requests were spread with.
    pub(crate) lots: RefCell<LotTable>,
    pub(crate) budgets: RefCell<BudgetBook>,
    pub(crate) limits: RefCell<LimitTable>,
    /// Servers that fall over when they have to decline requests.
    pub(crate) brittle: RefCell<BrittleTable>,
    /// Servers that are cold or may be.
    pub(crate) cold: RefCell<ColdWatch>,
    /// Servers that asked this router for a pause.
    pub(crate) pauses: RefCell<PauseTable>,
    pub(crate) reach: RefCell<ReachTable>,
    /// Signals that a connect to a server failed.
    pub(crate) connect_failure: Notify,
    pub(crate) demands: RefCell<DemandCounter>,
    /// Requests that wait for room in an order.
    pub(crate) rooms: RefCell<RoomBook>,
    pub(crate) crashes: RefCell<CrashBook>,
    /// Signals that quarantines are to be stored or removed from the store.
    pub(crate) crash_store_change: Notify,
    /// All known routers but this one.
    pub(crate) other_routers: RefCell<Rc<[VmId]>>,
    pub(crate) origins: RefCell<OriginBook>,
    pub(crate) origin_access: OriginAccess,
    /// Streams whose origin other routers are asked for.
    pub(crate) asked_origins: RefCell<BTreeSet<StreamKey>>,
    /// Signals that `asked_origins` grew.
    pub(crate) asked_origins_change: Notify,
    /// Signals that another router reported origins, or that a read of the store ended.
    pub(crate) origins_change: Notify,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) server_checks: RefCell<CheckTable>,
    pub(crate) updates: RefCell<PeerUpdates>,
    /// The other routers, once this one has joined the fleet.
    pub(crate) peers: RefCell<Option<Rc<PeerService>>>,
    /// Pending updates to other domains, if this router is a relay.
    pub(crate) to_other_domains: RefCell<RelayUpdates>,
    /// Pending updates to the own domain, if this router is a relay.
    pub(crate) to_own_domain: RefCell<RelayUpdates>,
    /// Signals that a request may find an available server: a slot was freed, or servers,
    /// declarations or the cache index changed.
    pub(crate) selection_input_change: Notify,
    /// Signals that another router reported its versions.
    pub(crate) peer_versions_change: Notify,
    /// Newest version of the declarations, and latest change of a server's entry, that any router
    /// reported.
    pub(crate) peer_versions: Cell<(u64, StorePoint)>,
    pub(crate) list_copy: RefCell<ListCopy>,
    /// Signals that `list_copy` changed or that servers were listed.
    pub(crate) list_copy_change: Notify,
    pub(crate) joined: Cell<bool>,
    /// Revision of this router's entry in the store.
    pub(crate) entry_revision: Cell<Option<u64>>,
    /// Signals that the store was restored from a copy.
    pub(crate) store_restored: Notify,
    pub(crate) stopping: Cell<Option<Instant>>,
    /// Whether the last call for declarations failed.
    pub(crate) store_failing: Cell<bool>,
    /// When the store last answered a call, by the kind of objects that it was for.
    pub(crate) store_answered: RefCell<BTreeMap<StoreKind, Instant>>,
    /// Failed calls of the clients that follow servers and declarations.
    pub(crate) store_trouble: RefCell<StoreTrouble>,
    /// Whether this router must read the store consistently, that is without stale reads.
    pub(crate) consistent_reads: Cell<bool>,
    /// Whether this router's watches of the store are short.
    pub(crate) short_watches: Cell<bool>,
    /// Signals that watches are to be short from now on.
    pub(crate) watches_shortened: Notify,
    /// Progress of loading the cache index.
    pub(crate) cache_sync: RefCell<CacheSync>,
    /// When the process ends at the latest; `None` until it stops.
    pub(crate) exit_deadline: Cell<Option<Instant>>,
    pub(crate) open_calls: Cell<u32>,
    /// Memory for answers that are kept until they are complete or read.
    pub(crate) answer_budget: Rc<BufferBudget>,
    /// Memory for the bodies of requests.
    pub(crate) body_budget: Rc<BufferBudget>,
    /// Connections of callers.
    pub(crate) callers: SharedCallers,
    /// Cancelled when connections of idle callers are to be closed.
    pub(crate) close_idle_callers: CancellationToken,
    /// Cancelled when the listener for callers is to be closed.
    pub(crate) stop_accepting: CancellationToken,
    /// Cancelled when requests that are still open are to get their final answers.
    pub(crate) end_calls: CancellationToken,
    /// Cancelled when the router is to leave the fleet.
    pub(crate) leave_fleet: CancellationToken,
    /// Cancelled once the router has left the fleet.
    pub(crate) left_fleet: CancellationToken,
    /// Signals that the process resumed after a pause.
    pub(crate) process_resumed: Notify,
    wire: PhantomData<W>,
}

impl<W> EntryState<W> {
    pub(crate) fn new(settings: EntrySettings) -> Self {
        let budgets =
            BudgetBook::new(settings.retry_ratio, settings.retry_extra, settings.first_start);
        let local_vm = VmId::from_name(&settings.vm);
        let max_callers = count_allowed_callers(settings.descriptors, settings.memory_megabytes);
        let answer_bytes = settings.memory_megabytes * 1e6 * ANSWER_MEMORY_FRACTION;
        let body_bytes = settings.memory_megabytes * 1e6 * BODY_MEMORY_FRACTION;
        let origins = match settings.first_start {
            true => OriginBook::default(),
            false => OriginBook::after_restart(ClockTime::ZERO),
        };
        Self {
            local_vm,
            local_domain: DomainId::from_name(&settings.domain),
            settings: RefCell::new(Rc::new(settings)),
            started: Instant::now(),
            route_table: RefCell::default(),
            stored_declarations: RefCell::default(),
            servers: RefCell::default(),
            evacuations: RefCell::default(),
            loads: RefCell::default(),
            cache_index: RefCell::default(),
            outcomes: RefCell::default(),
            speeds: RefCell::default(),
            stated_speeds: RefCell::default(),
            lots: RefCell::default(),
            budgets: RefCell::new(budgets),
            limits: RefCell::new(LimitTable::new(local_vm.0)),
            brittle: RefCell::new(BrittleTable::new(local_vm.0)),
            cold: RefCell::new(ColdWatch::new(local_vm.0)),
            pauses: RefCell::new(PauseTable::new(local_vm.0)),
            reach: RefCell::default(),
            connect_failure: Notify::new(),
            demands: RefCell::default(),
            rooms: RefCell::default(),
            crashes: RefCell::default(),
            crash_store_change: Notify::new(),
            other_routers: RefCell::new(Rc::from([])),
            origins: RefCell::new(origins),
            origin_access: OriginAccess::default(),
            asked_origins: RefCell::default(),
            asked_origins_change: Notify::new(),
            origins_change: Notify::new(),
            pool: RefCell::default(),
            server_checks: RefCell::default(),
            updates: RefCell::default(),
            peers: RefCell::default(),
            to_other_domains: RefCell::default(),
            to_own_domain: RefCell::default(),
            selection_input_change: Notify::new(),
            peer_versions_change: Notify::new(),
            peer_versions: Cell::default(),
            list_copy: RefCell::default(),
            list_copy_change: Notify::new(),
            joined: Cell::new(false),
            entry_revision: Cell::new(None),
            store_restored: Notify::new(),
            stopping: Cell::new(None),
            store_failing: Cell::new(false),
            store_answered: RefCell::default(),
            store_trouble: RefCell::default(),
            consistent_reads: Cell::new(true),
            short_watches: Cell::new(true),
            watches_shortened: Notify::new(),
            cache_sync: RefCell::default(),
            exit_deadline: Cell::new(None),
            open_calls: Cell::new(0),
            answer_budget: Rc::new(BufferBudget::new(answer_bytes as usize)),
            body_budget: Rc::new(BufferBudget::new(body_bytes as usize)),
            callers: Rc::new(RefCell::new(CallerTable::new(max_callers))),
            close_idle_callers: CancellationToken::new(),
            stop_accepting: CancellationToken::new(),
            end_calls: CancellationToken::new(),
            leave_fleet: CancellationToken::new(),
            left_fleet: CancellationToken::new(),
            process_resumed: Notify::new(),
            wire: PhantomData,
        }
    }

    pub(crate) fn now(&self) -> ClockTime {
        ClockTime::ZERO.plus(self.started.elapsed())
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    pub(crate) fn live_routers(&self) -> u32 {
        self.loads.borrow().live_routers(self.now())
    }

    /// Number of routers among which the fleet's extra retries are divided. Those that are silent
    /// count, too: they may retry all the same.
    pub(crate) fn budget_routers(&self) -> u32 {
        if !self.joined.get() {
            return u32::MAX;
        }
        let known = self.other_routers.borrow().len() as u32 + 1;
        known.max(self.live_routers())
    }

    /// Credits the extra retries for the time that has passed.
    pub(crate) fn accrue_retries(&self) {
        let routers = self.joined.get().then(|| self.budget_routers());
        self.budgets.borrow_mut().accrue(self.now(), routers);
    }

    /// Records the software versions of the listed servers.
    pub(crate) fn record_versions(&self) {
        let servers = self.servers.borrow();
        let versions = servers.iter().map(|known| (known.record.service.as_str(), known.software));
        let mut book = self.origins.borrow_mut();
        let known = book.count_all_versions();
        book.record_versions(self.now(), versions);
        if book.count_all_versions() > known {
            self.signal_version();
        }
    }

    /// Whether servers may have joined that this router does not list: others know newer entries, or neither
    /// they nor the store were heard for [`LIST_CONFIRM_TIME`].
    pub(crate) fn is_list_doubtful(&self) -> bool {
        let (_, newest) = self.peer_versions.get();
        let report_millis = self.loads.borrow().newest_report_millis(self.now());
        let is_recent = |age: Duration| age < LIST_CONFIRM_TIME;
        let is_told = report_millis.is_some_and(|age| is_recent(Duration::from_millis(age)));
        let answered = self.store_answered.borrow().values().max().copied();
        let is_answered = answered.is_some_and(|answered| is_recent(answered.elapsed()));
        self.servers.borrow().is_outdated(newest) || !(is_told || is_answered)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// What this router offers to others while it stops. It may exit early once idle callers are closed.
    pub(crate) fn stopping_help(&self) -> Option<StoppingHelp> {
        let (stopping, exit) = self.stopping.get().zip(self.exit_deadline.get())?;
        let left = |until: Instant| until.saturating_duration_since(Instant::now());
        let port = self.settings().callers.port();
        Some(encode_offer(port, left(exit.min(stopping + BALANCER_DELAY)), left(exit)))
    }

    /// Whether requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.route_table.borrow().is_some() && !self.servers.borrow().is_empty();
        known
            && self.knows_evacuations()
            && self.joined.get()
            && !self.is_stopping()
            && self.has_caller_room()
    }

    /// Whether there is room for new callers.
    fn has_caller_room(&self) -> bool {
        let mut table = self.callers.borrow_mut();
        let was_full = table.is_full();
        let is_full = table.update_full(self.now());
        let connections = table.len();
        if is_full && !was_full {
            log::warn!(
                "caller: nearly all connections have requests; the router is not ready. \
                 connections={connections}"
            );
        }
        if was_full && !is_full {
            log::info!(
                "caller: there is room for new connections; the router is ready again. \
                 connections={connections}"
            );
        }
        !is_full
    }

    pub(crate) fn load_bounds(&self) -> LoadBounds {
        let factor = self.settings.borrow().load_factor;
        let large = self.live_routers() as usize > MAX_SMALL_FLEET;
        let fraction = if large { LARGE_FLEET_FRACTION } else { 1.0 };
        LoadBounds {
            soft_factor: factor * SOFT_FRACTION * fraction,
            soft_extra: SOFT_EXTRA * fraction,
            hard_factor: factor * HARD_FRACTION * fraction,
            hard_extra: HARD_EXTRA * fraction,
        }
    }

    /// Applies a change of the server list, and logs it if `log_it` is set. The state of a server
    /// that left or restarted is removed.
    pub(crate) fn apply_change(&self, change: ServerChange, log_it: bool) {
        if log_it {
            log_change(change);
        }
        match change {
            ServerChange::Unchanged => return,
            ServerChange::Appeared(_) => {
                self.record_versions();
                // Routers that the store does not answer learn of it from others.
                self.updates.borrow_mut().send_now = true;
            }
            ServerChange::Leaving(server) => {
                self.pool.borrow_mut().drop_idle_to(server);
                self.updates.borrow_mut().send_now = true;
            }
            ServerChange::Removed(server) => {
                self.remove_server(server);
                self.updates.borrow_mut().send_now = true;
            }
        }
        self.selection_input_change.notify_waiters();
    }

    pub(crate) fn remove_server(&self, server: ServerId) {
        self.cache_index.borrow_mut().remove_server(server);
        self.outcomes.borrow_mut().remove_server(server);
        self.speeds.borrow_mut().remove_server(server);
        self.stated_speeds.borrow_mut().remove_server(server);
        self.limits.borrow_mut().remove_server(server);
        self.brittle.borrow_mut().remove_server(server);
        self.cold.borrow_mut().remove_server(server);
        self.pauses.borrow_mut().remove_server(server);
        self.pool.borrow_mut().drop_idle_to(server);
    }
}

fn log_change(change: ServerChange) {
    match change {
        ServerChange::Unchanged => {}
        ServerChange::Appeared(server) => log::info!("servers: new server. server={server}"),
        ServerChange::Leaving(server) => {
            log::info!("servers: server is leaving; no new requests. server={server} source=store");
        }
        ServerChange::Removed(server) => {
            log::info!("servers: server was removed, and its state with it. server={server}");
        }
    }
}

/// The slot of an open request at a server. Counted in the load until dropped.
pub(crate) struct OpenSlot<W> {
    state: Rc<EntryState<W>>,
    pub(crate) server: ServerId,
    /// Prompt tokens of the request that the server has yet to prefill.
    unread_tokens: u64,
    /// Prompt tokens, of this and other requests, that the server had to prefill at first; `None`
    /// once the start of the answer was measured, or if it can't be compared with others.
    tokens_ahead: Option<u64>,
    assigned: Instant,
}

impl<W> OpenSlot<W> {
    /// Counts a request as open at `server`, which has `unread_tokens` to prefill for it, and
    /// `tokens_ahead` with those of the requests before it.
    pub(crate) fn acquire(
        state: &Rc<EntryState<W>>,
        server: ServerId,
        unread_tokens: u64,
        tokens_ahead: Option<u64>,
    ) -> Self {
        state.loads.borrow_mut().open(server, unread_tokens);
        state.updates.borrow_mut().loads_changed = true;
        let assigned = Instant::now();
        Self { state: Rc::clone(state), server, unread_tokens, tokens_ahead, assigned }
    }

    /// Records that the server started a successful answer, as a sample of its speed.
    pub(crate) fn record_start(&mut self, service: &str) {
        let Some(tokens) = self.tokens_ahead.take() else { return };
        let sample = StartedSample { tokens, millis: self.assigned.elapsed().as_millis() as u64 };
        let now = self.state.now();
        self.state.speeds.borrow_mut().record_start(now, service, sample);
    }

    /// Records the pace of the answer: the time between two events, or that of a whole answer.
    pub(crate) fn record_pace(&self, service: &str, pace: Duration) {
        let now = self.state.now();
        let millis = pace.as_secs_f64() * 1_000.0;
        self.state.speeds.borrow_mut().record_pace(now, service, self.server, millis);
    }

    /// Time since the request was assigned to the server.
    pub(crate) fn elapsed(&self) -> Duration {
        self.assigned.elapsed()
    }

    /// Marks the prompt as prefilled by the server.
    pub(crate) fn mark_prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens > 0 {
            self.state.loads.borrow_mut().mark_prefilled(self.server, tokens);
            self.state.updates.borrow_mut().loads_changed = true;
        }
    }
}

impl<W> Drop for OpenSlot<W> {
    fn drop(&mut self) {
        self.mark_prefilled();
        self.state.loads.borrow_mut().close(self.server);
        self.state.brittle.borrow_mut().record_end(self.state.now(), self.server);
        self.state.updates.borrow_mut().loads_changed = true;
        self.state.wake_for_room();
    }
}
