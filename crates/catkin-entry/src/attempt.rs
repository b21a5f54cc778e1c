//! One attempt: sends a request to one server and waits for the head of the answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{ClockTime, RunVerdict, ServerId, copy_type};
use catkin_http::ResponseHead;
use tokio::time::Instant;

use crate::break_cause::{BreakCause, ReusedBreak, find_break_cause};
use crate::call::{EntryCall, SendDetails, encode_call};
use crate::connection::{ExchangeError, ExchangeFailure, ExpectedAnswer, HttpConnection};
use crate::connection_pool::{read_idle_timeout, read_kept_time, share_connection_limit};
use crate::crash_check::check_server;
use crate::origin_book::SoftwareKey;
use crate::retry_payment::RetryPayment;
use crate::server_notice::{NoticeSource, read_notice};
use crate::state::{EntryState, OpenSlot};
use crate::wire::{EntryWire, HeaderNames};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of connections to one server if its service declares no limit.
const DEFAULT_CONNECTIONS: u32 = 64;
/// Maximum size of the body of an answer that declines a request, in bytes.
const MAX_DECLINED_BYTES: usize = 64 << 10;
/// Maximum time for which that body is read, so that the connection can be used again.
const DECLINED_TIMEOUT: Duration = Duration::from_millis(100);

copy_type! {
    /// Why an attempt failed.
    pub(crate) enum AttemptFailure {
        /// The server could not be reached.
        Unreachable,
        /// The maximum number of connections to the server is open.
        NoChannel,
        /// The server asked for a pause, said that it leaves or was removed while the router connected to
        /// it.
        Withdrawn,
        /// The failure domain of the server was evacuated while the router connected to it.
        Evacuated,
        /// The retry waited for longer than its payment holds, and the budget is exhausted.
        Unpaid,
        /// A reused connection broke before the first byte of an answer: the server had closed it.
        StaleChannel,
        /// A reused connection broke before the first byte of an answer, and the server no longer
        /// listens.
        Crashed,
        /// A reused connection broke before the first byte of an answer, and whether the server
        /// crashed is not known.
        BrokenReused,
        /// The server declined the request and did not run it.
        Declined,
        /// Another server has this address now.
        Misdirected,
        /// The connection broke or the answer was incomplete.
        Broken,
        /// The answer violates the protocol.
        Garbled,
        /// The answer missed its deadline.
        TimedOut,
        /// The server answered with an error status, which is withheld from the caller.
        Answered,
    }
}

copy_type! {
    /// A failed attempt.
    pub(crate) struct AttemptError {
        pub(crate) failure: AttemptFailure,
        /// Whether the server may have run the request.
        pub(crate) ran: RunVerdict,
    }
}

impl AttemptError {
    pub(crate) const BROKEN: Self = Self::may_have_run(AttemptFailure::Broken);
    pub(crate) const UNREACHABLE: Self = Self::not_run(AttemptFailure::Unreachable);
    pub(crate) const TIMED_OUT: Self = Self::may_have_run(AttemptFailure::TimedOut);

    const fn may_have_run(failure: AttemptFailure) -> Self {
        Self { failure, ran: RunVerdict::MayHaveRun }
    }

    const fn not_run(failure: AttemptFailure) -> Self {
        Self { failure, ran: RunVerdict::NotRun }
    }

    /// Whether the server may have crashed under the request.
    pub(crate) fn may_have_crashed(self) -> bool {
        let silent = matches!(
            self.failure,
            AttemptFailure::Broken
                | AttemptFailure::BrokenReused
                | AttemptFailure::Crashed
                | AttemptFailure::TimedOut
        );
        silent && self.ran != RunVerdict::NotRun
    }

    /// The error for an answer with an error status that is withheld to try another server.
    pub(crate) const fn answered_failure() -> Self {
        Self { failure: AttemptFailure::Answered, ran: RunVerdict::HasRun }
    }

    /// The error for an exchange with another router.
    pub(crate) const fn of_relay(error: ExchangeError) -> Self {
        Self { failure: convert_failure(error.failure), ran: error.ran }
    }

    /// The error for an answer that failed after its head had arrived.
    pub(crate) const fn of_answer(failure: ExchangeFailure) -> Self {
        Self::may_have_run(convert_failure(failure))
    }
}

