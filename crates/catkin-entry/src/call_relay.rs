//! Passes a request on to another router, which reaches the servers that this one does not.
//!
//! The request goes to the other router's listener for callers, unchanged but for its key and its
//! deadline, with a signed statement of this router in place of the key. The other router serves it like a
//! caller's request, and its answer is forwarded like a server's.
//!
//! The other router is called the helper. It has nothing to do with the relays of `relay_plan`, which
//! pass reports on between failure domains. Begin with `relay_call` of `serve`, which tries one helper
//! after the other with [`send_relayed`]; on the helper's side, `caller` calls [`verify_forwarded`].

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use catkin_base::{ClockTime, ServerId, VmId};
use catkin_http::{FieldList, HeaderField, RequestHead, ResponseHead};
use catkin_peer::messages::ForwardedCall;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::attempt::{AttemptError, PooledConnection, StartedAnswer};
use crate::call::{EntryCall, FORWARDED_FIELD, is_connection_field, is_forwarded, write_field};
use crate::connection::{ExpectedAnswer, HttpConnection};
use crate::peer_service::CallHelper;
use crate::reach_watch::reach_key;
use crate::route_table::hash_key;
use crate::server_notice::{NoticeSource, PauseNotice, ServerNotice, read_notice};
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Header field with the cause of a refusal, if a router refuses a request of another router.
pub(crate) const REFUSED_FIELD: &str = "Catkin-Refused";
/// Header field with the identifier of the server that an answer to another router is from, in hexadecimal.
pub(crate) const SERVER_FIELD: &str = "Catkin-Server";
/// Causes of refusals with status 503 after which another router may serve the request.
const LOCAL_CAUSES: [&str; 4] = ["out-of-reach", "stopping", "grace-over", "no-declarations"];
/// Timeout for connecting to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The answer of another router.
pub(crate) struct RelayedAnswer<W> {
    pub(crate) started: StartedAnswer<W>,
    /// Whether the other router refused the request.
    is_refusal: bool,
}

impl<W> RelayedAnswer<W> {
    /// Whether the answer says that the request was not run and will not be.
    pub(crate) fn promises_not_run(&self) -> bool {
        self.is_refusal && matches!(self.started.head.status, 408 | 421 | 429 | 503)
    }
}

/// How an attempt to pass a request on ended.
pub(crate) enum RelayResult<W> {
    /// No other router reaches the service.
    NoHelper,
    /// The other router refused the request for a cause of its own: the next one may serve it.
    Refused {
        /// Whether the other router may have sent it to servers, which declined it.
        may_have_sent: bool,
    },
    /// The other router could not be reached, or its connection broke before the answer.
    Failed(AttemptError),
    /// The head of the answer has arrived.
    Answered(VmId, Box<RelayedAnswer<W>>),
}

/// Whether a request is passed on rather than sent to a server by this router. While the service only may be out of
/// reach, that takes another router that reaches it.
pub(crate) fn passes_on<W: EntryWire>(state: &EntryState<W>, call: &EntryCall) -> bool {
    if state.is_out_of_reach(&call.service) {
        return true;
    }
    if call.forwarded_attempts.is_some() || !state.may_be_out_of_reach(&call.service) {
        return false;
    }
    let service = reach_key(&call.service);
    let peers = state.peers.borrow();
    let helper = peers
        .as_ref()
        .and_then(|peers| peers.choose_helper(state, service, call.deadline, &BTreeSet::new()));
    helper.is_some()
}

