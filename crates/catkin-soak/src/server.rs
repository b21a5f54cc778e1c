//! Stand-in servers: they run or decline requests, crash, leave, and start again under new names.

use std::cell::{Cell, RefCell};
use std::io;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use tokio::io::AsyncWriteExt;

use crate::accept::listen;
use crate::caller::{EVENTS, LONG_PATH_END, encode_event};
use crate::ledger::{ArrivalRecord, CallKind, PauseRecord, ServingPeriod};
use crate::message::{HttpMessage, MessageReader, write_answer};
use crate::run::SoakContext;
use crate::wire::StandinWire;

/// Maximum number of requests that a server runs at once.
pub(crate) const SLOTS: u32 = 16;
/// Maximum duration of the work on a request, in milliseconds.
const MAX_WORK_MILLIS: u64 = 40;
/// Maximum pause between two events of a stream, and of a long one, in milliseconds.
const MAX_EVENT_GAP_MILLIS: u64 = 120;
const MAX_LONG_GAP_MILLIS: u64 = 1_200;
/// One answer in so many is a failure of the server, status 500.
const FAILURE_PERIOD: u32 = 60;
/// One stream in so many has wrong bytes in place of an event.
const SPOIL_PERIOD: u32 = 60;

/// Name and service of the server that runs at an address.
#[derive(Debug, Clone)]
pub(crate) struct ServerIdentity {
    pub(crate) name: String,
    pub(crate) service: String,
    /// Version of its software.
    pub(crate) software: u32,
    /// Time of its start, in milliseconds.
    pub(crate) started: u64,
}

/// The server at one address. It has several identities one after the other.
pub(crate) struct StandinServer<W> {
    pub(crate) address_index: usize,
    context: Rc<SoakContext>,
    identity: RefCell<ServerIdentity>,
    /// Cancelled by a crash; all connections end then.
    crash_token: RefCell<CancellationToken>,
    alive: Cell<bool>,
    /// Whether the server states in its answers that it leaves.
    leaving: Cell<bool>,
    /// Requests per second of all routers that the server names as its limit.
    limit: Cell<Option<u64>>,
    /// Length of the pauses that the server asks for, in milliseconds, while it declines all requests.
    pause: Cell<Option<u64>>,
    running: Cell<u32>,
    /// Time until which the server is cold.
    cold_until: Cell<u64>,
    wire: PhantomData<W>,
}

impl<W: StandinWire> StandinServer<W> {
    pub(crate) fn new(
        context: Rc<SoakContext>,
        address_index: usize,
        identity: ServerIdentity,
    ) -> Self {
        let server = Self {
            address_index,
            context,
            identity: RefCell::new(identity),
            crash_token: RefCell::default(),
            alive: Cell::new(true),
            leaving: Cell::new(false),
            limit: Cell::new(None),
            pause: Cell::new(None),
            running: Cell::new(0),
            cold_until: Cell::new(0),
            wire: PhantomData,
        };
        server.begin_serving();
        server
    }

    fn begin_serving(&self) {
        let ServerIdentity { name, service, software, .. } = self.identity();
        let from = self.context.now();
        let period = ServingPeriod { server: name, service, software, from, until: u64::MAX };
        self.context.ledger.borrow_mut().serving.push(period);
    }

    fn end_serving(&self) {
        let (name, now) = (self.identity().name, self.context.now());
        let mut ledger = self.context.ledger.borrow_mut();
        let open = ledger.serving.iter_mut().rev().find(|period| period.server == name);
        if let Some(period) = open {
            period.until = period.until.min(now);
        }
    }

    pub(crate) fn identity(&self) -> ServerIdentity {
        self.identity.borrow().clone()
    }

    /// Ends all connections and accepts no more.
    pub(crate) fn crash(&self) {
        self.end_serving();
        self.alive.set(false);
        self.crash_token.borrow().cancel();
    }

    /// Names a limit in all further answers, or none.
    pub(crate) fn set_limit(&self, per_second: Option<u64>) {
        self.limit.set(per_second);
    }

    /// Declines all further requests and asks for pauses of this length, in milliseconds, or ends that.
    pub(crate) fn set_pause(&self, millis: Option<u64>) {
        self.pause.set(millis);
    }

    /// Sets the time until which the server is cold.
    pub(crate) fn set_cold_until(&self, until: u64) {
        self.cold_until.set(until);
    }

    /// Whether the server names a limit.
    pub(crate) fn names_limit(&self) -> bool {
        self.limit.get().is_some()
    }

    /// States in all further answers that the server leaves.
    pub(crate) fn leave(&self) {
        self.end_serving();
        self.leaving.set(true);
    }

    /// Starts again under another identity.
    pub(crate) fn start(&self, identity: ServerIdentity) {
        *self.identity.borrow_mut() = identity;
        *self.crash_token.borrow_mut() = CancellationToken::new();
        self.leaving.set(false);
        self.alive.set(true);
        self.begin_serving();
    }

