//! Accepts and serves the connections of callers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinError, JoinSet};
use tokio::time::sleep;

use crate::body_budget::BodyBudget;
use crate::caller_stream::{CallerStream, TruncationFlag, UnreadFlag};
use crate::idle::{IdleQueue, IdleTracker};
use crate::request_handler::handle_request;
use crate::state::{ConnectionMode, ConnectionState, ListenerState};
use crate::{CallService, CallerLimits, CallerShutdown, RequestIds};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// Accepts connections of callers and hands each call to a [`CallService`].
#[derive(Debug)]
pub struct CallerListener<S> {
    socket: TcpListener,
    state: Arc<ListenerState<S>>,
    idle: Arc<IdleQueue>,
}

impl<S: CallService> CallerListener<S> {
    /// Binds `address`. Returns the error of the socket call if it fails.
    pub async fn bind(
        address: SocketAddr,
        limits: CallerLimits,
        ids: RequestIds,
        service: Arc<S>,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let body_budget = Arc::new(BodyBudget::new(limits.max_buffered_bytes));
        let shutdown = CallerShutdown::default();
        let state = Arc::new(ListenerState { service, limits, ids, body_budget, shutdown });
        Ok(Self { socket, state, idle: Arc::default() })
    }

    /// Address on which the listener accepts callers. If port 0 was bound, it has the port chosen
    /// by the system.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Returns a handle that shuts this listener down.
    pub fn shutdown_handle(&self) -> CallerShutdown {
        self.state.shutdown.clone()
    }

    /// Serves callers until the shutdown is complete and the tasks of all connections have ended.
    pub async fn serve(self) {
        let mut connections = JoinSet::new();
        self.accept_until_closing(&mut connections).await;
        drop(self.socket);
        let finished = join_connections(&mut connections);
        tokio::select! {
            () = finished => return,
            () = self.state.shutdown.aborting().cancelled() => {}
        }
        connections.abort_all();
        join_connections(&mut connections).await;
    }

    async fn accept_until_closing(&self, connections: &mut JoinSet<()>) {
        let limits = &self.state.limits;
        let accept_limit = limits.max_connections + limits.max_refused_connections;
        loop {
            let has_capacity = connections.len() < accept_limit;
            tokio::select! {
                () = self.state.shutdown.closing().cancelled() => return,
                Some(joined) = connections.join_next() => log_task_failure(joined),
                accepted = self.socket.accept(), if has_capacity => match accepted {
                    Ok((stream, _)) => self.open_connection(stream, connections),
                    Err(error) => self.handle_accept_error(&error).await,
                },
            }
        }
    }

    fn open_connection(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        metrics::counter!("catkin_caller_connections_total").increment(1);
        let mode = self.choose_mode(connections.len());
        connections.spawn(serve_connection(stream, Arc::clone(&self.state), &self.idle, mode));
    }

    fn choose_mode(&self, open: usize) -> ConnectionMode {
        if open < self.state.limits.max_connections || self.idle.evict_oldest() {
            ConnectionMode::Serving
        } else {
            ConnectionMode::Refusing
        }
    }

    async fn handle_accept_error(&self, error: &io::Error) {
        metrics::counter!("catkin_caller_accept_errors_total").increment(1);
        if is_caller_error(error) {
            return;
        }
        log::warn!(
            "caller: accept failed; closing the longest idle connection and retrying: {error}"
        );
        self.idle.evict_oldest();
        tokio::select! {
            () = self.state.shutdown.closing().cancelled() => {}
            () = sleep(ACCEPT_RETRY_DELAY) => {}
        }
    }
}

/// Whether accepting failed because the caller closed its connection first.
fn is_caller_error(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::ConnectionAborted || kind == io::ErrorKind::ConnectionReset
}

async fn join_connections(connections: &mut JoinSet<()>) {
    while let Some(joined) = connections.join_next().await {
        log_task_failure(joined);
    }
}

fn log_task_failure(joined: Result<(), JoinError>) {
    match joined {
        Err(error) if !error.is_cancelled() => {
            log::error!("caller: connection task failed; its connection is closed: {error}");
        }
        _ => {}
    }
}

fn serve_connection<S: CallService>(
    stream: TcpStream,
    listener: Arc<ListenerState<S>>,
    idle: &Arc<IdleQueue>,
    mode: ConnectionMode,
) -> impl Future<Output = ()> + Send + use<S> {
    let tracker = Arc::new(IdleTracker::new(idle, listener.shutdown.closing()));
    async move {
        let truncated = TruncationFlag::default();
        let unread = UnreadFlag::default();
        let connection = Arc::new(ConnectionState { listener, tracker, truncated, unread, mode });
        run_connection(stream, connection).await;
    }
}

async fn run_connection<S: CallService>(stream: TcpStream, state: Arc<ConnectionState<S>>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: setting TCP_NODELAY failed; small writes may be delayed: {error}");
    }
    let write_timeout = state.listener.limits.write_timeout;
    let mut stream = CallerStream::new(stream, state.truncated.clone(), write_timeout);
    serve_requests(&mut stream, &state).await;
    if state.unread.is_set() {
        stream.linger().await;
    }
}

async fn serve_requests<S: CallService>(
    stream: &mut CallerStream,
    state: &Arc<ConnectionState<S>>,
) {
    let handler_state = Arc::clone(state);
    let service = service_fn(move |request| handle_request(Arc::clone(&handler_state), request));
    let builder = build_http_server(&state.listener.limits, state.mode);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return record_connection_end(state, result),
        () = state.tracker.wait_for_stop() => {}
    }
    if !state.listener.shutdown.is_closing() && state.tracker.is_idle() {
        metrics::counter!("catkin_caller_evictions_total").increment(1);
        return;
    }
    connection.as_mut().graceful_shutdown();
    record_connection_end(state, connection.await);
}

fn build_http_server(limits: &CallerLimits, mode: ConnectionMode) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(mode == ConnectionMode::Serving);
    builder
}

fn record_connection_end<S>(connection: &ConnectionState<S>, result: Result<(), hyper::Error>) {
    let Err(error) = result else {
        return;
    };
    let kind = if error.is_parse() {
        connection.unread.set(true);
        "malformed"
    } else if error.is_timeout() {
        "timeout"
    } else {
        "closed"
    };
    metrics::counter!("catkin_caller_broken_connections_total", "kind" => kind).increment(1);
    log::debug!("caller: connection failed and is closed: {error}");
}