/// Sends a request to a router that was not tried yet, and waits for the head of the answer. `attempts` is the
/// number of attempts at servers that may have run it.
pub(crate) async fn send_relayed<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    attempts: u32,
    tried: &mut BTreeSet<VmId>,
) -> RelayResult<W> {
    let peers = state.peers.borrow().clone();
    let service = reach_key(&call.service);
    let helper =
        peers.as_ref().and_then(|peers| peers.choose_helper(state, service, call.deadline, tried));
    let (Some(peers), Some(helper)) = (peers, helper) else { return RelayResult::NoHelper };
    tried.insert(helper.vm);
    let deadline = call.deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let mut connection = match HttpConnection::connect(helper.address, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "peers: connecting to pass a request on failed. request={} helper={} error={error}",
                call.id_text(),
                helper.vm
            );
            peers.record_failed_helper(helper.vm);
            return RelayResult::Failed(AttemptError::UNREACHABLE);
        }
    };
    log::info!(
        "call: no server in reach; passing the request on. request={} helper={} attempts={attempts}",
        call.id_text(),
        helper.vm
    );
    metrics::counter!("catkin_entry_relayed_total").increment(1);
    let request = encode_relayed::<W>(call, helper, attempts, |vm, forwarded| {
        peers.sign_forwarded(vm, forwarded)
    });
    let expected = ExpectedAnswer { id_field: W::HEADERS.request_id, id: &call.id };
    let sent = state.now();
    let exchanged =
        connection.exchange(&request, Some(expected), call.is_head(), call.deadline).await;
    let result = match exchanged {
        Ok(head) => check_relayed(state, call, helper, sent, head, connection),
        Err(error) => RelayResult::Failed(AttemptError::of_relay(error)),
    };
    if matches!(result, RelayResult::Refused { .. }) {
        peers.record_failed_helper(helper.vm);
    }
    result
}

/// Whether a refusal is for a cause of the router that refuses. This one has found the request correct,
/// so a status that says otherwise is the other one's error.
fn is_local_refusal(cause: &str, status: u16) -> bool {
    match status {
        503 => LOCAL_CAUSES.contains(&cause),
        408 | 421 | 429 => false,
        status => (400..500).contains(&status),
    }
}

/// Whether a router that refuses a request for this cause of its own may have sent it to servers before: it
/// may lose its way to the servers, or exit, after some of them declined the request. The other causes are
/// found first.
pub fn may_have_sent(cause: &str) -> bool {
    matches!(cause, "out-of-reach" | "grace-over")
}

/// Classifies the answer of another router. What it says of a server is that server's statement.
fn check_relayed<W: EntryWire>(
    state: &Rc<EntryState<W>>,
    call: &EntryCall,
    helper: CallHelper,
    sent: ClockTime,
    mut head: ResponseHead,
    connection: HttpConnection,
) -> RelayResult<W> {
    // What has a seal is the answer of a server, which may have a field of this name.
    let is_own = !head.fields.contains(W::HEADERS.seal);
    let cause = head.fields.text(REFUSED_FIELD).filter(|_| is_own).map(str::to_owned);
    if let Some(cause) = &cause {
        log::info!(
            "call: the other router refused the request. request={} helper={} cause={cause} status={}",
            call.id_text(),
            helper.vm,
            head.status
        );
    }
    if let Some(cause) = cause.as_deref().filter(|cause| is_local_refusal(cause, head.status)) {
        return RelayResult::Refused { may_have_sent: may_have_sent(cause) };
    }
    if cause.is_none() {
        record_relayed_notice(state, call, helper, &head, sent);
    }
    let fields = std::mem::take(&mut head.fields);
    let is_internal =
        |field: &HeaderField| field.has_name(REFUSED_FIELD) || field.has_name(SERVER_FIELD);
    for field in fields.iter().filter(|field| !is_internal(field)) {
        head.fields.push(field.clone());
    }
    let connection = PooledConnection::to_router(state, connection);
    let started = StartedAnswer { head, connection, slot: None, software: None };
    let answer = RelayedAnswer { started, is_refusal: cause.is_some() };
    RelayResult::Answered(helper.vm, Box::new(answer))
}

/// Records what a server states of itself in an answer that another router passed back. A pause is asked of
/// the router that sent the request to the server. A router of an earlier version does not name the server;
/// its reports tell of the statement.
fn record_relayed_notice<W: EntryWire>(
    state: &EntryState<W>,
    call: &EntryCall,
    helper: CallHelper,
    head: &ResponseHead,
    sent: ClockTime,
) {
    // A router of an earlier version passes on a field of this name that a server sent, though not one of
    // the connection.
    let is_named = head.fields.contains_token("connection", SERVER_FIELD);
    let server = head.fields.text(SERVER_FIELD).filter(|_| is_named).and_then(read_server);
    let notice = ServerNotice { pause: PauseNotice::Absent, ..read_notice::<W>(head) };
    if notice.leaving {
        metrics::counter!("catkin_entry_relayed_leaves_total").increment(1);
        log::info!(
            "call: the answer of another router states that its server leaves. request={} helper={} \
             server={}",
            call.id_text(),
            helper.vm,
            server.map_or_else(|| "-".to_owned(), |server| server.to_string())
        );
    }
    if let Some(server) = server {
        state.record_notice(server, notice, NoticeSource::Other(sent), call.id_text());
    }
}

