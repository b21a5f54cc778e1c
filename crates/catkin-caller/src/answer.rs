//! One request on a connection: checks, the call, and the response.

use std::convert::Infallible;
use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason, RequestId};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, Version};

use crate::body::{AnswerFrames, AnswerHold, ResponseBody, pass_answer};
use crate::check_body::check_body;
use crate::check_error::CallCheckError;
use crate::check_headers::check_headers;
use crate::check_route::{CallRoute, check_route};
use crate::held::HeldShare;
use crate::idle::BusyGuard;
use crate::request_body::read_body;
use crate::response::{
    CallFailure, health_response, is_event_stream, problem_response, write_head,
};
use crate::shared::{ConnectionMode, ConnectionShared};
use crate::{AnswerPart, CallAnswer, CallRequest, CallService};

const FULL_RETRY_SECONDS: u32 = 1;

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

fn check_version_and_route(request: &Request<Incoming>) -> Result<CallRoute, CallCheckError> {
    let route = check_route(request.method(), request.uri())?;
    if request.version() < Version::HTTP_11 && route != CallRoute::Health {
        return Err(CallCheckError::OldProtocol);
    }
    Ok(route)
}

/// An answer whose first part has arrived.
struct OpenedAnswer<A> {
    answer: A,
    first: AnswerPart,
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

fn answer_response<S: CallService>(
    connection: &ConnectionShared<S>,
    id: RequestId,
    opened: OpenedAnswer<S::Answer>,
    busy: BusyGuard,
) -> Response<ResponseBody<impl AnswerFrames + use<S>>> {
    let start = opened.answer.start().clone();
    let hold = AnswerHold {
        request: id,
        streamed: is_event_stream(&start),
        cut: connection.cut.clone(),
        _share: opened.share,
        _busy: busy,
    };
    let body = pass_answer(opened.answer, opened.first, hold);
    let mut response = Response::new(ResponseBody::Answer(body));
    write_head(&mut response, &start, id);
    response
}
