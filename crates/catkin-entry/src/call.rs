//! A caller's request after its syntax, route and API key were checked, and its encoding for a
//! server.

use std::time::Duration;

use bytes::Bytes;
use catkin_base::{PartKey, RequestDigest, hash_parts};
use catkin_http::{FieldList, RequestHead};
use catkin_peer::messages::ForwardedCall;
use tokio::time::Instant;

use crate::cache_index::{PrefixPart, list_prefix_parts};
use crate::record::{RouteKind, RouteRecord, TeamRecord};
use crate::route_table::{RouteMatch, RouteTable, choose_service};
use crate::wire::{EntryWire, HeaderNames};

/// Priority of teams that declare none.
const DEFAULT_TEAM_PRIORITY: u8 = 1;
/// Number of route priorities within one team priority.
const ROUTE_PRIORITIES: u8 = 3;
/// The lowest priority that servers accept; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// Hop-by-hop header fields, which are never forwarded.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header field with the signed statement of the router that passes a request on to another one.
pub(crate) const FORWARDED_FIELD: &str = "Catkin-Forwarded";

/// Why a request was refused before a server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// A header field that must occur once is missing, repeated or unreadable.
    BadField(&'static str),
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The route has no service.
    NoService,
    /// The router that passed the request on has newer declarations.
    OutdatedTable,
}

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub struct EntryCall {
    /// Head as received.
    pub head: RequestHead,
    /// Body as received, decoded from its transfer coding.
    pub body: Bytes,
    /// Identifier of the request.
    pub id: Bytes,
    /// When the head was read.
    pub arrived: Instant,
    /// The earlier one of the caller's deadline and the end of the route's timeout.
    pub deadline: Instant,
    /// Version of the declarations that the request was checked against.
    pub version: u64,
    /// Route of the request.
    pub route: RouteRecord,
    /// Service chosen from those of the route.
    pub service: String,
    /// Name of the team whose key the request has.
    pub team: Option<String>,
    /// Priority of the team; 0 is the highest.
    pub team_priority: u8,
    /// Priority at servers, 0 to 9; 0 is the highest.
    pub priority: u8,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixPart>,
    /// Identifier of the request that began the stream which this one resumes, if the caller states
    /// it.
    pub resumed_id: Option<String>,
    /// Whether the caller states the last event that it has.
    pub has_last_event: bool,
    /// Digest of target, API key and body, to recognize requests that crash servers.
    pub digest: RequestDigest,
    /// Attempts at servers that may have run the request, made by the router that passed it on;
    /// `None` if a caller sent it to this one.
    pub forwarded_attempts: Option<u32>,
}

impl EntryCall {
    /// Checks a request whose body has been read. `forwarded` is the verified statement of the router
    /// that passed it on, which has checked its key.
    pub fn check<W: EntryWire>(
        table: &RouteTable,
        head: RequestHead,
        body: Bytes,
        arrived: Instant,
        forwarded: Option<&ForwardedCall>,
    ) -> Result<Self, CheckError> {
        check_fields::<W>(&head.fields)?;
        let names = &W::HEADERS;
        if forwarded.is_some_and(|forwarded| forwarded.declaration > table.version()) {
            return Err(CheckError::OutdatedTable);
        }
        let (route, team) = find_route(table, &head, names, forwarded)?;
        let id = head.fields.values(names.request_id).next();
        let id = Bytes::copy_from_slice(id.ok_or(CheckError::BadField(names.request_id))?);
        let timeout = read_timeout(&head.fields, names)?;
        let deadline = arrived + timeout.unwrap_or(route.timeout).min(route.timeout);
        let prefixes = read_prefixes::<W>(&head.fields);
        let seed =
            drop_last_prefix(&prefixes).last().map_or_else(|| hash_parts(&[&id]), |part| part.key);
        let service = choose_service(route, seed).ok_or(CheckError::NoService)?.to_owned();
        let digest = match forwarded {
            Some(forwarded) => RequestDigest(forwarded.digest),
            None => digest_call(&head, &body, names),
        };
        let has_last_event = head.fields.contains(names.last_event);
        let resumed_id = head.fields.text(names.resumes).map(str::to_owned);
        Ok(Self {
            id,
            arrived,
            deadline,
            version: table.version(),
            route: route.clone(),
            service,
            team: team.map(|team| team.name.clone()),
            team_priority: team.and_then(|team| team.priority).unwrap_or(DEFAULT_TEAM_PRIORITY),
            priority: combine_priority(team, route),
            prefixes,
            resumed_id,
            has_last_event,
            digest,
            forwarded_attempts: forwarded.map(|forwarded| forwarded.attempts),
            head,
            body,
        })
    }

