//! Process of an entry router: start, background tasks, settings reload, stop.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::ClockTime;
use catkin_policy::ReachKey;
use metrics_exporter_prometheus::PrometheusHandle;
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::admin_listener::{AdminAnswer, bind, log_failed_task, serve_admin};
use crate::cache_loader::load_cache_index;
use crate::caller::serve_connection;
use crate::caller_place::CallerPlace;
use crate::evacuation_follower::follow_evacuations;
use crate::join::{join_fleet, keep_entry, leave_fleet};
use crate::load_table::ServiceKey;
use crate::logging::start_logging;
use crate::metrics_recorder::{maintain_metrics, start_metrics};
use crate::origin_store::{read_origins, write_origins};
use crate::pause_watch::{CHECK_INTERVAL, PauseWatch};
use crate::peer_service::{PeerService, close_service};
use crate::reach_watch::{reach_key, watch_reach};
use crate::settings::{EntrySettings, parse_settings};
use crate::state::EntryState;
use crate::store_follower::follow_kind;
use crate::strike_store::follow_strikes;
use crate::wire::{EntryWire, StoreKind};

/// Time after the stop signal for which connections of idle callers stay open. The load balancer
/// checks readiness once a second and removes a router after two negative answers.
pub(crate) const BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for leaving the fleet.
const EXIT_TIME: Duration = Duration::from_millis(600);
/// Interval of checks whether all callers are done.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks whether all open requests have their final answers.
const FINAL_ANSWER_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of checks of the settings file.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval at which expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of checks for idle callers to end while the limit of connections is near.
const EXCESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an entry router with the settings at `path` until a signal stops it.
///
/// Fails if the settings are invalid, a listener cannot be bound or a background task ends.
pub fn run_entry<W: EntryWire>(path: &Path) -> miette::Result<()> {
    let (settings, text) = load_settings(path)?;
    start_logging(&settings.vm, settings.log_lines_per_second).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    let tasks = LocalSet::new();
    let file = SettingsFile { path: path.to_owned(), text };
    runtime.block_on(tasks.run_until(serve::<W>(settings, file))).into_diagnostic()
}

/// Reads and checks the settings at `path`. Fails if the file cannot be read or is invalid.
pub fn read_settings(path: &Path) -> miette::Result<EntrySettings> {
    Ok(load_settings(path)?.0)
}

fn load_settings(path: &Path) -> miette::Result<(EntrySettings, String)> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {name}"))?;
    Ok((parse_settings(&text, &name)?, text))
}

/// The settings file, and its text as last read.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// Signals that reload the settings or stop the process. Their handlers are installed before
/// anything else, since an unhandled signal ends the process.
struct ProcessSignals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl ProcessSignals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

async fn serve<W: EntryWire>(settings: EntrySettings, file: SettingsFile) -> io::Result<()> {
    let ProcessSignals { hangup, interrupt, terminate } = ProcessSignals::install()?;
    let handle = start_metrics();
    let callers = bind(settings.callers, "caller listener").await?;
    let ready = bind(settings.ready, "readiness listener").await?;
    let metrics = bind(settings.metrics, "metrics listener").await?;
    log::info!(
        "process: started. callers={} ready={} peers={} store={} version={}",
        settings.callers,
        settings.ready,
        settings.peers,
        settings.store,
        env!("CARGO_PKG_VERSION")
    );
    let state = Rc::new(EntryState::<W>::new(settings));
    let mut tasks = JoinSet::new();
    tasks.spawn_local(accept_callers(callers, Rc::clone(&state)));
    tasks.spawn_local(serve_readiness(ready, Rc::clone(&state)));
    tasks.spawn_local(maintain_metrics(handle.clone()));
    tasks.spawn_local(serve_metrics(metrics, handle, Rc::clone(&state)));
    tasks.spawn_local(follow_kind(Rc::clone(&state), StoreKind::Declarations));
    tasks.spawn_local(follow_kind(Rc::clone(&state), StoreKind::Servers));
    tasks.spawn_local(follow_evacuations(Rc::clone(&state)));
    tasks.spawn_local(follow_strikes(Rc::clone(&state)));
    tasks.spawn_local(run_peers(Rc::clone(&state)));
    tasks.spawn_local(maintain_state(Rc::clone(&state)));
    tasks.spawn_local(watch_reach(Rc::clone(&state)));
    tasks.spawn_local(follow_settings(Rc::clone(&state), file, hangup));
    let stopped = tokio::select! {
        () = wait_for_stop(interrupt, terminate) => Ok(()),
        Some(ended) = tasks.join_next() => {
            log::error!("process: background task ended; stopping the router. result={ended:?}");
            Err(io::Error::other("a background task of the router ended"))
        }
    };
    if stopped.is_ok() {
        drain(&state).await;
    }
    tasks.abort_all();
    while tasks.join_next().await.is_some() {}
    log::info!("process: stopped. open_calls={}", state.open_calls.get());
    stopped
}