const fn convert_failure(failure: ExchangeFailure) -> AttemptFailure {
    match failure {
        ExchangeFailure::Unreachable => AttemptFailure::Unreachable,
        ExchangeFailure::Broken => AttemptFailure::Broken,
        ExchangeFailure::Garbled => AttemptFailure::Garbled,
        ExchangeFailure::TimedOut => AttemptFailure::TimedOut,
    }
}

/// The server that a request was assigned to.
pub(crate) struct AssignedCall<W> {
    /// Counts the request as open at the server.
    pub(crate) slot: OpenSlot<W>,
    /// Name of the server.
    pub(crate) name: String,
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// Version of the server's software.
    pub(crate) software: SoftwareKey,
    /// A server that caches the part of the prompt that this one lacks.
    pub(crate) fetch_from: Option<(ServerId, SocketAddr)>,
}

/// An answer whose head has arrived and whose body is still to be read.
pub(crate) struct StartedAnswer<W> {
    pub(crate) head: ResponseHead,
    pub(crate) connection: PooledConnection<W>,
    /// Counts the request as open at the server; `None` if another router does.
    pub(crate) slot: Option<OpenSlot<W>>,
    /// Version of the server's software; `None` if another router forwards the answer.
    pub(crate) software: Option<SoftwareKey>,
}

/// A guard of a connection that the pool counts; dropping it closes the connection, unless it was
/// released to the pool.
pub(crate) struct PooledConnection<W> {
    state: Rc<EntryState<W>>,
    server: ServerId,
    connection: Option<HttpConnection>,
    /// Whether the pool counts the connection until this guard is dropped.
    counted: bool,
    /// Whether the connection is to a server, so that the pool takes it back.
    pooled: bool,
}

impl<W> PooledConnection<W> {
    /// Creates the guard of a connection that the pool already counts, still without the
    /// connection.
    fn reserve(state: &Rc<EntryState<W>>, server: ServerId) -> Self {
        Self { state: Rc::clone(state), server, connection: None, counted: true, pooled: true }
    }

    /// Creates the guard of a connection to another router, which is used once.
    pub(crate) fn to_router(state: &Rc<EntryState<W>>, connection: HttpConnection) -> Self {
        Self {
            state: Rc::clone(state),
            server: ServerId(0),
            connection: Some(connection),
            counted: false,
            pooled: false,
        }
    }

    fn with_connection(mut self, connection: HttpConnection) -> Self {
        self.connection = Some(connection);
        self
    }

    pub(crate) fn get(&mut self) -> &mut HttpConnection {
        self.connection.as_mut().expect("the connection is present until it is released")
    }

    /// Returns the connection to the pool for another request, if it is reusable. `keep_alive` is
    /// the value of that header field in the answer.
    pub(crate) fn release(mut self, keep_alive: Option<&str>) {
        let pooled = self.pooled && !self.state.is_evacuated(self.server);
        if let Some(mut connection) = self.connection.take().filter(|_| pooled) {
            self.counted = false;
            connection.mark_idle(read_kept_time(keep_alive));
            let idle = read_idle_timeout(keep_alive);
            self.state.pool.borrow_mut().release(self.server, connection, idle);
        }
    }
}

impl<W> Drop for PooledConnection<W> {
    fn drop(&mut self) {
        if self.counted {
            self.state.pool.borrow_mut().record_closed(self.server);
        }
    }
}

/// Limits on one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptLimits {
    /// When the head of the answer must have arrived.
    pub(crate) answer_deadline: Instant,
    /// The payment, unless it is the first attempt.
    pub(crate) payment: Option<RetryPayment>,
}