    /// Whether the request may be sent again after a server may have run it.
    pub fn may_repeat(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Single => false,
            RouteKind::Streaming => self.route.resumable,
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// Whether the request resumes a stream of which the caller has a part.
    pub fn is_resumed(&self) -> bool {
        self.route.kind == RouteKind::Streaming
            && (self.resumed_id.is_some() || self.has_last_event)
    }

    /// Identifier of the last event that the caller states it has, if the route lets it resume a stream.
    pub(crate) fn last_event<W: EntryWire>(&self) -> Option<&[u8]> {
        let is_resumable = self.route.kind == RouteKind::Streaming && self.route.resumable;
        self.head.fields.values(W::HEADERS.last_event).next().filter(|_| is_resumable)
    }

    /// Whether this is a HEAD request, whose answer has no body.
    pub fn is_head(&self) -> bool {
        self.head.method.as_ref() == b"HEAD"
    }

    /// The longest prefix of the prompt that other requests share.
    pub fn shared_prefix(&self) -> Option<PrefixPart> {
        self.shared_prefixes().last().copied()
    }

    /// The prefixes of the prompt that other requests share: all but the longest, whose last part
    /// belongs to one request or session. A single prefix counts as shared.
    pub fn shared_prefixes(&self) -> &[PrefixPart] {
        drop_last_prefix(&self.prefixes)
    }

    /// Keys of all parts of the prompt.
    pub fn part_keys(&self) -> Vec<PartKey> {
        self.prefixes.iter().map(|part| PartKey(part.key)).collect()
    }

    /// Identifier of the request as text; `?` if it is not UTF-8.
    pub fn id_text(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }
}

/// What the router adds to the caller's request for one attempt at a server.
#[derive(Debug, Clone, Copy)]
pub struct SendDetails<'a> {
    /// Name of the only server that may run the request; any other one must decline it.
    pub expected_server: &'a str,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Address of a server that caches the part of the prompt that this one lacks.
    pub fetch_from: Option<&'a str>,
    /// Identifier of the last event that the caller has, if this attempt resumes a stream.
    pub last_event: Option<&'a [u8]>,
}

