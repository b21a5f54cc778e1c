//! An entry router's process: start, duties, reload, stop.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::ClockTime;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep, timeout_at};

use crate::cache_loader::load_cache_index;
use crate::caller::serve_connection;
use crate::join::{join_fleet, leave_fleet};
use crate::logging::start_logging;
use crate::pause::{LOOK_PAUSE, PauseWatch};
use crate::peer_service::{PeerService, close_desk};
use crate::settings::{EntrySettings, parse_settings};
use crate::side_listener::{SideAnswer, bind, note_joined, serve_side};
use crate::state::EntryState;
use crate::store_follower::follow_kind;
use crate::wire::{EntryWire, StoreKind};

/// How long after the stop signal idle callers are kept: the balancer asks once a second and
/// takes a router out after two answers.
const BALANCER_TIME: Duration = Duration::from_millis(2_600);
/// Time kept back from the grace for leaving.
const EXIT_TIME: Duration = Duration::from_millis(600);
/// Pause between two looks whether all callers are done.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks at the settings file.
const SETTINGS_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause between two tidyings of the books.
const TIDY_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Descriptors kept for everything but callers.
const RESERVED_DESCRIPTORS: u64 = 600;
/// Connections that are taken whatever the limits say.
const MIN_CONNECTIONS: u64 = 16;
/// Part of the memory that callers' connections may take.
const CONNECTIONS_PART: f64 = 0.5;
/// Memory that one connection takes at most while a request is answered: what is read ahead.
const CONNECTION_BYTES: f64 = 65_536.0;
/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0];

/// Runs an entry router with the settings at `path` until it is told to stop.
pub fn run_entry<W: EntryWire>(path: &Path) -> miette::Result<()> {
    let (settings, text) = load_settings(path)?;
    start_logging(&settings.vm, settings.log_lines_per_second).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    let tasks = LocalSet::new();
    let file = SettingsFile { path: path.to_owned(), text };
    runtime.block_on(tasks.run_until(serve::<W>(settings, file))).into_diagnostic()
}

/// Reads and checks settings.
pub fn read_settings(path: &Path) -> miette::Result<EntrySettings> {
    Ok(load_settings(path)?.0)
}

fn load_settings(path: &Path) -> miette::Result<(EntrySettings, String)> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).into_diagnostic().wrap_err(name.clone())?;
    Ok((parse_settings(&text, &name)?, text))
}

/// The settings file, and its text as last read.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

/// Signals that the process is told things by. Watched before anything else, since they end a process
/// that does not watch them.
struct ProcessSignals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl ProcessSignals {
    fn watch() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }
}

async fn serve<W: EntryWire>(settings: EntrySettings, file: SettingsFile) -> io::Result<()> {
    let ProcessSignals { hangup, interrupt, terminate } = ProcessSignals::watch()?;
    let handle = start_metrics();
    let callers = bind(settings.callers, "callers' listener").await?;
    let ready = bind(settings.ready, "ready listener").await?;
    let metrics = bind(settings.metrics, "metrics listener").await?;
    log::info!(
        "process: Started. callers={} ready={} peers={} store={} version={}",
        settings.callers,
        settings.ready,
        settings.peers,
        settings.store,
        env!("CARGO_PKG_VERSION")
    );
    let state = Rc::new(EntryState::<W>::new(settings));
    let mut duties = JoinSet::new();
    duties.spawn_local(accept_callers(callers, Rc::clone(&state)));
    duties.spawn_local(answer_ready(ready, Rc::clone(&state)));
    duties.spawn_local(answer_metrics(metrics, handle, Rc::clone(&state)));
    duties.spawn_local(follow_kind(Rc::clone(&state), StoreKind::Declarations));
    duties.spawn_local(follow_kind(Rc::clone(&state), StoreKind::Servers));
    duties.spawn_local(run_peers(Rc::clone(&state)));
    duties.spawn_local(look_after(Rc::clone(&state)));
    duties.spawn_local(follow_settings(Rc::clone(&state), file, hangup));
    let stopped = tokio::select! {
        () = wait_for_stop(interrupt, terminate) => Ok(()),
        Some(ended) = duties.join_next() => {
            log::error!("process: A duty ended. result={ended:?}");
            Err(io::Error::other("a duty of the router ended"))
        }
    };
    if stopped.is_ok() {
        drain(&state).await;
    }
    duties.abort_all();
    while duties.join_next().await.is_some() {}
    log::info!("process: Stopped. open_calls={}", state.open_calls.get());
    stopped
}

