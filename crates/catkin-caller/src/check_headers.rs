//! Validates the headers of a call.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING,
};

use crate::check_error::CallCheckError;
use crate::check_route::is_valid_name;

/// Request header with the request class.
pub const CLASS_HEADER: &str = "x-catkin-class";
/// Request header with the name of the chat.
pub const CHAT_HEADER: &str = "x-catkin-chat";
/// Request header with the time that the caller waits for an answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-catkin-deadline-ms";
/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the hint about where a chat was last served, in requests and responses.
pub const HINT_HEADER: &str = "x-catkin-hint";

/// Maximum length of a bearer token, in characters.
const MAX_TOKEN_CHARS: usize = 512;
/// Maximum length of a chat id, in characters; the error message repeats it.
const MAX_CHAT_CHARS: usize = 256;
/// Maximum length of an idempotency key, in characters.
const MAX_KEY_CHARS: usize = 255;
/// Maximum length of a hint, in characters; the error message repeats it.
const MAX_HINT_CHARS: usize = 512;
/// Maximum deadline: one day.
const MAX_DEADLINE_MILLIS: u64 = 86_400_000;

/// Validated headers of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallHeaders {
    pub(crate) token: String,
    pub(crate) class: Option<String>,
    pub(crate) chat: Option<String>,
    pub(crate) deadline_millis: Option<u64>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) hint: Option<String>,
}

pub(crate) fn check_headers(headers: &HeaderMap) -> Result<CallHeaders, CallCheckError> {
    check_framing(headers)?;
    check_content_type(headers)?;
    Ok(CallHeaders {
        token: check_token(headers)?,
        class: check_class(headers)?,
        chat: check_text(headers, CHAT_HEADER, MAX_CHAT_CHARS, "1 to 256 printable characters")?,
        deadline_millis: check_deadline(headers)?,
        idempotency_key: check_key(headers)?,
        hint: check_text(headers, HINT_HEADER, MAX_HINT_CHARS, "1 to 512 printable characters")?,
    })
}

fn check_framing(headers: &HeaderMap) -> Result<(), CallCheckError> {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if has_length && headers.contains_key(TRANSFER_ENCODING) {
        return Err(CallCheckError::ConflictingLengths);
    }
    read_single_value(headers, "content-length", "a number").map(|_| ())
}

fn check_content_type(headers: &HeaderMap) -> Result<(), CallCheckError> {
    let expected = "application/json";
    if let Some(content_type) = read_single_value(headers, CONTENT_TYPE.as_str(), expected)? {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        if !media_type.eq_ignore_ascii_case(expected) {
            return Err(CallCheckError::InvalidHeader { name: "content-type", expected });
        }
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(CallCheckError::InvalidHeader { name: "content-encoding", expected: "absent" });
    }
    Ok(())
}

fn check_token(headers: &HeaderMap) -> Result<String, CallCheckError> {
    let expected = "Bearer and a token";
    let value = read_single_value(headers, AUTHORIZATION.as_str(), expected)?;
    let value = value.ok_or(CallCheckError::MissingToken)?;
    let (scheme, token) = value.split_once(' ').ok_or(CallCheckError::InvalidToken)?;
    let fits = (1..=MAX_TOKEN_CHARS).contains(&token.len());
    if !scheme.eq_ignore_ascii_case("bearer") || !fits || !token.bytes().all(is_visible) {
        return Err(CallCheckError::InvalidToken);
    }
    Ok(token.to_owned())
}

fn check_class(headers: &HeaderMap) -> Result<Option<String>, CallCheckError> {
    let expected = "1 to 64 letters, digits, dots, dashes or underscores";
    match read_single_value(headers, CLASS_HEADER, expected)? {
        Some(class) if !is_valid_name(class) => {
            Err(CallCheckError::InvalidHeader { name: CLASS_HEADER, expected })
        }
        class => Ok(class.map(str::to_owned)),
    }
}

fn check_key(headers: &HeaderMap) -> Result<Option<String>, CallCheckError> {
    let expected = "1 to 255 visible characters";
    match read_single_value(headers, KEY_HEADER, expected)? {
        Some(key)
            if key.is_empty() || key.len() > MAX_KEY_CHARS || !key.bytes().all(is_visible) =>
        {
            Err(CallCheckError::InvalidHeader { name: KEY_HEADER, expected })
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn check_text(
    headers: &HeaderMap,
    name: &'static str,
    max_chars: usize,
    expected: &'static str,
) -> Result<Option<String>, CallCheckError> {
    match read_single_value(headers, name, expected)? {
        Some(text) if text.is_empty() || text.len() > max_chars => {
            Err(CallCheckError::InvalidHeader { name, expected })
        }
        text => Ok(text.map(str::to_owned)),
    }
}

fn check_deadline(headers: &HeaderMap) -> Result<Option<u64>, CallCheckError> {
    let expected = "a whole number of milliseconds from 1 to 86400000";
    let Some(text) = read_single_value(headers, DEADLINE_HEADER, expected)? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let millis = if digits { text.parse().ok() } else { None };
    match millis {
        Some(millis) if (1..=MAX_DEADLINE_MILLIS).contains(&millis) => Ok(Some(millis)),
        _ => Err(CallCheckError::InvalidHeader { name: DEADLINE_HEADER, expected }),
    }
}

/// Returns the value of a header that may occur at most once.
fn read_single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<&'a str>, CallCheckError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(CallCheckError::RepeatedHeader { name });
    }
    let text = value.to_str().map_err(|_| CallCheckError::InvalidHeader { name, expected })?;
    Ok(Some(text))
}

fn is_visible(byte: u8) -> bool {
    byte.is_ascii_graphic()
}