/// Encodes the request as it is sent to a server.
pub fn encode_call<W: EntryWire>(call: &EntryCall, details: &SendDetails<'_>) -> Vec<u8> {
    let names = &W::HEADERS;
    let mut text = Vec::with_capacity(1024 + call.body.len());
    for bytes in [&call.head.method[..], b" ", &call.head.target, b" HTTP/1.1\r\n"] {
        text.extend_from_slice(bytes);
    }
    for field in call.head.fields.iter().filter(|field| is_forwarded::<W>(&call.head.fields, field))
    {
        let resumed = details.last_event.is_some() && field.has_name(names.last_event);
        if !resumed {
            write_field(&mut text, &field.name, &field.value);
        }
    }
    let remaining = details.remaining.as_millis().to_string();
    let priority = call.priority.to_string();
    let router_fields = [
        (names.deadline, Some(remaining.as_bytes())),
        (names.expected_server, Some(details.expected_server.as_bytes())),
        (names.team, call.team.as_deref().map(str::as_bytes)),
        (names.priority, Some(priority.as_bytes()).filter(|_| !call.prefixes.is_empty())),
        (names.fetch_from, details.fetch_from.map(str::as_bytes)),
        (names.last_event, details.last_event),
    ];
    for (name, value) in router_fields {
        if let Some(value) = value {
            write_field(&mut text, name.as_bytes(), value);
        }
    }
    if !call.body.is_empty() || call.head.method.as_ref() == b"POST" {
        write_field(&mut text, b"Content-Length", call.body.len().to_string().as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(&call.body);
    text
}

/// Appends one header field.
pub fn write_field(text: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for bytes in [name, b": ", value, b"\r\n"] {
        text.extend_from_slice(bytes);
    }
}

/// Whether a header field concerns one connection only.
pub fn is_connection_field(fields: &FieldList, field: &catkin_http::HeaderField) -> bool {
    CONNECTION_FIELDS.iter().any(|name| field.has_name(name))
        || field.has_name("content-length")
        || fields.tokens("connection").any(|token| field.name.eq_ignore_ascii_case(token))
}

/// Whether a header field of the caller is forwarded to servers.
pub(crate) fn is_forwarded<W: EntryWire>(
    fields: &FieldList,
    field: &catkin_http::HeaderField,
) -> bool {
    let names = &W::HEADERS;
    let router_fields =
        [names.deadline, names.key, names.team, names.expected_server, names.priority];
    !is_connection_field(fields, field)
        && !field.has_name("expect")
        && !field.has_name(FORWARDED_FIELD)
        && !router_fields.iter().any(|name| field.has_name(name))
        && !W::ROUTER_ONLY.iter().any(|name| field.has_name(name))
}

/// Refuses requests that two parsers could read differently (request smuggling).
fn check_fields<W: EntryWire>(fields: &FieldList) -> Result<(), CheckError> {
    let names = &W::HEADERS;
    let single = [
        "host",
        names.request_id,
        names.deadline,
        names.key,
        names.model,
        names.prompt_parts,
        names.last_event,
        names.resumes,
    ];
    for name in single {
        let named = fields.contains_token("connection", name);
        if fields.count(name) > 1 || named {
            return Err(CheckError::BadField(name));
        }
    }
    for name in ["content-length", "transfer-encoding"] {
        if fields.contains_token("connection", name) {
            return Err(CheckError::BadField(name));
        }
    }
    Ok(())
}

fn find_route<'a>(
    table: &'a RouteTable,
    head: &RequestHead,
    names: &HeaderNames,
    forwarded: Option<&ForwardedCall>,
) -> Result<(&'a RouteRecord, Option<&'a TeamRecord>), CheckError> {
    let host = head.fields.text("host").ok_or(CheckError::BadField("host"))?;
    let target = std::str::from_utf8(&head.target).map_err(|_| CheckError::BadField("target"))?;
    let found = match forwarded {
        Some(forwarded) if !forwarded.key_hash.is_empty() => {
            table.find_route_of_key_hash(host, target, &forwarded.key_hash)
        }
        Some(forwarded) => table.find_route_of_team(host, target, &forwarded.team),
        None => table.find_route(host, target, head.fields.text(names.key)),
    };
    match found {
        RouteMatch::Found(route, team) => Ok((route, team)),
        RouteMatch::NoRoute => Err(CheckError::NoRoute),
        RouteMatch::NoKey => Err(CheckError::NoKey),
    }
}

/// Time in which a request must be complete: that which it states or that of its route, whichever is
/// shorter; `None` if neither is known.
pub(crate) fn read_time_limit<W: EntryWire>(
    table: Option<&RouteTable>,
    head: &RequestHead,
) -> Option<Duration> {
    let stated = read_timeout(&head.fields, &W::HEADERS).ok().flatten();
    let route = table.and_then(|table| find_route(table, head, &W::HEADERS, None).ok());
    stated.into_iter().chain(route.map(|(route, _)| route.timeout)).min()
}

/// Reads the time until the caller's deadline, if the request states it.
fn read_timeout(fields: &FieldList, names: &HeaderNames) -> Result<Option<Duration>, CheckError> {
    if !fields.contains(names.deadline) {
        return Ok(None);
    }
    let millis = fields.text(names.deadline).and_then(|text| text.parse().ok());
    let millis = millis.ok_or(CheckError::BadField(names.deadline))?;
    Ok(Some(Duration::from_millis(millis)))
}

/// Reads the prefixes of the prompt; none if the request lists no parts or they are malformed.
fn read_prefixes<W: EntryWire>(fields: &FieldList) -> Vec<PrefixPart> {
    let names = &W::HEADERS;
    let Some(text) = fields.text(names.prompt_parts) else { return Vec::new() };
    match W::decode_prompt_parts(text) {
        Ok(parts) => list_prefix_parts(fields.text(names.model).unwrap_or_default(), &parts),
        Err(error) => {
            log::debug!("caller: malformed list of prompt parts; ignoring it. error={error}");
            Vec::new()
        }
    }
}

/// Drops the longest prefix, which is not shared, unless it is the only one.
fn drop_last_prefix(prefixes: &[PrefixPart]) -> &[PrefixPart] {
    match prefixes {
        [] | [_] => prefixes,
        [shared @ .., _] => shared,
    }
}

/// Combines the priorities of team and route; the team's one comes first.
fn combine_priority(team: Option<&TeamRecord>, route: &RouteRecord) -> u8 {
    let team = team.and_then(|team| team.priority).unwrap_or(DEFAULT_TEAM_PRIORITY);
    let within = route.priority.min(ROUTE_PRIORITIES - 1);
    team.saturating_mul(ROUTE_PRIORITIES).saturating_add(within).min(LOWEST_PRIORITY)
}

fn digest_call(head: &RequestHead, body: &[u8], names: &HeaderNames) -> RequestDigest {
    let key = head.fields.values(names.key).next().unwrap_or_default();
    RequestDigest(hash_parts(&[&head.target, key, body]))
}
