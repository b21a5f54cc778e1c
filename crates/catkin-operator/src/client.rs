//! Client of the operators' HTTP API.

use std::net::SocketAddr;

use catkin_base::value_type;
use minreq::{Method, Request, Response};
use serde::de::DeserializeOwned;

use crate::documents::{
    ApplyAnswer, ApplyRequest, DrainAnswer, FleetStatus, HistoryAnswer, RefusalAnswer,
    RevisionAnswer, RollbackRequest,
};
use crate::head::encode_document;

/// Default timeout of one request, in seconds.
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;

value_type! {
    /// Reason why a request of an operator failed.
    #[derive(thiserror::Error)]
    pub enum ClientError {
        /// None of the routers answered.
        #[error("no router answered; last error: {0}")]
        Unreachable(String),
        /// A router refused the request.
        #[error("{detail}")]
        Refused {
            /// HTTP status of the answer.
            status: u16,
            /// Reason as one word.
            reason: String,
            /// Explanation in one sentence.
            detail: String,
            /// Revision in force; only in case of a conflict.
            revision: Option<u64>,
            /// Paths that changed since the base, in case of a conflict, or the errors of invalid
            /// declarations.
            paths: Vec<String>,
        },
        /// The answer of a router cannot be decoded.
        #[error("the answer of router {router} cannot be decoded: {detail}")]
        Malformed {
            /// Address of the router.
            router: SocketAddr,
            /// Error of the decoder.
            detail: String,
        },
    }
}

impl ClientError {
    /// Returns whether the request failed because its base is not in force.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { status: 409, .. })
    }
}

/// Client that sends each request to the routers in turn, until one answers.
pub struct OperatorClient {
    routers: Vec<SocketAddr>,
    token: String,
    timeout_seconds: u64,
}

impl OperatorClient {
    /// Returns a client of these routers, which are tried in the given order.
    pub fn new(routers: Vec<SocketAddr>, token: String) -> Self {
        Self { routers, token, timeout_seconds: DEFAULT_TIMEOUT_SECONDS }
    }

    /// Sets the timeout of each request, in seconds.
    pub fn with_timeout_seconds(mut self, seconds: u64) -> Self {
        self.timeout_seconds = seconds;
        self
    }

    /// Reads the state of the fleet as the answering router sees it.
    pub fn status(&self) -> Result<FleetStatus, ClientError> {
        self.send_any(&Method::Get, "/status", None)
    }

    /// Reads the declarations in force.
    pub fn declarations(&self) -> Result<RevisionAnswer, ClientError> {
        self.send_any(&Method::Get, "/declarations", None)
    }

    /// Reads the heads of the newest revisions.
    pub fn history(&self) -> Result<HistoryAnswer, ClientError> {
        self.send_any(&Method::Get, "/history", None)
    }

    /// Puts declarations in force. The apply id makes it safe to send the request to several
    /// routers.
    pub fn apply(&self, request: &ApplyRequest) -> Result<ApplyAnswer, ClientError> {
        self.send_any(&Method::Post, "/apply", Some(&encode_document(request)))
    }

    /// Puts the declarations of an older revision in force again.
    pub fn rollback(&self, request: &RollbackRequest) -> Result<ApplyAnswer, ClientError> {
        self.send_any(&Method::Post, "/rollback", Some(&encode_document(request)))
    }

    /// Starts to drain the router at this address.
    pub fn drain(&self, router: SocketAddr) -> Result<DrainAnswer, ClientError> {
        self.send_request(router, &Method::Post, "/drain", None)
    }

    fn send_any<T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, ClientError> {
        let mut last_error = ClientError::Unreachable("no router address is given".to_owned());
        for router in &self.routers {
            match self.send_request(*router, method, path, body) {
                Err(error @ ClientError::Unreachable(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    fn send_request<T: DeserializeOwned>(
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
