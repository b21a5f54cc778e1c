//! A listener for callers whose service passes each call to one engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkin_backend::{AttemptSpec, BackendError, BackendLink, BackendStream, HttpLink, HttpStream};
use catkin_base::{AttemptId, CallRefusal, RefusalReason};
use catkin_caller::{
    AnswerError, AnswerPart, AnswerStart, CallAnswer, CallRequest, CallService, CallerLimits,
    CallerListener, RequestIds,
};

const LONG_WAIT: Duration = Duration::from_secs(60);

/// Passes each call to one engine.
struct PassService {
    engine: SocketAddr,
}

/// An engine's answer as it arrives.
struct PassAnswer {
    stream: HttpStream,
    start: AnswerStart,
}

/// Binds the listener; serve it to run.
pub async fn bind(address: SocketAddr, engine: SocketAddr) -> CallerListener<impl CallService> {
    let service = Arc::new(PassService { engine });
    CallerListener::bind(address, CallerLimits::default(), RequestIds::from_seed(1), service)
        .await
        .expect("bind")
}

impl CallService for PassService {
    type Answer = PassAnswer;

    async fn call(&self, request: CallRequest) -> Result<PassAnswer, CallRefusal> {
        let spec = AttemptSpec {
            address: self.engine,
            path: "/v1/chat/completions".to_owned(),
            attempt: AttemptId(request.request.0),
            chat: None,
            idempotency_key: None,
            priority: 0,
            resume_point: None,
            body: request.body,
            connect_timeout: LONG_WAIT,
            head_timeout: LONG_WAIT,
            idle_timeout: LONG_WAIT,
        };
        let stream = HttpLink.send(&spec).await.map_err(|error| refusal_of(&error))?;
        let content_type = stream.head().content_type.clone();
        let start = AnswerStart { status: 200, content_type, hint: None, replayed: false };
        Ok(PassAnswer { stream, start })
    }
}

impl CallAnswer for PassAnswer {
    fn start(&self) -> &AnswerStart {
        &self.start
    }

    async fn next_part(&mut self) -> Result<AnswerPart, AnswerError> {
        match self.stream.next_part().await {
            Ok(Some(bytes)) => Ok(AnswerPart::Data(bytes)),
            Ok(None) => Ok(AnswerPart::End),
            Err(error) => Err(AnswerError { refusal: refusal_of(&error) }),
        }
    }
}

fn refusal_of(error: &BackendError) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::ServerFailed, error.to_string()).with_verdict(error.ran)
}
