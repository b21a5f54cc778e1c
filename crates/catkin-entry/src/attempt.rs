//! One send of a request to one server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{RunVerdict, ServerId, copy_type};
use catkin_http::ResponseHead;
use tokio::time::Instant;

use crate::call::{EntryCall, SendDetails, encode_call};
use crate::channel::{ExchangeError, ExchangeFault, ExpectedAnswer, HttpChannel};
use crate::server_pool::{read_idle_limit, share_connections};
use crate::state::{EntryState, OpenSlot};
use crate::wire::EntryWire;

/// Longest wait for a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections to one server where its service declares no limit.
const DEFAULT_CONNECTIONS: u32 = 64;
/// Longest body of an answer that says the request was not run, in bytes.
const MAX_DECLINED_BYTES: usize = 64 << 10;

copy_type! {
    /// What went wrong with an attempt.
    pub(crate) enum AttemptFault {
        /// The server could not be reached.
        Unreachable,
        /// No further connection to the server may be opened.
        NoChannel,
        /// A kept connection broke before any byte of an answer.
        StaleChannel,
        /// The server said that it did not run the request.
        Declined,
        /// Another server has the address.
        Misdirected,
        /// The connection broke, or the answer ended before it was whole.
        Broken,
        /// The answer is not what the protocol allows.
        Garbled,
        /// The answer did not come in time.
        TimedOut,
        /// The server answered with a failure, which is kept back.
        Answered,
    }
}

copy_type! {
    /// A failed attempt.
    pub(crate) struct AttemptError {
        pub(crate) fault: AttemptFault,
        /// Whether the request may have run.
        pub(crate) ran: RunVerdict,
    }
}

impl AttemptError {
    pub(crate) const BROKEN: Self = Self::may_have_run(AttemptFault::Broken);
    pub(crate) const TIMED_OUT: Self = Self::may_have_run(AttemptFault::TimedOut);

    const fn may_have_run(fault: AttemptFault) -> Self {
        Self { fault, ran: RunVerdict::MayHaveRun }
    }

    const fn not_run(fault: AttemptFault) -> Self {
        Self { fault, ran: RunVerdict::NotRun }
    }

    /// A server's failure, kept back to try another server.
    pub(crate) const fn answered_failure() -> Self {
        Self { fault: AttemptFault::Answered, ran: RunVerdict::HasRun }
    }

    /// The failure of an exchange whose answer had begun.
    pub(crate) const fn of_answer(fault: ExchangeFault) -> Self {
        Self::may_have_run(attempt_fault(fault))
    }
}

const fn attempt_fault(fault: ExchangeFault) -> AttemptFault {
    match fault {
        ExchangeFault::Unreachable => AttemptFault::Unreachable,
        ExchangeFault::Broken => AttemptFault::Broken,
        ExchangeFault::Garbled => AttemptFault::Garbled,
        ExchangeFault::TimedOut => AttemptFault::TimedOut,
    }
}

/// A request with the server that was chosen for it.
pub(crate) struct PlacedCall<W> {
    pub(crate) place: OpenSlot<W>,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) fetch_from: Option<SocketAddr>,
}

/// An answer whose head has arrived.
pub(crate) struct BegunAnswer<W> {
    pub(crate) head: ResponseHead,
    pub(crate) channel: PooledChannel<W>,
    pub(crate) place: OpenSlot<W>,
}

/// A connection that is counted, and closed unless it is given back.
pub(crate) struct PooledChannel<W> {
    state: Rc<EntryState<W>>,
    server: ServerId,
    channel: Option<HttpChannel>,
    /// Whether the pool still counts the connection on this guard's behalf.
    counted: bool,
}

impl<W> PooledChannel<W> {
    /// Stands for a connection that is being opened.
    fn opening(state: &Rc<EntryState<W>>, server: ServerId) -> Self {
        Self { state: Rc::clone(state), server, channel: None, counted: true }
    }

    fn opened(mut self, channel: HttpChannel) -> Self {
        self.channel = Some(channel);
        self
    }

    pub(crate) fn get(&mut self) -> &mut HttpChannel {
        self.channel.as_mut().expect("the connection is there until it is given back")
    }

    /// Keeps the connection for another request, if it can carry one.
    pub(crate) fn give_back(mut self, keep_alive: Option<&str>) {
        if let Some(channel) = self.channel.take() {
            self.counted = false;
            let idle = read_idle_limit(keep_alive);
            self.state.pool.borrow_mut().give_back(self.server, channel, idle);
        }
    }
}