fn start_metrics() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new();
    let suffix = Matcher::Suffix("_seconds".to_owned());
    let recorder = builder.set_buckets_for_metric(suffix, &LATENCY_BUCKETS);
    let recorder = match recorder {
        Ok(builder) => builder.build_recorder(),
        Err(error) => {
            log::error!("process: No metrics. error={error}");
            return None;
        }
    };
    let handle = recorder.handle();
    if let Err(error) = metrics::set_global_recorder(recorder) {
        log::error!("process: No metrics. error={error}");
        return None;
    }
    Some(handle)
}

async fn accept_callers<W: EntryWire>(listener: TcpListener, state: Rc<EntryState<W>>) {
    let mut connections = JoinSet::new();
    let most = most_connections(&state.settings());
    let mut listener = Some(listener);
    loop {
        tokio::select! {
            () = state.stop_accepting.cancelled(), if listener.is_some() => listener = None,
            Some(joined) = connections.join_next() => {
                state.connections.set(connections.len());
                note_joined(joined);
            }
            accepted = accept_some(listener.as_ref()), if connections.len() < most => match accepted {
                Ok((stream, _)) => {
                    connections.spawn_local(serve_connection(Rc::clone(&state), stream));
                    state.connections.set(connections.len());
                }
                Err(error) => {
                    log::warn!("caller: A connection was not accepted. error={error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

/// Accepts a connection; waits forever once the listener is closed.
async fn accept_some(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => std::future::pending().await,
    }
}

/// Callers' connections that descriptors and memory allow.
fn most_connections(settings: &EntrySettings) -> usize {
    let by_descriptors = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let bytes = settings.memory_megabytes * 1e6 * CONNECTIONS_PART;
    let by_memory = (bytes / CONNECTION_BYTES) as u64;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
}

async fn answer_ready<W: EntryWire>(listener: TcpListener, state: Rc<EntryState<W>>) {
    let answer = move |path: &str| {
        let asked = path.split('?').next() == Some(W::READY_PATH);
        let status = match (asked, state.is_ready()) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        SideAnswer { status, body: String::new() }
    };
    serve_side(listener, answer).await;
}

async fn answer_metrics<W: EntryWire>(
    listener: TcpListener,
    handle: Option<PrometheusHandle>,
    state: Rc<EntryState<W>>,
) {
    let answer = move |_: &str| {
        write_gauges(&state);
        let body = handle.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        SideAnswer { status: 200, body }
    };
    serve_side(listener, answer).await;
}

fn write_gauges<W>(state: &EntryState<W>) {
    let version = state.table().map_or(0, |table| table.version());
    metrics::gauge!("catkin_entry_declarations_version").set(version as f64);
    metrics::gauge!("catkin_entry_open_calls").set(f64::from(state.open_calls.get()));
    metrics::gauge!("catkin_entry_caller_connections").set(state.connections.get() as f64);
    metrics::gauge!("catkin_entry_server_connections").set(state.pool.borrow().len() as f64);
    metrics::gauge!("catkin_entry_kept_parts").set(state.cache_index.borrow().len() as f64);
    metrics::gauge!("catkin_entry_routers").set(f64::from(state.live_routers()));
}

async fn run_peers<W: EntryWire>(state: Rc<EntryState<W>>) {
    let desk = join_fleet(&state).await;
    state.joined.set(true);
    let working = async {
        tokio::join!(
            desk.receive(&state),
            desk.report(&state),
            desk.greet(&state),
            load_cache_index(&state, &desk),
        );
    };
    tokio::select! {
        () = working => {}
        () = state.leave_fleet.cancelled() => {}
    }
    leave(&desk, &state).await;
    // The duty ends with the process, not before.
    std::future::pending::<()>().await;
}

async fn leave<W: EntryWire>(desk: &PeerService, state: &EntryState<W>) {
    metrics::gauge!("catkin_entry_peer_bytes").set(desk.sent_bytes() as f64);
    close_desk(desk, state).await;
    leave_fleet(state).await;
    state.left_fleet.cancel();
}

/// Notices pauses and drops what is old.
async fn look_after<W: EntryWire>(state: Rc<EntryState<W>>) {
    let mut watch = PauseWatch::start();
    let mut tidied = Instant::now();
    loop {
        sleep(LOOK_PAUSE).await;
        if let Some(pause) = watch.look() {
            log::warn!("process: Stood still. millis={}", pause.as_millis());
            distrust_all(&state);
        }
        let dropped = state.servers.borrow_mut().drop_missing(state.now());
        for server in dropped {
            log::info!("servers: Still missing, dropped. server={server}");
            state.forget_server(server);
        }
        if tidied.elapsed() >= TIDY_PAUSE {
            tidied = Instant::now();
            tidy(&state, state.now());
        }
    }
}

/// After a pause, nothing heard before can be relied on.
fn distrust_all<W: EntryWire>(state: &EntryState<W>) {
    state.loads.borrow_mut().clear_reports();
    state.pool.borrow_mut().forget_idle();
    state.process_resumed.notify_waiters();
}

fn tidy<W: EntryWire>(state: &EntryState<W>, now: ClockTime) {
    state.loads.borrow_mut().drop_expired(now);
    state.cache_index.borrow_mut().drop_expired(now);
    state.pool.borrow_mut().drop_old(Instant::now());
}

async fn follow_settings<W: EntryWire>(
    state: Rc<EntryState<W>>,
    mut file: SettingsFile,
    mut hangup: Signal,
) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("process: SIGHUP."),
            () = sleep(SETTINGS_PAUSE) => {}
        }
        match std::fs::read_to_string(&file.path) {
            Ok(found) if found != file.text => {
                reload(&state, &found, &file.path);
                file.text = found;
            }
            Ok(_) => {}
            Err(error) => log::warn!("process: Settings can't be read. error={error}"),
        }
    }
}

/// Takes new settings. Addresses stay as they were until the next start.
fn reload<W: EntryWire>(state: &EntryState<W>, text: &str, path: &Path) {
    match parse_settings(text, &path.display().to_string()) {
        Ok(settings) => {
            state.budgets.borrow_mut().set_limits(settings.retry_ratio, settings.retry_extra);
            *state.settings.borrow_mut() = Rc::new(settings);
            log::info!("process: Settings reloaded.");
        }
        Err(error) => log::error!("process: Settings are ignored. error={error}"),
    }
}

async fn wait_for_stop(mut interrupt: Signal, mut terminate: Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Serves on until callers are done or the grace is over.
async fn drain<W: EntryWire>(state: &EntryState<W>) {
    let began = Instant::now();
    let until = began + state.settings().grace().saturating_sub(EXIT_TIME);
    state.stopping.set(Some(began));
    state.exit_deadline.set(Some(until));
    log::info!("process: Stopping. open_calls={}", state.open_calls.get());
    sleep(BALANCER_TIME.min(until.saturating_duration_since(began))).await;
    state.close_idle_callers.cancel();
    let done = async {
        wait_for_callers(state).await;
        // A caller may come until the listener is closed, and must be answered, too.
        state.stop_accepting.cancel();
        sleep(DRAIN_PAUSE).await;
        wait_for_callers(state).await;
    };
    let whole = timeout_at(until, done).await.is_ok();
    state.stop_accepting.cancel();
    log::info!("process: Drained. whole={whole} open_calls={}", state.open_calls.get());
    state.leave_fleet.cancel();
    finish_within(EXIT_TIME / 2, state.left_fleet.cancelled()).await;
}

async fn wait_for_callers<W>(state: &EntryState<W>) {
    while state.connections.get() > 0 {
        sleep(DRAIN_PAUSE).await;
    }
}

async fn finish_within(limit: Duration, work: impl Future<Output = ()>) {
    if tokio::time::timeout(limit, work).await.is_err() {
        log::warn!("process: The fleet was not told of the end in time.");
    }
}
