//! One request on a connection: checks, the call, and the response.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use catkin_base::{CallRefusal, RefusalReason, RequestId};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Version};
use tokio::time::timeout;

use crate::body::{AnswerFrames, AnswerHold, ResponseBody, pass_answer};
use crate::check::{CallRoute, CheckError, HINT_HEADER, check_body, check_headers, check_route};
use crate::guard::{CutFlag, UnreadFlag};
use crate::held::{HeldBudget, HeldShare};
use crate::idle::{BusyGuard, IdleSlot};
use crate::problem::PROBLEM_TYPE;
use crate::shutdown::CallerShutdown;
use crate::{
    AnswerStart, CallAnswer, CallRequest, CallService, CallerLimits, ProblemDocument, RequestIds,
};

/// Response header with the request's identifier.
pub const REQUEST_HEADER: &str = "x-catkin-request";
/// Response header that marks a recorded answer.
pub const REPLAYED_HEADER: &str = "x-catkin-replayed";

const EVENT_STREAM_TYPE: &str = "text/event-stream";
const FULL_RETRY_SECONDS: u32 = 1;

/// What all connections of a listener share.
#[derive(Debug)]
pub(crate) struct ListenerShared<S> {
    pub(crate) service: Arc<S>,
    pub(crate) limits: CallerLimits,
    pub(crate) ids: RequestIds,
    pub(crate) held: Arc<HeldBudget>,
    pub(crate) shutdown: CallerShutdown,
}

/// Whether a connection's calls are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionMode {
    /// They are.
    Serving,
    /// Too many connections are open: each is told to come back later.
    Refusing,
}

/// What the requests of one connection share.
#[derive(Debug)]
pub(crate) struct ConnectionShared<S> {
    pub(crate) listener: Arc<ListenerShared<S>>,
    pub(crate) slot: Arc<IdleSlot>,
    pub(crate) cut: CutFlag,
    pub(crate) unread: UnreadFlag,
    pub(crate) mode: ConnectionMode,
}

/// A failure that becomes a problem response.
struct CallFailure {
    status: u16,
    refusal: CallRefusal,
    allowed: Option<&'static str>,
}

impl From<CallRefusal> for CallFailure {
    fn from(refusal: CallRefusal) -> Self {
        Self { status: refusal.reason.http_status(), refusal, allowed: None }
    }
}

impl From<CheckError> for CallFailure {
    fn from(error: CheckError) -> Self {
        let allowed = match error {
            CheckError::WrongMethod { allowed } => Some(allowed),
            _ => None,
        };
        Self { status: error.http_status(), refusal: error.to_refusal(), allowed }
    }
}

/// Answers one request.
pub(crate) async fn answer_request<S: CallService>(
    connection: Arc<ConnectionShared<S>>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody<impl AnswerFrames + use<S>>>, Infallible> {
    let busy = connection.slot.begin();
    let id = connection.listener.ids.next_id();
    connection.unread.set(!request.body().is_end_stream());
    let route = check_version_and_route(&request);
    if route == Ok(CallRoute::Health) {
        return Ok(health_response(&connection.listener.shutdown, busy));
    }
    let opened = match route {
        Ok(route) => open_answer(&connection, id, route, request).await,
        Err(error) => Err(error.into()),
    };
    Ok(match opened {
        Ok(opened) => answer_response(&connection, id, opened, busy),
        Err(failure) => problem_response(id, &failure, busy),
    })
}

fn check_version_and_route(request: &Request<Incoming>) -> Result<CallRoute, CheckError> {
    let route = check_route(request.method(), request.uri())?;
    if request.version() < Version::HTTP_11 && route != CallRoute::Health {
        return Err(CheckError::OldProtocol);
    }
    Ok(route)
}

/// An answer whose first part has arrived.
struct OpenedAnswer<A> {
    answer: A,
    first: crate::AnswerPart,
    share: HeldShare,
}

async fn open_answer<S: CallService>(
    connection: &ConnectionShared<S>,
    id: RequestId,
    route: CallRoute,
    request: Request<Incoming>,
) -> Result<OpenedAnswer<S::Answer>, CallFailure> {
    let listener = &connection.listener;
    if connection.mode == ConnectionMode::Refusing {
        return Err(full_refusal().into());
    }
    let headers = check_headers(request.headers())?;
    let mut share = HeldShare::new(&listener.held);
    let body = read_body(request.into_body(), &listener.limits, &mut share).await?;
    connection.unread.set(false);
    let target = check_body(route, &body)?;
    let call = CallRequest {
        request: id,
        target,
        token: headers.token,
        class: headers.class,
        chat: headers.chat,
        deadline_millis: headers.deadline_millis,
        idempotency_key: headers.idempotency_key,
        hint: headers.hint,
        body,
    };
    let mut answer = listener.service.call(call).await?;
    let first = answer.next_part().await.map_err(|cut| cut.refusal)?;
    Ok(OpenedAnswer { answer, first, share })
}

fn full_refusal() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, "too many connections are open")
        .with_retry_after(FULL_RETRY_SECONDS)
}

async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    share: &mut HeldShare,
) -> Result<Bytes, CheckError> {
    let limit_bytes = limits.max_body_bytes;
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(CheckError::BodyTooLarge { limit_bytes });
    }
    let limit_millis = limits.body_timeout.as_millis();
    timeout(limits.body_timeout, collect_body(body, limit_bytes, share))
        .await
        .map_err(|_| CheckError::BodyTooSlow { limit_millis })?
}

async fn collect_body(
    mut body: Incoming,
    limit_bytes: usize,
    share: &mut HeldShare,
) -> Result<Bytes, CheckError> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CheckError::BodyCut)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if collected.len() + bytes.len() > limit_bytes {
            return Err(CheckError::BodyTooLarge { limit_bytes });
        }
        if !share.grow(bytes.len()) {
            return Err(CheckError::BodiesFull);
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}

fn answer_response<S: CallService>(
    connection: &ConnectionShared<S>,
    id: RequestId,
    opened: OpenedAnswer<S::Answer>,
    busy: BusyGuard,
) -> Response<ResponseBody<impl AnswerFrames + use<S>>> {
    let start = opened.answer.start().clone();
    let hold = AnswerHold {
        request: id,
        streamed: start.content_type.starts_with(EVENT_STREAM_TYPE),
        cut: connection.cut.clone(),
        _share: opened.share,
        _busy: busy,
    };
    let body = pass_answer(opened.answer, opened.first, hold);
    let mut response = Response::new(ResponseBody::Answer(body));
    write_head(&mut response, &start, id);
    response
}

fn write_head<B>(response: &mut Response<B>, start: &AnswerStart, id: RequestId) {
    *response.status_mut() = StatusCode::from_u16(start.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(REQUEST_HEADER, text_value(&id.to_string()));
    headers.insert(CONTENT_TYPE, text_value(&start.content_type));
    if start.content_type.starts_with(EVENT_STREAM_TYPE) {
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    }
    if let Some(hint) = &start.hint {
        headers.insert(HINT_HEADER, text_value(hint));
    }
    if start.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
}

fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn problem_response<B>(
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
    headers.insert(REQUEST_HEADER, text_value(&id.to_string()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(seconds) = refusal.retry_after_seconds {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(allowed) = failure.allowed {
        headers.insert(ALLOW, HeaderValue::from_static(allowed));
    }
    response
}

fn health_response<B>(shutdown: &CallerShutdown, busy: BusyGuard) -> Response<ResponseBody<B>> {
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
