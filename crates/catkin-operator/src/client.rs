//! Client of the operators' listener.

use std::net::SocketAddr;

use catkin_base::value_type;
use minreq::{Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::documents::{
    ApplyAnswer, ApplyRequest, DrainAnswer, FleetStatus, HistoryAnswer, RefusalAnswer,
    RevisionAnswer, RollbackRequest,
};
use crate::head::encode_document;

/// Seconds that a router gets for an answer.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

value_type! {
    /// Why a request of an operator failed.
    #[derive(thiserror::Error)]
    pub enum ClientError {
        /// No router answered.
        #[error("no router answered; last error: {0}")]
        Unreachable(String),
        /// A router refused.
        #[error("{detail}")]
        Refused {
            /// HTTP status.
            status: u16,
            /// Short word.
            reason: String,
            /// One sentence for a person.
            detail: String,
            /// The revision in force, for a conflict.
            revision: Option<u64>,
            /// What differs from the base, or what is wrong, by path.
            paths: Vec<String>,
        },
        /// A router's answer cannot be read.
        #[error("{router} gave an answer that cannot be read: {detail}")]
        Malformed {
            /// The router.
            router: SocketAddr,
            /// What is wrong.
            detail: String,
        },
    }
}

impl ClientError {
    /// Whether another revision is in force than the base.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { status: 409, .. })
    }
}

/// Sends requests to the first router that answers.
pub struct OperatorClient {
    routers: Vec<SocketAddr>,
    token: String,
    timeout_seconds: u64,
}

impl OperatorClient {
    /// A client of these routers, tried in order.
    pub fn new(routers: Vec<SocketAddr>, token: String) -> Self {
        Self { routers, token, timeout_seconds: DEFAULT_TIMEOUT_SECONDS }
    }

    /// The same client with another time for an answer, in seconds.
    pub fn with_timeout_seconds(mut self, seconds: u64) -> Self {
        self.timeout_seconds = seconds;
        self
    }

    /// What a router knows of the fleet.
    pub fn status(&self) -> Result<FleetStatus, ClientError> {
        self.ask_any(&Method::Get, "/status", None)
    }

    /// What is in force.
    pub fn declarations(&self) -> Result<RevisionAnswer, ClientError> {
        self.ask_any(&Method::Get, "/declarations", None)
    }

    /// The newest revisions.
    pub fn history(&self) -> Result<HistoryAnswer, ClientError> {
        self.ask_any(&Method::Get, "/history", None)
    }

    /// Puts declarations in force. The apply id makes it safe to ask several routers.
    pub fn apply(&self, request: &ApplyRequest) -> Result<ApplyAnswer, ClientError> {
        self.ask_any(&Method::Post, "/apply", Some(&encode_document(request)))
    }

    /// Puts an older revision in force again.
    pub fn rollback(&self, request: &RollbackRequest) -> Result<ApplyAnswer, ClientError> {
        self.ask_any(&Method::Post, "/rollback", Some(&encode_document(request)))
    }

    /// Starts to drain one router.
    pub fn drain(&self, router: SocketAddr) -> Result<DrainAnswer, ClientError> {
        self.ask_one(router, &Method::Post, "/drain", None)
    }

    fn ask_any<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, ClientError> {
        let mut last = ClientError::Unreachable("no router is named".to_owned());
        for router in &self.routers {
            match self.ask_one(*router, method, path, body) {
                Err(error @ ClientError::Unreachable(_)) => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    fn ask_one<T: DeserializeOwned>(
        &self,
        router: SocketAddr,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, ClientError> {
        let mut request = Request::new(method.clone(), format!("http://{router}{path}"))
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_timeout(self.timeout_seconds)
            .with_max_redirects(0);
        if let Some(body) = body {
            request =
                request.with_header("Content-Type", "application/json").with_body(body.to_vec());
        }
        let response = request
            .send()
            .map_err(|error| ClientError::Unreachable(format!("{router}: {error}")))?;
        read_answer(router, &response)
    }
}

fn read_answer<T: DeserializeOwned>(
    router: SocketAddr,
    response: &Response,
) -> Result<T, ClientError> {
    let malformed =
        |error: serde_json::Error| ClientError::Malformed { router, detail: error.to_string() };
    if response.status_code == 200 {
        return serde_json::from_slice(response.as_bytes()).map_err(malformed);
    }
    let answer: RefusalAnswer = serde_json::from_slice(response.as_bytes()).map_err(malformed)?;
    Err(ClientError::Refused {
        status: response.status_code,
        reason: answer.reason,
        detail: answer.detail,
        revision: answer.revision,
        paths: answer.paths,
    })
}
