//! Checks of a call's headers.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING,
};

use crate::check_error::CallCheckError;
use crate::check_route::is_name;

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

const MAX_TOKEN_CHARS: usize = 512;
const MAX_CHAT_CHARS: usize = 256;
const MAX_KEY_CHARS: usize = 255;
const MAX_HINT_CHARS: usize = 512;
const MAX_DEADLINE_MILLIS: u64 = 86_400_000;

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

pub(crate) fn check_headers(headers: &HeaderMap) -> Result<CallHeaders, CallCheckError> {
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

fn check_framing(headers: &HeaderMap) -> Result<(), CallCheckError> {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if has_length && headers.contains_key(TRANSFER_ENCODING) {
        return Err(CallCheckError::TwoLengths);
    }
    single_value(headers, "content-length", "a number").map(|_| ())
}

fn check_media(headers: &HeaderMap) -> Result<(), CallCheckError> {
    let expected = "application/json";
    if let Some(media) = single_value(headers, CONTENT_TYPE.as_str(), expected)? {
        let kind = media.split(';').next().unwrap_or_default().trim();
        if !kind.eq_ignore_ascii_case(expected) {
            return Err(CallCheckError::BadHeader { name: "content-type", expected });
        }
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(CallCheckError::BadHeader { name: "content-encoding", expected: "absent" });
    }
    Ok(())
}

fn check_token(headers: &HeaderMap) -> Result<String, CallCheckError> {
    let expected = "Bearer and a token";
    let value = single_value(headers, AUTHORIZATION.as_str(), expected)?;
    let value = value.ok_or(CallCheckError::NoToken)?;
    let (scheme, token) = value.split_once(' ').ok_or(CallCheckError::BadToken)?;
    let fits = (1..=MAX_TOKEN_CHARS).contains(&token.len());
    if !scheme.eq_ignore_ascii_case("bearer") || !fits || !token.bytes().all(is_visible) {
        return Err(CallCheckError::BadToken);
    }
    Ok(token.to_owned())
}

fn check_class(headers: &HeaderMap) -> Result<Option<String>, CallCheckError> {
    let expected = "1 to 64 letters, digits, dots, dashes or underscores";
    match single_value(headers, CLASS_HEADER, expected)? {
        Some(class) if !is_name(class) => {
            Err(CallCheckError::BadHeader { name: CLASS_HEADER, expected })
        }
        class => Ok(class.map(str::to_owned)),
    }
}

fn check_key(headers: &HeaderMap) -> Result<Option<String>, CallCheckError> {
    let expected = "1 to 255 visible characters";
    match single_value(headers, KEY_HEADER, expected)? {
        Some(key)
            if key.is_empty() || key.len() > MAX_KEY_CHARS || !key.bytes().all(is_visible) =>
        {
            Err(CallCheckError::BadHeader { name: KEY_HEADER, expected })
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
    match single_value(headers, name, expected)? {
        Some(text) if text.is_empty() || text.len() > max_chars => {
            Err(CallCheckError::BadHeader { name, expected })
        }
        text => Ok(text.map(str::to_owned)),
    }
}

fn check_deadline(headers: &HeaderMap) -> Result<Option<u64>, CallCheckError> {
    let expected = "a whole number of milliseconds from 1 to 86400000";
    let Some(text) = single_value(headers, DEADLINE_HEADER, expected)? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let millis = if digits { text.parse().ok() } else { None };
    match millis {
        Some(millis) if (1..=MAX_DEADLINE_MILLIS).contains(&millis) => Ok(Some(millis)),
        _ => Err(CallCheckError::BadHeader { name: DEADLINE_HEADER, expected }),
    }
}

fn single_value<'a>(
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
    let text = value.to_str().map_err(|_| CallCheckError::BadHeader { name, expected })?;
    Ok(Some(text))
}

fn is_visible(byte: u8) -> bool {
    byte.is_ascii_graphic()
}
