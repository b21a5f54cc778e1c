//! Listener whose service forwards each call to one engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkin_backend::{AttemptSpec, BackendError, BackendLink, BackendStream, HttpLink, HttpStream};
use catkin_base::{AttemptId, CallRefusal, RefusalReason};
use catkin_caller::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallerLimits,
    CallerListener, RequestIds,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Service that forwards each call to one engine.
struct ForwardService {
    engine: SocketAddr,
}

/// Answer of the engine, received part by part.
struct ForwardedAnswer {
    stream: HttpStream,
    start: AnswerStart,
}

/// Binds a listener that forwards calls to `engine`.
pub async fn bind(address: SocketAddr, engine: SocketAddr) -> CallerListener<impl CallService> {
    let service = Arc::new(ForwardService { engine });
    CallerListener::bind(address, CallerLimits::default(), RequestIds::from_seed(1), service)
        .await
        .expect("bind")
}

impl CallService for ForwardService {
    type Answer = ForwardedAnswer;

    async fn call(&self, request: CallRequest) -> Result<ForwardedAnswer, CallRefusal> {
        let spec = AttemptSpec {
            address: self.engine,
            path: "/v1/chat/completions".to_owned(),
            attempt: AttemptId(request.request.0),
            chat: None,
            idempotency_key: None,
            priority: 0,
            resume_point: None,
            body: request.body,
            connect_timeout: LONG_TIMEOUT,
            head_timeout: LONG_TIMEOUT,
            idle_timeout: LONG_TIMEOUT,
        };
        let stream = HttpLink.send(&spec).await.map_err(|error| convert_error(&error))?;
        let content_type = stream.head().content_type.clone();
        let start = AnswerStart { status: 200, content_type, hint: None, replayed: false };
        Ok(ForwardedAnswer { stream, start })
    }
}

impl CallAnswer for ForwardedAnswer {
    fn start(&self) -> &AnswerStart {
        &self.start
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        match self.stream.next_part().await {
            Ok(Some(bytes)) => Ok(AnswerPart::Data(bytes)),
            Ok(None) => Ok(AnswerPart::End),
            Err(error) => Err(AnswerError { refusal: convert_error(&error) }),
        }
    }
}

fn convert_error(error: &BackendError) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::ServerFailed, error.to_string()).with_verdict(error.ran)
}