async fn accept_callers<W: EntryWire>(listener: TcpListener, state: Rc<EntryState<W>>) {
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        end_excess(&state);
        let (has_room, is_near_limit) = {
            let table = state.callers.borrow();
            (table.has_room(), table.ends_answered())
        };
        tokio::select! {
            () = state.stop_accepting.cancelled(), if listener.is_some() => listener = None,
            Some(joined) = connections.join_next() => log_failed_task(joined),
            accepted = accept_stream(listener.as_ref()), if has_room => match accepted {
                Ok((stream, _)) => {
                    let place = CallerPlace::open(&state.callers, state.now());
                    connections.spawn_local(serve_connection(Rc::clone(&state), stream, place));
                }
                Err(error) => {
                    log::warn!(
                        "caller: accepting a connection failed; retrying after a delay. error={error}"
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = sleep(EXCESS_CHECK_INTERVAL), if is_near_limit => {}
        }
    }
}

/// Ends connections of idle callers, so that new ones can be accepted.
fn end_excess<W>(state: &EntryState<W>) {
    let excess = state.callers.borrow_mut().take_excess(state.now());
    if excess.is_empty() {
        return;
    }
    metrics::counter!("catkin_entry_ended_callers_total").increment(excess.len() as u64);
    excess.iter().for_each(CancellationToken::cancel);
}

/// Accepts a connection. Never returns once the listener is closed.
async fn accept_stream(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

async fn serve_readiness<W: EntryWire>(listener: TcpListener, state: Rc<EntryState<W>>) {
    let answer = move |path: &str| {
        let is_ready_path = path.split('?').next() == Some(W::READY_PATH);
        let status = match (is_ready_path, state.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        AdminAnswer { status, body: String::new() }
    };
    serve_admin(listener, answer).await;
}

async fn serve_metrics<W: EntryWire>(
    listener: TcpListener,
    handle: Option<PrometheusHandle>,
    state: Rc<EntryState<W>>,
) {
    let answer = move |_: &str| {
        write_gauges(&state);
        let body = handle.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        AdminAnswer { status: 200, body }
    };
    serve_admin(listener, answer).await;
}

fn write_gauges<W>(state: &EntryState<W>) {
    let version = state.route_table().map_or(0, |table| table.version());
    metrics::gauge!("catkin_entry_declarations_version").set(version as f64);
    metrics::gauge!("catkin_entry_open_calls").set(f64::from(state.open_calls.get()));
    metrics::gauge!("catkin_entry_caller_connections").set(state.callers.borrow().len() as f64);
    metrics::gauge!("catkin_entry_server_connections").set(state.pool.borrow().len() as f64);
    metrics::gauge!("catkin_entry_kept_parts").set(state.cache_index.borrow().len() as f64);
    let quarantined = state.crashes.borrow().quarantined_parts(state.now()).len();
    metrics::gauge!("catkin_entry_quarantined_parts").set(quarantined as f64);
    let limited = state.limits.borrow().statements().count();
    metrics::gauge!("catkin_entry_limited_servers").set(limited as f64);
    let brittle = state.brittle.borrow().statements().count();
    metrics::gauge!("catkin_entry_brittle_servers").set(brittle as f64);
    let cold = state.cold.borrow().table.count(state.now());
    metrics::gauge!("catkin_entry_cold_servers").set(cold as f64);
    let paused = state.pauses.borrow().count(state.now());
    metrics::gauge!("catkin_entry_paused_servers").set(paused as f64);
    let evacuated = state.evacuations.borrow().len();
    metrics::gauge!("catkin_entry_evacuated_domains").set(evacuated as f64);
    let lost = state.reach.borrow().lost_services().count();
    metrics::gauge!("catkin_entry_lost_services").set(lost as f64);
    metrics::gauge!("catkin_entry_routers").set(f64::from(state.live_routers()));
    write_load_gauges(state);
    for (kind, answered) in state.store_answered.borrow().iter() {
        let kind = format!("{kind:?}");
        metrics::gauge!("catkin_entry_store_answer_age_seconds", "kind" => kind)
            .set(answered.elapsed().as_secs_f64());
    }
}

async fn run_peers<W: EntryWire>(state: Rc<EntryState<W>>) {
    let service = Rc::new(join_fleet(&state).await);
    *state.peers.borrow_mut() = Some(Rc::clone(&service));
    state.joined.set(true);
    let exchange = async {
        tokio::join!(
            service.receive(&state),
            service.send_reports(&state),
            service.announce_to_silent(&state),
            load_cache_index(&state, &service),
            service.request_server_list(&state),
            service.answer_list_requests(&state),
            service.query_origins(&state),
            read_origins(&state),
            write_origins(&state, &service),
            keep_entry(&state),
        );
    };
    tokio::select! {
        () = exchange => {}
        () = state.leave_fleet.cancelled() => {}
    }
    leave(&service, &state).await;
    // This task must not end before the process, which treats the end of a task as
    // a failure.
    std::future::pending::<()>().await;
}

async fn leave<W: EntryWire>(service: &PeerService, state: &EntryState<W>) {
    metrics::gauge!("catkin_entry_peer_bytes").set(service.sent_bytes() as f64);
    close_service(service, state).await;
    leave_fleet(state).await;
    state.left_fleet.cancel();
}

/// Detects pauses of the process and removes expired state.
async fn maintain_state<W: EntryWire>(state: Rc<EntryState<W>>) {
    let mut watch = PauseWatch::start();
    let mut last_expiry = Instant::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(pause) = watch.check() {
            log::warn!(
                "process: paused; reports and idle connections discarded. millis={}",
                pause.as_millis()
            );
            discard_stale_state(&state);
            state.check_cold_pause(true);
        }
        state.check_cold_pause(false);
        state.remove_warm_servers();
        let dropped = state.servers.borrow_mut().remove_missing(state.now());
        state.record_versions();
        state.check_pending_versions();
        for server in dropped {
            log::info!("servers: still missing from the store; removed. server={server}");
            state.remove_server(server);
        }
        if last_expiry.elapsed() >= EXPIRY_INTERVAL {
            last_expiry = Instant::now();
            remove_expired(&state, state.now());
        }
    }
}

/// Removes reports and idle connections after a pause of the process, which may have outdated them.
fn discard_stale_state<W: EntryWire>(state: &EntryState<W>) {
    state.loads.borrow_mut().clear_reports();
    state.pool.borrow_mut().drop_idle();
    state.process_resumed.notify_waiters();
}

fn remove_expired<W: EntryWire>(state: &EntryState<W>, now: ClockTime) {
    state.loads.borrow_mut().remove_expired(now);
    state.cache_index.borrow_mut().remove_expired(now);
    state.crashes.borrow_mut().remove_expired();
    state.speeds.borrow_mut().remove_expired(now);
    state.stated_speeds.borrow_mut().remove_expired(now);
    let servers = state.servers.borrow();
    state.limits.borrow_mut().remove_expired(now, |server| servers.get(server).is_some());
    state.brittle.borrow_mut().remove_expired(now, |server| servers.get(server).is_some());
    state.pauses.borrow_mut().remove_expired(now);
    let listed: BTreeSet<ReachKey> =
        servers.iter().map(|known| reach_key(&known.record.service)).collect();
    let services: BTreeSet<ServiceKey> =
        servers.iter().map(|known| ServiceKey::from_name(&known.record.service)).collect();
    state.lots.borrow_mut().retain_services(|service| services.contains(&service));
    state.reach.borrow_mut().retain_services(|service| listed.contains(&service));
    state.demands.borrow_mut().remove_expired(now);
    state.rooms.borrow_mut().remove_expired(now);
    state.pool.borrow_mut().drop_expired(Instant::now());
}

/// Writes for each service the load of its busiest server relative to the mean, as this router knows it.
fn write_load_gauges<W>(state: &EntryState<W>) {
    let servers = state.servers.borrow();
    let loads = state.loads.borrow();
    let mut services: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
    for known in servers.iter().filter(|known| !known.record.leaving) {
        let open = loads.total_load(known.server).open;
        let (count, sum, most) = services.entry(&known.record.service).or_default();
        (*count, *sum, *most) = (*count + 1, *sum + open, open.max(*most));
    }
    for (service, (count, sum, most)) in services {
        let mean = f64::from(sum) / f64::from(count);
        let ratio = if sum > 0 { f64::from(most) / mean } else { 1.0 };
        let service = service.to_owned();
        metrics::gauge!("catkin_entry_busiest_over_mean", "service" => service).set(ratio);
    }
}

async fn follow_settings<W: EntryWire>(
    state: Rc<EntryState<W>>,
    mut file: SettingsFile,
    mut hangup: Signal,
) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("process: SIGHUP received; reading the settings."),
            () = sleep(SETTINGS_CHECK_INTERVAL) => {}
        }
        match std::fs::read_to_string(&file.path) {
            Ok(found) if found != file.text => {
                reload_settings(&state, &found, &file.path);
                file.text = found;
            }
            Ok(_) => {}
            Err(error) => log::warn!(
                "process: settings file cannot be read; the current settings stay. error={error}"
            ),
        }
    }
}