impl<W> Drop for PooledChannel<W> {
    fn drop(&mut self) {
        if self.counted {
            self.state.pool.borrow_mut().note_closed(self.server);
        }
    }
}

/// Sends a request and waits for the head of the answer, until `patience`.
pub(crate) async fn send_attempt<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    placed: PlacedCall<W>,
    patience: Instant,
    last_event: Option<&Bytes>,
) -> Result<BegunAnswer<W>, AttemptError> {
    let mut channel = open_channel(state, call, &placed, patience).await?;
    let fetch_from = placed.fetch_from.map(|address| address.to_string());
    let details = SendDetails {
        expected_server: &placed.name,
        left: call.limit.saturating_duration_since(Instant::now()),
        fetch_from: fetch_from.as_deref(),
        last_event: last_event.map(|id| &id[..]),
    };
    let request = encode_call::<W>(call, &details);
    let expected = ExpectedAnswer { id_field: W::HEADERS.request_id, id: &call.id };
    let kept = channel.get().exchanges() > 0;
    let exchanged = channel.get().exchange(&request, Some(expected), call.is_head(), patience);
    let head = exchanged.await.map_err(|error| send_error(error, kept))?;
    let (head, channel) = check_head::<W>(state, call, &placed, head, channel).await?;
    Ok(BegunAnswer { head, channel, place: placed.place })
}

async fn open_channel<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    placed: &PlacedCall<W>,
    patience: Instant,
) -> Result<PooledChannel<W>, AttemptError> {
    let server = placed.place.server;
    if let Some(channel) = state.pool.borrow_mut().take(server, Instant::now()) {
        return Ok(PooledChannel::opening(state, server).opened(channel));
    }
    let limit = connection_limit(state, &call.service);
    if !state.pool.borrow_mut().try_open(server, limit) {
        return Err(AttemptError::not_run(AttemptFault::NoChannel));
    }
    metrics::counter!("catkin_entry_connections_total").increment(1);
    let deadline = patience.min(Instant::now() + CONNECT_TIMEOUT);
    let opening = PooledChannel::opening(state, server);
    match HttpChannel::connect(placed.address, deadline).await {
        Ok(channel) => Ok(opening.opened(channel)),
        Err(error) => {
            log::info!(
                "server: Not reached. request={} server={server} address={} error={error}",
                call.id_text(),
                placed.address
            );
            Err(AttemptError::not_run(AttemptFault::Unreachable))
        }
    }
}

fn connection_limit<W: EntryWire>(state: &EntryState<W>, service: &str) -> u32 {
    let table = state.table.borrow();
    let services = table.as_ref().map(|table| &table.declarations().services);
    let record = services.and_then(|services| services.get(service));
    let limit = record.map_or(DEFAULT_CONNECTIONS, |record| record.max_connections);
    share_connections(limit, state.live_routers())
}

fn send_error(error: ExchangeError, kept: bool) -> AttemptError {
    let stale = kept && error.fault == ExchangeFault::Broken;
    let fault = if stale { AttemptFault::StaleChannel } else { attempt_fault(error.fault) };
    AttemptError { fault, ran: error.ran }
}

/// Tells answers from proofs that the request was not run, and from bytes that are no answer.
async fn check_head<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    placed: &PlacedCall<W>,
    head: ResponseHead,
    mut channel: PooledChannel<W>,
) -> Result<(ResponseHead, PooledChannel<W>), AttemptError> {
    let names = &W::HEADERS;
    let not_run = head.fields.has(names.not_run) || head.status == 421;
    if not_run {
        let fault =
            if head.status == 421 { AttemptFault::Misdirected } else { AttemptFault::Declined };
        log::info!(
            "server: Declined. request={} server={} status={} load={}",
            call.id_text(),
            placed.place.server,
            head.status,
            head.fields.text(names.load).unwrap_or("-")
        );
        let read = channel.get().read_body(MAX_DECLINED_BYTES, call.limit).await;
        if read.is_ok() {
            channel.give_back(head.fields.text("keep-alive"));
        }
        if fault == AttemptFault::Misdirected {
            state.pool.borrow_mut().forget_server(placed.place.server);
        }
        return Err(AttemptError::not_run(fault));
    }
    let success = (200..300).contains(&head.status);
    if !head.fields.has(names.seal) && (success || head.status >= 500) {
        return Err(AttemptError::may_have_run(AttemptFault::Garbled));
    }
    if head.fields.has("content-encoding") {
        return Err(AttemptError::may_have_run(AttemptFault::Garbled));
    }
    Ok((head, channel))
}