/// Sends a request and waits for the head of the answer. `last_event` is the identifier of the last
/// event that the caller has of a stream.
pub(crate) async fn send_attempt<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    assigned: AssignedCall<W>,
    limits: AttemptLimits,
    last_event: Option<&Bytes>,
) -> Result<StartedAnswer<W>, AttemptError> {
    let AttemptLimits { answer_deadline, payment } = limits;
    let mut connection = open_connection(state, call, &assigned, answer_deadline).await?;
    if let Some(failure) = find_withdrawal(state, call, assigned.slot.server) {
        return Err(AttemptError::not_run(failure));
    }
    if payment.is_some_and(|payment| !state.renew_payment(call, payment)) {
        return Err(AttemptError::not_run(AttemptFailure::Unpaid));
    }
    let source = assigned.fetch_from.filter(|(server, _)| !state.is_evacuated(*server));
    let fetch_from = source.map(|(_, address)| address.to_string());
    let details = SendDetails {
        expected_server: &assigned.name,
        remaining: call.deadline.saturating_duration_since(Instant::now()),
        fetch_from: fetch_from.as_deref(),
        last_event: last_event.map(|id| &id[..]),
    };
    let request = encode_call::<W>(call, &details);
    let expected = ExpectedAnswer { id_field: W::HEADERS.request_id, id: &call.id };
    let reused = connection.get().idle_time();
    let sent = state.now();
    let exchanged =
        connection.get().exchange(&request, Some(expected), call.is_head(), answer_deadline);
    let exchanged = exchanged.await;
    let heads = ExchangeHeads {
        sent,
        skipped: connection.get().skipped_heads(),
        answer: exchanged.as_ref().ok(),
    };
    record_notices(state, call, assigned.slot.server, heads);
    let head = match exchanged {
        Ok(head) => head,
        Err(error) => {
            let broken = error.failure == ExchangeFailure::Broken;
            let failure = match reused.filter(|_| broken) {
                Some(idle) => classify_reused_break(state, call, &assigned, sent, idle).await,
                None => convert_failure(error.failure),
            };
            return Err(AttemptError { failure, ran: error.ran });
        }
    };
    let (head, connection) = check_head::<W>(state, call, &assigned, head, connection).await?;
    let software = Some(assigned.software);
    Ok(StartedAnswer { head, connection, slot: Some(assigned.slot), software })
}

/// Why a server gets no requests any more that was chosen before the router connected to it.
fn find_withdrawal<W>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
) -> Option<AttemptFailure> {
    if state.is_evacuated(server) {
        return Some(AttemptFailure::Evacuated);
    }
    let servers = state.servers.borrow();
    if !servers.may_get_requests(server) {
        let age = servers.leave_age_millis(state.now(), server);
        log::info!(
            "server: leaves or was removed while the router connected; nothing was sent. request={} \
             server={server} leave_age_millis={age:?}",
            call.id_text()
        );
        return Some(AttemptFailure::Withdrawn);
    }
    state.is_paused(server).then_some(AttemptFailure::Withdrawn)
}

/// Takes an idle connection from the pool or opens another one.
async fn open_connection<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    assigned: &AssignedCall<W>,
    answer_deadline: Instant,
) -> Result<PooledConnection<W>, AttemptError> {
    let server = assigned.slot.server;
    if let Some(connection) = state.pool.borrow_mut().take(server, &call.id, Instant::now()) {
        return Ok(PooledConnection::reserve(state, server).with_connection(connection));
    }
    let limit = connection_limit(state, &call.service);
    if !state.pool.borrow_mut().try_open(server, limit) {
        return Err(AttemptError::not_run(AttemptFailure::NoChannel));
    }
    metrics::counter!("catkin_entry_connections_total").increment(1);
    let deadline = answer_deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let reserved = PooledConnection::reserve(state, server);
    let source = state.settings().server_source;
    match HttpConnection::connect_from(source, assigned.address, deadline).await {
        Ok(connection) => {
            state.record_connect(&call.service);
            Ok(reserved.with_connection(connection))
        }
        Err(_) if state.is_evacuated(server) => {
            Err(AttemptError::not_run(AttemptFailure::Evacuated))
        }
        Err(error) => {
            state.record_connect_failure(&call.service, server);
            log::info!(
                "server: connecting failed. request={} server={server} address={} error={error}",
                call.id_text(),
                assigned.address
            );
            Err(AttemptError::not_run(AttemptFailure::Unreachable))
        }
    }
}

/// This router's share of the connections that a server of `service` accepts.
fn connection_limit<W: EntryWire>(state: &EntryState<W>, service: &str) -> u32 {
    let table = state.route_table.borrow();
    let services = table.as_ref().map(|table| &table.declarations().services);
    let record = services.and_then(|services| services.get(service));
    let limit = record.map_or(DEFAULT_CONNECTIONS, |record| record.max_connections);
    share_connection_limit(limit, state.live_routers())
}