/// Reads the identifier of a server.
fn read_server(text: &str) -> Option<ServerId> {
    u64::from_str_radix(text, 16).ok().map(ServerId)
}

/// Encodes a request for another router. `sign` signs the statement on it.
fn encode_relayed<W: EntryWire>(
    call: &EntryCall,
    helper: CallHelper,
    attempts: u32,
    sign: impl Fn(VmId, ForwardedCall) -> Vec<u8>,
) -> Vec<u8> {
    let names = &W::HEADERS;
    let remaining = call.deadline.saturating_duration_since(Instant::now()).as_millis();
    let remaining = remaining.to_string();
    let passed = call.head.fields.iter();
    let passed = passed.filter(|field| is_forwarded::<W>(&call.head.fields, field));
    let fields = passed.map(|field| (&field.name[..], &field.value[..]));
    let fields: Vec<(&[u8], &[u8])> =
        fields.chain([(names.deadline.as_bytes(), remaining.as_bytes())]).collect();
    let (method, target) = (&call.head.method[..], &call.head.target[..]);
    let hash = hash_content(method, target, fields.iter().copied(), &call.body);
    // The key of a request without a team is not a known one.
    let key = call.head.fields.text(names.key).filter(|_| call.team.is_some());
    let forwarded = ForwardedCall {
        content_hash: hash.to_vec(),
        team: call.team.clone().unwrap_or_default(),
        declaration: call.version,
        attempts,
        digest: call.digest.0,
        key_hash: key.map_or_else(Vec::new, |key| hash_key(key).to_vec()),
    };
    let statement = encode_hex(&sign(helper.vm, forwarded));
    let mut text = Vec::with_capacity(1_024 + call.body.len());
    for bytes in [method, b" ", target, b" HTTP/1.1\r\n"] {
        text.extend_from_slice(bytes);
    }
    for (name, value) in fields {
        write_field(&mut text, name, value);
    }
    write_field(&mut text, FORWARDED_FIELD.as_bytes(), statement.as_bytes());
    if !call.body.is_empty() || method == b"POST" {
        write_field(&mut text, b"Content-Length", call.body.len().to_string().as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(&call.body);
    text
}

/// Returns the statement of the router that passed a request on; `None` if there is none, or if it is not
/// authentic or about another request.
pub(crate) fn verify_forwarded<W: EntryWire>(
    state: &EntryState<W>,
    head: &RequestHead,
    body: &Bytes,
) -> Option<ForwardedCall> {
    let statement = decode_hex(head.fields.text(FORWARDED_FIELD)?)?;
    let peers = state.peers.borrow().clone()?;
    let forwarded = peers.verify_forwarded(&statement);
    let hash = hash_content(&head.method, &head.target, list_passed(&head.fields), body);
    let authentic = forwarded.filter(|forwarded| forwarded.content_hash[..] == hash[..]);
    if authentic.is_none() {
        log::info!(
            "caller: the statement of another router is not authentic; the request needs a key."
        );
    }
    authentic
}

/// The fields of a request that the statement on it covers.
fn list_passed(fields: &FieldList) -> impl Iterator<Item = (&[u8], &[u8])> {
    let passed = fields
        .iter()
        .filter(|field| !is_connection_field(fields, field) && !field.has_name(FORWARDED_FIELD));
    passed.map(|field| (&field.name[..], &field.value[..]))
}

/// Hashes what one router passes on to another. Each part is preceded by its length.
fn hash_content<'a>(
    method: &[u8],
    target: &[u8],
    fields: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    body: &[u8],
) -> [u8; 32] {
    let mut hash = Sha256::new();
    let mut add = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    add(method);
    add(target);
    for (name, value) in fields {
        add(name);
        add(value);
    }
    add(body);
    hash.finalize().into()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits; `None` if they are none.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap_or_default());
    pairs.map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
