//! A caller's request once its form, its route and its key have been checked.

use std::time::Duration;

use bytes::Bytes;
use catkin_base::{RequestDigest, hash_parts};
use catkin_http::{FieldList, RequestHead};
use tokio::time::Instant;

use crate::cache_index::{PrefixPart, hash_prefixes};
use crate::record::{RouteKind, RouteRecord, TeamRecord};
use crate::route_table::{RouteMatch, RouteTable, choose_service};
use crate::wire::{EntryWire, HeaderNames};

/// Urgency of teams that declare none.
const DEFAULT_TEAM_PRIORITY: u8 = 1;
/// Urgencies of routes that one urgency of a team spans.
const ROUTE_PRIORITIES: u8 = 3;
/// Least urgent class that servers know.
const LAST_PRIORITY: u8 = 9;
/// Header fields of one connection, never passed on.
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

/// Why a request was refused before any server was sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// A header field that must stand once is missing, repeated or not to be read.
    BadField(&'static str),
    /// No route takes it.
    NoRoute,
    /// Its key is unknown.
    NoKey,
    /// No service is declared for its route.
    NoService,
}

/// A checked request.
#[derive(Debug, Clone)]
pub struct EntryCall {
    /// Head as received.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// The request's identifier.
    pub id: Bytes,
    /// When its head was read.
    pub arrived: Instant,
    /// When its caller gives up or its route's time is over, whichever comes first.
    pub limit: Instant,
    /// Version of the declarations that it was checked against.
    pub version: u64,
    /// Its route.
    pub route: RouteRecord,
    /// Its service.
    pub service: String,
    /// Its team.
    pub team: Option<String>,
    /// Urgency for servers, 0 first.
    pub priority: u8,
    /// Prefixes of its prompt, shortest first.
    pub prefixes: Vec<PrefixPart>,
    /// Identifies its content, to recognize one that crashes servers.
    pub digest: RequestDigest,
}

impl EntryCall {
    /// Checks a request whose body has been read.
    pub fn check<W: EntryWire>(
        table: &RouteTable,
        head: RequestHead,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Self, CheckError> {
        check_fields::<W>(&head.fields)?;
        let names = &W::HEADERS;
        let (route, team) = find_route(table, &head, names)?;
        let id = head.fields.values(names.request_id).next();
        let id = Bytes::copy_from_slice(id.ok_or(CheckError::BadField(names.request_id))?);
        let patience = read_deadline(&head.fields, names)?;
        let limit = arrived + patience.unwrap_or(route.timeout).min(route.timeout);
        let prefixes = read_prefixes::<W>(&head.fields);
        let seed =
            shared_part(&prefixes).last().map_or_else(|| hash_parts(&[&id]), |part| part.key);
        let service = choose_service(route, seed).ok_or(CheckError::NoService)?.to_owned();
        let digest = digest_call(&head, &body, names);
        Ok(Self {
            id,
            arrived,
            limit,
            version: table.version(),
            route: route.clone(),
            service,
            team: team.map(|team| team.name.clone()),
            priority: combine_priority(team, route),
            prefixes,
            digest,
            head,
            body,
        })
    }

    /// Whether it may be sent again after it may have run.
    pub fn may_repeat(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Single => false,
            RouteKind::Streaming => self.route.resumable,
        }
    }

    /// Whether it is a HEAD request, whose answer has no body.
    pub fn is_head(&self) -> bool {
        self.head.method.as_ref() == b"HEAD"
    }

    /// The longest prefix of the prompt that other requests share.
    pub fn shared(&self) -> Option<PrefixPart> {
        self.shared_prefixes().last().copied()
    }

    /// The parts of the prompt that other requests share: all but the last, which belongs to one
    /// request or session.
    pub fn shared_prefixes(&self) -> &[PrefixPart] {
        shared_part(&self.prefixes)
    }

    /// The request's identifier as text.
    pub fn id_text(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or("?")
    }
}

/// What one send to a server adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct SendDetails<'a> {
    /// Name of the server's start that alone may run it.
    pub expected_server: &'a str,
    /// Time that is left.
    pub left: Duration,
    /// Address of a server that keeps what this one lacks of the prompt.
    pub fetch_from: Option<&'a str>,
    /// Last event that the caller has, if this send goes on with a stream.
    pub last_event: Option<&'a [u8]>,
}