/// Finds out why a reused connection broke before the first byte of an answer. `idle` is the time for
/// which it was idle before, and for which the server keeps it open then.
async fn classify_reused_break<W>(
    state: &EntryState<W>,
    call: &EntryCall,
    assigned: &AssignedCall<W>,
    sent: ClockTime,
    (idle, kept): (Duration, Duration),
) -> AttemptFailure {
    let server = assigned.slot.server;
    let check = check_server(state, server, assigned.address).await;
    let broken = ReusedBreak {
        idle,
        kept,
        checked_after: state.now().since(sent),
        is_listed: state.servers.borrow().get(server).is_some(),
    };
    let cause = find_break_cause(&broken, check);
    log::info!(
        "server: reused connection broke before an answer. request={} server={server} \
         check={check:?} cause={cause:?} idle_millis={} checked_after_millis={}",
        call.id_text(),
        idle.as_millis(),
        broken.checked_after.as_millis()
    );
    match cause {
        BreakCause::Stale => AttemptFailure::StaleChannel,
        BreakCause::Crashed => AttemptFailure::Crashed,
        BreakCause::Unknown => AttemptFailure::BrokenReused,
    }
}

/// Checks the head of an answer: fails if the server declined the request or if the head is not one
/// of the server's answers.
async fn check_head<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    assigned: &AssignedCall<W>,
    head: ResponseHead,
    mut connection: PooledConnection<W>,
) -> Result<(ResponseHead, PooledConnection<W>), AttemptError> {
    if !is_server_head(&head, &W::HEADERS) {
        return Err(AttemptError::may_have_run(AttemptFailure::Garbled));
    }
    let names = &W::HEADERS;
    let not_run = head.fields.contains(names.not_run) || head.status == 421;
    if not_run {
        let failure =
            if head.status == 421 { AttemptFailure::Misdirected } else { AttemptFailure::Declined };
        log::info!(
            "server: declined the request without running it. request={} server={} status={} \
             load={}",
            call.id_text(),
            assigned.slot.server,
            head.status,
            head.fields.text(names.load).unwrap_or("-")
        );
        let deadline = call.deadline.min(Instant::now() + DECLINED_TIMEOUT);
        let read = connection.get().read_body(MAX_DECLINED_BYTES, deadline).await;
        if read.is_ok() {
            connection.get().mark_refused(&call.id);
            connection.release(head.fields.text("keep-alive"));
        }
        if failure == AttemptFailure::Declined {
            state.record_brittle_decline(assigned.slot.server, call.id_text());
        }
        if failure == AttemptFailure::Misdirected {
            state.pool.borrow_mut().drop_idle_to(assigned.slot.server);
        }
        return Err(AttemptError::not_run(failure));
    }
    if head.fields.contains("content-encoding") {
        return Err(AttemptError::may_have_run(AttemptFailure::Garbled));
    }
    Ok((head, connection))
}

/// Whether a head is one that a server sends: a success has a seal and says that the request ran, other seals
/// are missing at most where the status promises nothing, and what identifies the answer reaches the caller.
fn is_server_head(head: &ResponseHead, names: &HeaderNames) -> bool {
    let fields = &head.fields;
    let is_declined = fields.contains(names.not_run) || head.status == 421;
    let is_success = (200..300).contains(&head.status);
    let seal = fields.values(names.seal).next().filter(|seal| !seal.is_empty());
    let is_conclusive = is_success || matches!(head.status, 408 | 429) || head.status >= 500;
    let has_seal = seal.is_some() || is_declined || !is_conclusive;
    let is_kept = |name| !fields.has_conflict(name) && !fields.contains_token("connection", name);
    has_seal && !(is_success && is_declined) && is_kept(names.seal) && is_kept(names.request_id)
}

/// The heads that were read in an exchange.
#[derive(Clone, Copy)]
struct ExchangeHeads<'a> {
    /// When the request was sent.
    sent: ClockTime,
    skipped: &'a [ResponseHead],
    answer: Option<&'a ResponseHead>,
}

/// Records what a server states of itself in the heads of an exchange. An answer with status 421 comes
/// from another server, and one with neither a seal nor a word that the request was not run is
/// malformed: what it lacks says nothing.
fn record_notices<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    server: ServerId,
    heads: ExchangeHeads<'_>,
) {
    if heads.answer.is_some_and(|head| head.status == 421) {
        return;
    }
    let record = |head: &ResponseHead, source| {
        state.record_notice(server, read_notice::<W>(head), source, call.id_text());
    };
    heads.skipped.iter().for_each(|head| record(head, NoticeSource::Other(heads.sent)));
    if let Some(head) = heads.answer {
        let names = &W::HEADERS;
        let is_whole = head.fields.contains(names.seal) || head.fields.contains(names.not_run);
        let source = if is_whole { NoticeSource::Answer } else { NoticeSource::Other };
        record(head, source(heads.sent));
    }
}
