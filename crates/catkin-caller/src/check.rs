//! Checks of a call's form: route, headers and body.

use catkin_base::{CallRefusal, RefusalReason};
use hyper::header::{AUTHORIZATION, CONTENT_ENCODING, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Uri};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::CallTarget;

/// Header that names the request class.
pub const CLASS_HEADER: &str = "x-catkin-class";
/// Header that names the chat.
pub const CHAT_HEADER: &str = "x-catkin-chat";
/// Header with the longest wait, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-catkin-deadline-ms";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the hint, in requests and in responses.
pub const HINT_HEADER: &str = "x-catkin-hint";

const CHAT_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";
const SERVICES_PREFIX: &str = "/services/";
const MAX_TOKEN_CHARS: usize = 512;
const MAX_NAME_CHARS: usize = 64;
const MAX_CHAT_CHARS: usize = 256;
const MAX_KEY_CHARS: usize = 255;
const MAX_HINT_CHARS: usize = 512;
const MAX_PATH_CHARS: usize = 1024;
const MAX_DEADLINE_MILLIS: u64 = 86_400_000;

/// A call whose form is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CheckError {
    /// No such path.
    #[error("path does not exist; calls go to /v1/chat/completions or /services/<service>/<path>")]
    UnknownPath,
    /// The path takes another method.
    #[error("this path takes only {allowed}")]
    WrongMethod {
        /// The method that it takes.
        allowed: &'static str,
    },
    /// The path has a query, which is never passed on.
    #[error("the path must not have a query")]
    QueryGiven,
    /// The path is too long or has empty or dot segments or needless escapes.
    #[error(
        "the path must have at most 1024 characters, no empty or dot segments, and only needed escapes"
    )]
    BadPath,
    /// The protocol can't tell a whole answer from a cut one.
    #[error("calls need HTTP/1.1")]
    OldProtocol,
    /// A header stands more than once.
    #[error("header {name} stands more than once")]
    RepeatedHeader {
        /// The header.
        name: &'static str,
    },
    /// A header's value isn't allowed.
    #[error("header {name} must be {expected}")]
    BadHeader {
        /// The header.
        name: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// Both ways of giving the body's length were used.
    #[error("content-length and transfer-encoding exclude each other")]
    TwoLengths,
    /// The token is missing.
    #[error("header authorization is missing")]
    NoToken,
    /// The token isn't a bearer token.
    #[error("header authorization must be Bearer and a token of at most 512 characters")]
    BadToken,
    /// The body is too large.
    #[error("the body is longer than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body didn't come in time.
    #[error("the body did not arrive within {limit_millis} ms")]
    BodyTooSlow {
        /// The limit.
        limit_millis: u128,
    },
    /// The body broke off.
    #[error("the body ended early")]
    BodyCut,
    /// The body isn't UTF-8.
    #[error("the body is not valid UTF-8")]
    BodyNotText,
    /// The body isn't the JSON expected.
    #[error("the body is not as expected: {problem}")]
    BadBody {
        /// What the parser found.
        problem: String,
    },
    /// Other callers' bodies take all the memory set aside for them.
    #[error("too many request bodies are being read")]
    BodiesFull,
}

impl CheckError {
    /// The HTTP status that carries it.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::WrongMethod { .. } => 405,
            Self::OldProtocol => 505,
            Self::BodyTooSlow { .. } => 408,
            _ => self.reason().http_status(),
        }
    }

    /// The refusal given to the caller.
    pub fn to_refusal(&self) -> CallRefusal {
        let refusal = CallRefusal::not_run(self.reason(), self.to_string());
        match self {
            Self::BodiesFull => refusal.with_retry_after(1),
            _ => refusal,
        }
    }

    fn reason(&self) -> RefusalReason {
        match self {
            Self::UnknownPath => RefusalReason::NotFound,
            Self::NoToken | Self::BadToken => RefusalReason::Unauthorized,
            Self::BodyTooLarge { .. } => RefusalReason::TooLarge,
            Self::BodiesFull => RefusalReason::Overloaded,
            _ => RefusalReason::BadRequest,
        }
    }
}

/// What a path leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallRoute {
    Health,
    Chat,
    Service { service: String, path: String },
}

pub(crate) fn check_route(method: &Method, uri: &Uri) -> Result<CallRoute, CheckError> {
    let route = find_route(uri.path())?;
    let allowed = if route == CallRoute::Health { Method::GET } else { Method::POST };
    if method != allowed {
        let allowed = if allowed == Method::GET { "GET" } else { "POST" };
        return Err(CheckError::WrongMethod { allowed });
    }
    if uri.query().is_some() && route != CallRoute::Health {
        return Err(CheckError::QueryGiven);
    }
    Ok(route)
}

fn find_route(path: &str) -> Result<CallRoute, CheckError> {
    match path {
        HEALTH_PATH => return Ok(CallRoute::Health),
        CHAT_PATH => return Ok(CallRoute::Chat),
        _ => {}
    }
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or(CheckError::UnknownPath)?;
    let start = rest.find('/').ok_or(CheckError::UnknownPath)?;
    let (service, path) = rest.split_at(start);
    if !is_name(service) {
        return Err(CheckError::UnknownPath);
    }
    if path.len() > MAX_PATH_CHARS || path[1..].split('/').any(is_bad_segment) {
        return Err(CheckError::BadPath);
    }
    Ok(CallRoute::Service { service: service.to_owned(), path: path.to_owned() })
}

fn is_bad_segment(segment: &str) -> bool {
    matches!(segment, "" | "." | "..") || segment.split('%').skip(1).any(is_needless_escape)
}

