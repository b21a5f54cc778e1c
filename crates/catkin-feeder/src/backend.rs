//! Simulated backend servers, which answer probes, orders and chats with short fixed answers.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::state::FeederState;

/// Request header that a server repeats in its answer.
const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Number of tokens in an answer.
const ANSWER_TOKENS: usize = 5;
/// Incarnation that every server reports.
const INCARNATION: u64 = 1;

/// Opens a listener on a free loopback port for each server.
///
/// # Errors
///
/// Returns the error of the first listener that cannot be opened.
pub async fn bind_servers(count: usize) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    }
    Ok(listeners)
}

/// Returns the local addresses of the listeners, in the same order.
///
/// # Errors
///
/// Returns an error if the system does not report an address.
pub fn list_addresses(listeners: &[TcpListener]) -> io::Result<Vec<SocketAddr>> {
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Serves each listener until `stop`; all tasks are spawned on `tasks`.
pub fn serve_backends(
    listeners: Vec<TcpListener>,
    models: &[String],
    state: &Arc<FeederState>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) {
    for (index, listener) in listeners.into_iter().enumerate() {
        let server =
            SimulatedServer { index, model: models[index].clone(), state: Arc::clone(state) };
        let serving = accept_connections(listener, Arc::new(server), tasks.clone(), stop.clone());
        tasks.spawn(serving);
    }
}

/// A simulated backend server.
struct SimulatedServer {
    index: usize,
    model: String,
    state: Arc<FeederState>,
}

async fn accept_connections(
    listener: TcpListener,
    server: Arc<SimulatedServer>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else { continue };
        let serving = serve_connection(stream, Arc::clone(&server));
        let stop = stop.clone();
        tasks.spawn(async move {
            stop.run_until_cancelled(serving).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, server: Arc<SimulatedServer>) {
    let service = service_fn(move |request| {
        let answer = server.answer(&request);
        async move { Ok::<_, hyper::Error>(answer) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("feeder: backend connection failed. error={error}");
    }
}

impl SimulatedServer {
    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/probe" => self.answer_probe(),
            "/orders" => build_response("application/json", json!({ "fence": 0 }).to_string()),
            _ => answer_chat(request),
        }
    }

    fn answer_probe(&self) -> Response<Full<Bytes>> {
        let document = json!({
            "incarnation": INCARNATION,
            "open": self.state.open_requests(self.index),
            "leaving": false,
            "models": [&self.model],
            "event_sequence": 0,
            "events": [],
            "fence": 0,
        });
        build_response("application/json", document.to_string())
    }
}

fn answer_chat(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let token = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";
    let mut answer =
        build_response("text/event-stream", token.repeat(ANSWER_TOKENS) + "data: [DONE]\n\n");
    if let Some(attempt) = request.headers().get(ATTEMPT_HEADER) {
        answer.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
    }
    answer
}

fn build_response(content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let value = hyper::header::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    answer
}