/// Applies new settings. New addresses take effect at the next start.
fn reload_settings<W: EntryWire>(state: &EntryState<W>, text: &str, path: &Path) {
    match parse_settings(text, &path.display().to_string()) {
        Ok(settings) => {
            state.budgets.borrow_mut().set_limits(settings.retry_ratio, settings.retry_extra);
            *state.settings.borrow_mut() = Rc::new(settings);
            log::info!("process: settings reloaded.");
        }
        Err(error) => {
            log::error!("process: settings rejected; the current settings stay. error={error}")
        }
    }
}

async fn wait_for_stop(mut interrupt: Signal, mut terminate: Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Serves until all callers are done or the grace period is over, then leaves the fleet.
async fn drain<W: EntryWire>(state: &EntryState<W>) {
    let began = Instant::now();
    let deadline = began + state.settings().grace().saturating_sub(EXIT_TIME);
    state.stopping.set(Some(began));
    state.exit_deadline.set(Some(deadline));
    log::info!("process: stopping; waiting for callers. open_calls={}", state.open_calls.get());
    sleep(BALANCER_DELAY.min(deadline.saturating_duration_since(began))).await;
    state.close_idle_callers.cancel();
    let done = async {
        wait_for_callers(state).await;
        // Callers that connect before the listener is closed must be answered, too.
        state.stop_accepting.cancel();
        sleep(DRAIN_CHECK_INTERVAL).await;
        wait_for_callers(state).await;
    };
    let complete = timeout_at(deadline, done).await.is_ok();
    state.stop_accepting.cancel();
    log::info!(
        "process: wait for callers ended; ending open requests and leaving the fleet. whole={complete} \
         open_calls={}",
        state.open_calls.get()
    );
    state.end_calls.cancel();
    state.leave_fleet.cancel();
    tokio::join!(
        finish_within("ending open requests", EXIT_TIME / 2, wait_for_calls(state)),
        finish_within("leaving the fleet", EXIT_TIME / 2, state.left_fleet.cancelled()),
    );
}

async fn wait_for_calls<W>(state: &EntryState<W>) {
    while state.open_calls.get() > 0 {
        sleep(FINAL_ANSWER_INTERVAL).await;
    }
}

async fn wait_for_callers<W>(state: &EntryState<W>) {
    while !state.callers.borrow().is_empty() {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

async fn finish_within(name: &str, limit: Duration, work: impl Future<Output = ()>) {
    if tokio::time::timeout(limit, work).await.is_err() {
        log::warn!("process: {name} timed out; stopping anyway.");
    }
}