/// Whether an escape is cut, or stands for a character that needs none: such a path has two forms.
fn is_needless_escape(escape: &str) -> bool {
    let digits = escape.get(..2).unwrap_or_default();
    match u8::from_str_radix(digits, 16) {
        Ok(byte) => byte.is_ascii_alphanumeric() || b"-._~".contains(&byte),
        Err(_) => true,
    }
}

/// Headers of a call, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallHeaders {
    pub(crate) token: String,
    pub(crate) class: Option<String>,
    pub(crate) chat: Option<String>,
    pub(crate) deadline_millis: Option<u64>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) hint: Option<String>,
}

pub(crate) fn check_headers(headers: &HeaderMap) -> Result<CallHeaders, CheckError> {
    check_framing(headers)?;
    check_media(headers)?;
    Ok(CallHeaders {
        token: check_token(headers)?,
        class: check_class(headers)?,
        chat: check_text(headers, CHAT_HEADER, MAX_CHAT_CHARS, "1 to 256 printable characters")?,
        deadline_millis: check_deadline(headers)?,
        idempotency_key: check_key(headers)?,
        hint: check_text(headers, HINT_HEADER, MAX_HINT_CHARS, "1 to 512 printable characters")?,
    })
}

fn check_framing(headers: &HeaderMap) -> Result<(), CheckError> {
    let has_length = headers.contains_key("content-length");
    if has_length && headers.contains_key("transfer-encoding") {
        return Err(CheckError::TwoLengths);
    }
    single_value(headers, "content-length", "a number").map(|_| ())
}

fn check_media(headers: &HeaderMap) -> Result<(), CheckError> {
    let expected = "application/json";
    if let Some(media) = single_value(headers, CONTENT_TYPE.as_str(), expected)? {
        let kind = media.split(';').next().unwrap_or_default().trim();
        if !kind.eq_ignore_ascii_case(expected) {
            return Err(CheckError::BadHeader { name: "content-type", expected });
        }
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(CheckError::BadHeader { name: "content-encoding", expected: "absent" });
    }
    Ok(())
}

fn check_token(headers: &HeaderMap) -> Result<String, CheckError> {
    let expected = "Bearer and a token";
    let value = single_value(headers, AUTHORIZATION.as_str(), expected)?;
    let value = value.ok_or(CheckError::NoToken)?;
    let (scheme, token) = value.split_once(' ').ok_or(CheckError::BadToken)?;
    let fits = (1..=MAX_TOKEN_CHARS).contains(&token.len());
    if !scheme.eq_ignore_ascii_case("bearer") || !fits || !token.bytes().all(is_visible) {
        return Err(CheckError::BadToken);
    }
    Ok(token.to_owned())
}

fn check_class(headers: &HeaderMap) -> Result<Option<String>, CheckError> {
    let expected = "1 to 64 letters, digits, dots, dashes or underscores";
    match single_value(headers, CLASS_HEADER, expected)? {
        Some(class) if !is_name(class) => {
            Err(CheckError::BadHeader { name: CLASS_HEADER, expected })
        }
        class => Ok(class.map(str::to_owned)),
    }
}

fn check_key(headers: &HeaderMap) -> Result<Option<String>, CheckError> {
    let expected = "1 to 255 visible characters";
    match single_value(headers, KEY_HEADER, expected)? {
        Some(key)
            if key.is_empty() || key.len() > MAX_KEY_CHARS || !key.bytes().all(is_visible) =>
        {
            Err(CheckError::BadHeader { name: KEY_HEADER, expected })
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn check_text(
    headers: &HeaderMap,
    name: &'static str,
    max_chars: usize,
    expected: &'static str,
) -> Result<Option<String>, CheckError> {
    match single_value(headers, name, expected)? {
        Some(text) if text.is_empty() || text.len() > max_chars => {
            Err(CheckError::BadHeader { name, expected })
        }
        text => Ok(text.map(str::to_owned)),
    }
}

fn check_deadline(headers: &HeaderMap) -> Result<Option<u64>, CheckError> {
    let expected = "a whole number of milliseconds from 1 to 86400000";
    let Some(text) = single_value(headers, DEADLINE_HEADER, expected)? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let millis = if digits { text.parse().ok() } else { None };
    match millis {
        Some(millis) if (1..=MAX_DEADLINE_MILLIS).contains(&millis) => Ok(Some(millis)),
        _ => Err(CheckError::BadHeader { name: DEADLINE_HEADER, expected }),
    }
}

fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<&'a str>, CheckError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(CheckError::RepeatedHeader { name });
    }
    let text = value.to_str().map_err(|_| CheckError::BadHeader { name, expected })?;
    Ok(Some(text))
}

fn is_name(text: &str) -> bool {
    let fits = (1..=MAX_NAME_CHARS).contains(&text.len());
    fits && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

fn is_visible(byte: u8) -> bool {
    byte.is_ascii_graphic()
}

/// The part of a chat completion call that a router reads.
#[derive(Deserialize)]
struct ChatEnvelope {
    model: String,
    #[serde(rename = "messages")]
    _messages: Vec<IgnoredAny>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default, rename = "max_tokens")]
    _max_tokens: Option<u64>,
}

pub(crate) fn check_body(route: CallRoute, body: &[u8]) -> Result<CallTarget, CheckError> {
    let text = std::str::from_utf8(body).map_err(|_| CheckError::BodyNotText)?;
    match route {
        CallRoute::Service { service, path } => {
            parse_json::<IgnoredAny>(text)?;
            Ok(CallTarget::Service { service, path })
        }
        CallRoute::Chat | CallRoute::Health => {
            let envelope: ChatEnvelope = parse_json(text)?;
            let streamed = envelope.stream.unwrap_or(false);
            Ok(CallTarget::Chat { model: envelope.model, streamed })
        }
    }
}

fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, CheckError> {
    serde_json::from_str(text).map_err(|error| CheckError::BadBody { problem: error.to_string() })
}
