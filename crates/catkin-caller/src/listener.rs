//! Accepts callers' connections and serves them.

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

use crate::answer::answer_request;
use crate::guard::{CutFlag, GuardedStream, UnreadFlag};
use crate::held::HeldBudget;
use crate::idle::{IdleBook, IdleSlot};
use crate::shared::{ConnectionMode, ConnectionShared, ListenerShared};
use crate::{CallService, CallerLimits, CallerShutdown, RequestIds};

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const MIN_BUFFER_BYTES: usize = 8192;

/// Listens for callers and hands each call to a [`CallService`].
#[derive(Debug)]
pub struct CallerListener<S> {
    socket: TcpListener,
    shared: Arc<ListenerShared<S>>,
    idle: Arc<IdleBook>,
}

impl<S: CallService> CallerListener<S> {
    /// Binds an address. Fails as the socket call does.
    pub async fn bind(
        address: SocketAddr,
        limits: CallerLimits,
        ids: RequestIds,
        service: Arc<S>,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let held = Arc::new(HeldBudget::new(limits.max_buffered_bytes));
        let shutdown = CallerShutdown::default();
        let shared = Arc::new(ListenerShared { service, limits, ids, held, shutdown });
        Ok(Self { socket, shared, idle: Arc::default() })
    }

    /// The address that callers reach.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The handle that stops this listener.
    pub fn shutdown_handle(&self) -> CallerShutdown {
        self.shared.shutdown.clone()
    }

    /// Serves until the shutdown is through and every connection's task is joined.
    pub async fn serve(self) {
        let mut connections = JoinSet::new();
        self.accept_until_closing(&mut connections).await;
        drop(self.socket);
        let finished = join_all(&mut connections);
        tokio::select! {
            () = finished => return,
            () = self.shared.shutdown.aborting().cancelled() => {}
        }
        connections.abort_all();
        join_all(&mut connections).await;
    }

    async fn accept_until_closing(&self, connections: &mut JoinSet<()>) {
        let limits = &self.shared.limits;
        let accept_limit = limits.max_connections + limits.max_refused_connections;
        loop {
            let has_room = connections.len() < accept_limit;
            tokio::select! {
                () = self.shared.shutdown.closing().cancelled() => return,
                Some(joined) = connections.join_next() => note_joined(joined),
                accepted = self.socket.accept(), if has_room => match accepted {
                    Ok((stream, _)) => self.open_connection(stream, connections),
                    Err(error) => self.pause_accepting(&error).await,
                },
            }
        }
    }

    fn open_connection(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        metrics::counter!("catkin_caller_connections_total").increment(1);
        let mode = self.choose_mode(connections.len());
        connections.spawn(serve_connection(stream, Arc::clone(&self.shared), &self.idle, mode));
    }

    fn choose_mode(&self, open: usize) -> ConnectionMode {
        if open < self.shared.limits.max_connections || self.idle.evict_oldest() {
            ConnectionMode::Serving
        } else {
            ConnectionMode::Refusing
        }
    }

    async fn pause_accepting(&self, error: &io::Error) {
        metrics::counter!("catkin_caller_accept_errors_total").increment(1);
        if is_callers_fault(error) {
            return;
        }
        log::warn!("caller: accept failed: {error}");
        self.idle.evict_oldest();
        tokio::select! {
            () = self.shared.shutdown.closing().cancelled() => {}
            () = sleep(ACCEPT_PAUSE) => {}
        }
    }
}

fn is_callers_fault(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::ConnectionAborted || kind == io::ErrorKind::ConnectionReset
}

async fn join_all(connections: &mut JoinSet<()>) {
    while let Some(joined) = connections.join_next().await {
        note_joined(joined);
    }
}

fn note_joined(joined: Result<(), JoinError>) {
    match joined {
        Err(error) if !error.is_cancelled() => {
            log::error!("caller: connection task failed: {error}");
        }
        _ => {}
    }
}

fn serve_connection<S: CallService>(
    stream: TcpStream,
    listener: Arc<ListenerShared<S>>,
    idle: &Arc<IdleBook>,
    mode: ConnectionMode,
) -> impl Future<Output = ()> + Send + use<S> {
    let slot = Arc::new(IdleSlot::new(idle, listener.shutdown.closing()));
    async move {
        let cut = CutFlag::default();
        let unread = UnreadFlag::default();
        let connection = Arc::new(ConnectionShared { listener, slot, cut, unread, mode });
        run_connection(stream, connection).await;
    }
}

async fn run_connection<S: CallService>(stream: TcpStream, shared: Arc<ConnectionShared<S>>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller: no-delay not set: {error}");
    }
    let write_timeout = shared.listener.limits.write_timeout;
    let mut stream = GuardedStream::new(stream, shared.cut.clone(), write_timeout);
    serve_requests(&mut stream, &shared).await;
    if shared.unread.is_set() {
        stream.linger().await;
    }
}

async fn serve_requests<S: CallService>(
    stream: &mut GuardedStream,
    shared: &Arc<ConnectionShared<S>>,
) {
    let served = Arc::clone(shared);
    let service = service_fn(move |request| answer_request(Arc::clone(&served), request));
    let builder = build_http(&shared.listener.limits, shared.mode);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return note_ended(shared, result),
        () = shared.slot.stopped() => {}
    }
    if !shared.listener.shutdown.is_closing() && shared.slot.is_idle() {
        metrics::counter!("catkin_caller_evictions_total").increment(1);
        return;
    }
    connection.as_mut().graceful_shutdown();
    note_ended(shared, connection.await);
}

fn build_http(limits: &CallerLimits, mode: ConnectionMode) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(mode == ConnectionMode::Serving);
    builder
}

fn note_ended<S>(connection: &ConnectionShared<S>, result: Result<(), hyper::Error>) {
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
    log::debug!("caller: connection ended: {error}");
}
