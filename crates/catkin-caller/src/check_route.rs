//! Validates the method and path of a call.

use hyper::{Method, Uri};

use crate::check_error::CallCheckError;

const CHAT_PATH: &str = "/v1/chat/completions";
const HEALTH_PATH: &str = "/healthz";
const SERVICES_PREFIX: &str = "/services/";
const MAX_PATH_CHARS: usize = 1024;
const MAX_NAME_CHARS: usize = 64;

/// Route selected by a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallRoute {
    Health,
    Chat,
    Service { service: String, path: String },
}

pub(crate) fn check_route(method: &Method, uri: &Uri) -> Result<CallRoute, CallCheckError> {
    let route = find_route(uri.path())?;
    let allowed = if route == CallRoute::Health { Method::GET } else { Method::POST };
    if method != allowed {
        let allowed = if allowed == Method::GET { "GET" } else { "POST" };
        return Err(CallCheckError::WrongMethod { allowed });
    }
    if uri.query().is_some() && route != CallRoute::Health {
        return Err(CallCheckError::UnexpectedQuery);
    }
    Ok(route)
}

fn find_route(path: &str) -> Result<CallRoute, CallCheckError> {
    match path {
        HEALTH_PATH => return Ok(CallRoute::Health),
        CHAT_PATH => return Ok(CallRoute::Chat),
        _ => {}
    }
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or(CallCheckError::UnknownPath)?;
    let start = rest.find('/').ok_or(CallCheckError::UnknownPath)?;
    let (service, path) = rest.split_at(start);
    if !is_valid_name(service) {
        return Err(CallCheckError::UnknownPath);
    }
    if path.len() > MAX_PATH_CHARS || path[1..].split('/').any(is_invalid_segment) {
        return Err(CallCheckError::InvalidPath);
    }
    Ok(CallRoute::Service { service: service.to_owned(), path: path.to_owned() })
}

fn is_invalid_segment(segment: &str) -> bool {
    matches!(segment, "" | "." | "..") || segment.split('%').skip(1).any(is_unneeded_escape)
}

/// Whether the text after a `%` is an incomplete escape or encodes a character that needs no
/// escape. Such a path could be written in two ways, and servers could treat them differently.
fn is_unneeded_escape(escape: &str) -> bool {
    let digits = escape.get(..2).unwrap_or_default();
    match u8::from_str_radix(digits, 16) {
        Ok(byte) => byte.is_ascii_alphanumeric() || b"-._~".contains(&byte),
        Err(_) => true,
    }
}

/// Whether a text is a valid name of a class or service.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let fits = (1..=MAX_NAME_CHARS).contains(&text.len());
    fits && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
