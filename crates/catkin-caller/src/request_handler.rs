//! Handles one request of a connection: validation, call and response.

use std::convert::Infallible;
use std::sync::Arc;

use catkin_base::{CallRefusal, RefusalReason, RequestId};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, Version};

use crate::body::{AnswerFrames, AnswerResources, ResponseBody, forward_answer};
use crate::body_budget::BodyReservation;
use crate::check_body::check_body;
use crate::check_error::CallCheckError;
use crate::check_headers::check_headers;
use crate::check_route::{CallRoute, check_route};
use crate::idle::BusyGuard;
use crate::request_body::read_body;
use crate::response::{
    CallFailure, build_health_response, build_problem_response, is_event_stream, write_answer_head,
};
use crate::state::{ConnectionMode, ConnectionState};
use crate::{AnswerPart, CallAnswer, CallRequest, CallService};

const OVERLOAD_RETRY_SECONDS: u32 = 1;

/// Handles one request and returns its response, whose body may still be arriving.
pub(crate) async fn handle_request<S: CallService>(
    connection: Arc<ConnectionState<S>>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody<impl AnswerFrames + use<S>>>, Infallible> {
    let busy = connection.tracker.mark_busy();
    let id = connection.listener.ids.next_id();
    connection.unread.set(!request.body().is_end_stream());
    let route = check_version_and_route(&request);
    if route == Ok(CallRoute::Health) {
        return Ok(build_health_response(&connection.listener.shutdown, busy));
    }
    let opened = match route {
        Ok(route) => open_answer(&connection, id, route, request).await,
        Err(error) => Err(error.into()),
    };
    Ok(match opened {
        Ok(opened) => build_answer_response(&connection, id, opened, busy),
        Err(failure) => build_problem_response(id, &failure, busy),
    })
}

fn check_version_and_route(request: &Request<Incoming>) -> Result<CallRoute, CallCheckError> {
    let route = check_route(request.method(), request.uri())?;
    if request.version() < Version::HTTP_11 && route != CallRoute::Health {
        return Err(CallCheckError::UnsupportedVersion);
    }
    Ok(route)
}

/// Answer whose first part was received. A call that fails before it gets a problem response
/// instead of a truncated answer.
struct OpenedAnswer<A> {
    answer: A,
    first: AnswerPart,
    reservation: BodyReservation,
}

async fn open_answer<S: CallService>(
    connection: &ConnectionState<S>,
    id: RequestId,
    route: CallRoute,
    request: Request<Incoming>,
) -> Result<OpenedAnswer<S::Answer>, CallFailure> {
    let listener = &connection.listener;
    if connection.mode == ConnectionMode::Refusing {
        return Err(build_overload_refusal().into());
    }
    let headers = check_headers(request.headers())?;
    let mut reservation = BodyReservation::new(&listener.body_budget);
    let body = read_body(request.into_body(), &listener.limits, &mut reservation).await?;
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
    let first = answer.next_part().await.map_err(|error| error.refusal)?;
    Ok(OpenedAnswer { answer, first, reservation })
}

fn build_overload_refusal() -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, "too many connections are open")
        .with_retry_after(OVERLOAD_RETRY_SECONDS)
}

fn build_answer_response<S: CallService>(
    connection: &ConnectionState<S>,
    id: RequestId,
    opened: OpenedAnswer<S::Answer>,
    busy: BusyGuard,
) -> Response<ResponseBody<impl AnswerFrames + use<S>>> {
    let start = opened.answer.start().clone();
    let resources = AnswerResources {
        request: id,
        streamed: is_event_stream(&start),
        truncated: connection.truncated.clone(),
        _reservation: opened.reservation,
        _busy: busy,
    };
    let body = forward_answer(opened.answer, opened.first, resources);
    let mut response = Response::new(ResponseBody::Answer(body));
    write_answer_head(&mut response, &start, id);
    response
}