/// Writes the request as a server gets it.
pub fn encode_call<W: EntryWire>(call: &EntryCall, details: &SendDetails<'_>) -> Vec<u8> {
    let names = &W::HEADERS;
    let mut text = Vec::with_capacity(1024 + call.body.len());
    for piece in [&call.head.method[..], b" ", &call.head.target, b" HTTP/1.1\r\n"] {
        text.extend_from_slice(piece);
    }
    for field in call.head.fields.iter().filter(|field| passes_on::<W>(&call.head.fields, field)) {
        let resumed = details.last_event.is_some() && field.is(names.last_event);
        if !resumed {
            write_field(&mut text, &field.name, &field.value);
        }
    }
    let left = details.left.as_millis().to_string();
    let priority = call.priority.to_string();
    let own = [
        (names.deadline, Some(left.as_bytes())),
        (names.expected_server, Some(details.expected_server.as_bytes())),
        (names.team, call.team.as_deref().map(str::as_bytes)),
        (names.priority, Some(priority.as_bytes()).filter(|_| !call.prefixes.is_empty())),
        (names.fetch_from, details.fetch_from.map(str::as_bytes)),
        (names.last_event, details.last_event),
    ];
    for (name, value) in own {
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

/// Writes one header field.
pub fn write_field(text: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for piece in [name, b": ", value, b"\r\n"] {
        text.extend_from_slice(piece);
    }
}

/// Whether a field concerns one connection only.
pub fn is_connection_field(fields: &FieldList, field: &catkin_http::HeaderField) -> bool {
    CONNECTION_FIELDS.iter().any(|name| field.is(name))
        || field.is("content-length")
        || fields.tokens("connection").any(|token| field.name.eq_ignore_ascii_case(token))
}

fn passes_on<W: EntryWire>(fields: &FieldList, field: &catkin_http::HeaderField) -> bool {
    let names = &W::HEADERS;
    let own = [names.deadline, names.key, names.team, names.expected_server, names.priority];
    !is_connection_field(fields, field)
        && !field.is("expect")
        && !own.iter().any(|name| field.is(name))
        && !W::ROUTER_ONLY.iter().any(|name| field.is(name))
}

/// Refuses requests that two readers could take differently.
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
    ];
    for name in single {
        let named = fields.lists_token("connection", name);
        if fields.count(name) > 1 || named {
            return Err(CheckError::BadField(name));
        }
    }
    for name in ["content-length", "transfer-encoding"] {
        if fields.lists_token("connection", name) {
            return Err(CheckError::BadField(name));
        }
    }
    Ok(())
}

fn find_route<'a>(
    table: &'a RouteTable,
    head: &RequestHead,
    names: &HeaderNames,
) -> Result<(&'a RouteRecord, Option<&'a TeamRecord>), CheckError> {
    let host = head.fields.text("host").ok_or(CheckError::BadField("host"))?;
    let target = std::str::from_utf8(&head.target).map_err(|_| CheckError::BadField("target"))?;
    match table.find(host, target, head.fields.text(names.key)) {
        RouteMatch::Found(route, team) => Ok((route, team)),
        RouteMatch::NoRoute => Err(CheckError::NoRoute),
        RouteMatch::NoKey => Err(CheckError::NoKey),
    }
}

fn read_deadline(fields: &FieldList, names: &HeaderNames) -> Result<Option<Duration>, CheckError> {
    if !fields.has(names.deadline) {
        return Ok(None);
    }
    let millis = fields.text(names.deadline).and_then(|text| text.parse().ok());
    let millis = millis.ok_or(CheckError::BadField(names.deadline))?;
    Ok(Some(Duration::from_millis(millis)))
}

fn read_prefixes<W: EntryWire>(fields: &FieldList) -> Vec<PrefixPart> {
    let names = &W::HEADERS;
    let Some(text) = fields.text(names.prompt_parts) else { return Vec::new() };
    match W::decode_prompt_parts(text) {
        Ok(parts) => hash_prefixes(fields.text(names.model).unwrap_or_default(), &parts),
        Err(error) => {
            log::debug!("caller: Prompt parts are ignored. error={error}");
            Vec::new()
        }
    }
}

fn shared_part(prefixes: &[PrefixPart]) -> &[PrefixPart] {
    match prefixes {
        [] | [_] => prefixes,
        [shared @ .., _] => shared,
    }
}

fn combine_priority(team: Option<&TeamRecord>, route: &RouteRecord) -> u8 {
    let team = team.and_then(|team| team.priority).unwrap_or(DEFAULT_TEAM_PRIORITY);
    let within = route.priority.min(ROUTE_PRIORITIES - 1);
    team.saturating_mul(ROUTE_PRIORITIES).saturating_add(within).min(LAST_PRIORITY)
}

fn digest_call(head: &RequestHead, body: &[u8], names: &HeaderNames) -> RequestDigest {
    let key = head.fields.values(names.key).next().unwrap_or_default();
    RequestDigest(hash_parts(&[&head.target, key, body]))
}
