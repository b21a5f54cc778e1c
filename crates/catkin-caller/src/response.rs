//! Builds response heads of answers, and responses for problems and health checks.

use bytes::Bytes;
use catkin_base::{CallRefusal, RequestId};
use hyper::header::{ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;
use crate::check_error::CallCheckError;
use crate::check_headers::HINT_HEADER;
use crate::idle::BusyGuard;
use crate::problem::PROBLEM_TYPE;
use crate::shutdown::CallerShutdown;
use crate::{AnswerStart, ProblemDocument};

/// Response header with the identifier of the request.
pub const REQUEST_HEADER: &str = "x-catkin-request";
/// Response header that marks the recorded answer of an earlier call with the same idempotency key.
pub const REPLAYED_HEADER: &str = "x-catkin-replayed";

const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Failure of a call, sent to the caller as a problem document.
pub(crate) struct CallFailure {
    status: u16,
    refusal: CallRefusal,
    allowed: Option<&'static str>,
}

impl From<CallRefusal> for CallFailure {
    fn from(refusal: CallRefusal) -> Self {
        Self { status: refusal.reason.http_status(), refusal, allowed: None }
    }
}

impl From<CallCheckError> for CallFailure {
    fn from(error: CallCheckError) -> Self {
        let allowed = match error {
            CallCheckError::WrongMethod { allowed } => Some(allowed),
            _ => None,
        };
        Self { status: error.http_status(), refusal: error.to_refusal(), allowed }
    }
}

/// Whether an answer is a stream of server-sent events.
pub(crate) fn is_event_stream(start: &AnswerStart) -> bool {
    start.content_type.starts_with(EVENT_STREAM_TYPE)
}

/// Writes the status and headers of an answer.
pub(crate) fn write_answer_head<B>(response: &mut Response<B>, start: &AnswerStart, id: RequestId) {
    *response.status_mut() = StatusCode::from_u16(start.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(REQUEST_HEADER, parse_header_value(&id.to_string()));
    headers.insert(CONTENT_TYPE, parse_header_value(&start.content_type));
    if is_event_stream(start) {
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    }
    if let Some(hint) = &start.hint {
        headers.insert(HINT_HEADER, parse_header_value(hint));
    }
    if start.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
}

fn parse_header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Builds the response to a failed call.
pub(crate) fn build_problem_response<B>(
    id: RequestId,
    failure: &CallFailure,
    busy: BusyGuard,
) -> Response<ResponseBody<B>> {
    let refusal = &failure.refusal;
    log::debug!("caller: request {id} refused: {refusal}");
    let reason = refusal.reason.as_word();
    metrics::counter!("catkin_caller_refusals_total", "reason" => reason).increment(1);
    let problem = ProblemDocument::from_refusal(refusal, failure.status, id);
    let bytes = problem.to_json().into();
    let mut response = Response::new(ResponseBody::Text { bytes, _busy: busy });
    let status = StatusCode::from_u16(failure.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(REQUEST_HEADER, parse_header_value(&id.to_string()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(seconds) = refusal.retry_after_seconds {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(allowed) = failure.allowed {
        headers.insert(ALLOW, HeaderValue::from_static(allowed));
    }
    response
}

/// Builds the response to a health check of a load balancer.
pub(crate) fn build_health_response<B>(
    shutdown: &CallerShutdown,
    busy: BusyGuard,
) -> Response<ResponseBody<B>> {
    let leaving = shutdown.is_leaving();
    let bytes = Bytes::from_static(if leaving { b"leaving\n" } else { b"ok\n" });
    let mut response = Response::new(ResponseBody::Text { bytes, _busy: busy });
    if leaving {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