    /// Listens on `ip` and serves until the tasks end.
    pub(crate) async fn serve(
        self: &Rc<Self>,
        ip: IpAddr,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<SocketAddr> {
        let server = Rc::clone(self);
        let serve = move |stream| {
            let server = Rc::clone(&server);
            let alive = server.alive.get();
            alive.then_some(async move { server.serve_stream(stream).await })
        };
        listen(ip, tasks, serve).await
    }

    /// Answers requests until the connection ends or the server crashes.
    async fn serve_stream(&self, stream: TcpStream) {
        let crash_token = self.crash_token.borrow().clone();
        let source = stream.peer_addr().map(|address| address.ip());
        let router = source.ok().and_then(|source| self.context.find_router(source));
        let Some(router) = router else { return };
        let (read, mut write) = stream.into_split();
        let mut reader = MessageReader::new(read);
        let serving = async {
            while let Ok(message) = reader.read().await {
                if self.answer(router, &message, &mut write).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = crash_token.cancelled() => {}
            () = serving => {}
        }
    }

    async fn answer(
        &self,
        router: usize,
        message: &HttpMessage,
        write: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let target = message.method_and_target().map_or("", |(_, target)| target);
        if target == W::CACHE_LIST_TARGET {
            return write_answer(write, 200, "", W::EMPTY_CACHE_LIST).await;
        }
        let names = &W::HEADERS;
        if target == W::HEALTH_TARGET {
            let cold_millis = self.cold_until.get().saturating_sub(self.context.now());
            let status = if self.leaving.get() { 503 } else { 200 };
            return write_answer(write, status, &format!("{}: {cold_millis}\r\n", names.cold), "")
                .await;
        }
        let id = message.field(names.request_id).unwrap_or_default().to_owned();
        let identity = self.identity();
        let expected = message.field(names.expected_server);
        let is_other = expected.is_some_and(|expected| expected != identity.name);
        let pause = self.pause.get().filter(|_| !is_other);
        let full = self.running.get() >= SLOTS || pause.is_some();
        let ran = !is_other && !full;
        self.record_arrival(router, &id, message, &identity, (ran, is_other));
        let mut fields = format!("{}: {id}\r\n", names.request_id);
        if self.leaving.get() {
            fields += &format!("{}: 1\r\n", names.leaving);
        }
        if let Some(per_second) = self.limit.get() {
            fields += &format!("{}: {per_second}\r\n", names.limit);
        }
        if !ran {
            let status = if is_other { 421 } else { 503 };
            if let Some(millis) = pause {
                fields += &format!("Retry-After: {}\r\n", millis as f64 / 1_000.0);
                let at = self.context.now();
                let (server, address_index) = (identity.name, self.address_index);
                let record = PauseRecord { router, server, address_index, at, millis };
                self.context.ledger.borrow_mut().pauses.push(record);
            }
            let fields = format!("{fields}{}: 1\r\n", names.not_run);
            return write_answer(write, status, &fields, "").await;
        }
        let fields = format!("{fields}{}: {}\r\n", names.seal, identity.name);
        let _running = RunningGuard::new(&self.running);
        self.run(&id, message, &identity, &fields, write).await
    }

    fn record_arrival(
        &self,
        router: usize,
        id: &str,
        message: &HttpMessage,
        identity: &ServerIdentity,
        (ran, misdirected): (bool, bool),
    ) {
        let team = message.field(W::HEADERS.team).unwrap_or_default();
        let version = team.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        self.context.ledger.borrow_mut().arrivals.push(ArrivalRecord {
            id: id.to_owned(),
            server: identity.name.clone(),
            address_index: self.address_index,
            router,
            service: identity.service.clone(),
            version,
            at: self.context.now(),
            ran,
            misdirected,
        });
    }

    async fn run(
        &self,
        id: &str,
        message: &HttpMessage,
        identity: &ServerIdentity,
        fields: &str,
        write: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let work = rand::rng().random_range(0..=MAX_WORK_MILLIS);
        sleep(Duration::from_millis(work)).await;
        if rand::rng().random_ratio(1, FAILURE_PERIOD) {
            return write_answer(write, 500, fields, "failed").await;
        }
        let path = message.method_and_target().map_or("", |(_, target)| target);
        let kind = CallKind::from_path(path);
        let is_stream = matches!(kind, Some(CallKind::Stream | CallKind::Resumable));
        if !is_stream {
            return write_answer(write, 200, fields, &format!("{id} {}", identity.name)).await;
        }
        let head = format!("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
        write.write_all(head.as_bytes()).await?;
        let is_long = path.ends_with(LONG_PATH_END);
        let max_gap = if is_long { MAX_LONG_GAP_MILLIS } else { MAX_EVENT_GAP_MILLIS };
        let last = message.field(W::HEADERS.last_event).and_then(|text| text.parse().ok());
        let first = last.unwrap_or(0) + 1;
        let spoiled =
            rand::rng().random_ratio(1, SPOIL_PERIOD).then(|| rand::rng().random_range(2..=EVENTS));
        for number in first..=EVENTS {
            let mut event = encode_event(id, number, identity.software);
            if spoiled == Some(number) {
                let before = encode_event(id, number - 1, identity.software);
                event = spoil_event(&event, before);
                self.context.ledger.borrow_mut().spoiled.insert(id.to_owned());
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write.write_all(chunk.as_bytes()).await?;
            let pause = rand::rng().random_range(0..=max_gap);
            sleep(Duration::from_millis(pause)).await;
        }
        write.write_all(b"0\r\n\r\n").await
    }
}

/// What a server that spoils a stream sends in place of an event: something that is no event with the next
/// number.
fn spoil_event(event: &str, before: String) -> String {
    match rand::rng().random_range(0..5) {
        0 => "#".repeat(300),
        1 => "#".repeat(300) + "\n\n",
        2 => event.replace("id: ", "di: "),
        3 => event.replace("data: ", ""),
        _ => before,
    }
}

/// Counts a request as running until dropped.
struct RunningGuard<'a>(&'a Cell<u32>);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
