//! Light answers for all backend servers: probes, orders and short streams.

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

use crate::traffic::FeederTraffic;

/// Header that a server echoes.
const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Tokens of an answer.
const ANSWER_TOKENS: usize = 5;
/// Number that a server reports as its incarnation.
const INCARNATION: u64 = 1;

/// Opens a listener for each server.
pub async fn bind_servers(count: usize) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    }
    Ok(listeners)
}

/// Addresses of the listeners.
pub fn list_addresses(listeners: &[TcpListener]) -> io::Result<Vec<SocketAddr>> {
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Serves each listener until `stop`; the tasks are joined by `tasks`.
pub fn serve_backends(
    listeners: Vec<TcpListener>,
    models: &[String],
    traffic: &Arc<FeederTraffic>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) {
    for (index, listener) in listeners.into_iter().enumerate() {
        let server =
            LightServer { index, model: models[index].clone(), traffic: Arc::clone(traffic) };
        let serving = accept_all(listener, Arc::new(server), tasks.clone(), stop.clone());
        tasks.spawn(serving);
    }
}

/// One backend server.
struct LightServer {
    index: usize,
    model: String,
    traffic: Arc<FeederTraffic>,
}

async fn accept_all(
    listener: TcpListener,
    server: Arc<LightServer>,
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

async fn serve_connection(stream: TcpStream, server: Arc<LightServer>) {
    let service = service_fn(move |request| {
        let answer = server.answer(&request);
        async move { Ok::<_, hyper::Error>(answer) }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("feeder: A connection ended. error={error}");
    }
}

impl LightServer {
    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/probe" => self.answer_probe(),
            "/orders" => whole("application/json", json!({ "fence": 0 }).to_string()),
            _ => answer_chat(request),
        }
    }

    fn answer_probe(&self) -> Response<Full<Bytes>> {
        let document = json!({
            "incarnation": INCARNATION,
            "open": self.traffic.open_on(self.index),
            "leaving": false,
            "models": [&self.model],
            "event_sequence": 0,
            "events": [],
            "fence": 0,
        });
        whole("application/json", document.to_string())
    }
}

fn answer_chat(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let token = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";
    let mut answer = whole("text/event-stream", token.repeat(ANSWER_TOKENS) + "data: [DONE]\n\n");
    if let Some(attempt) = request.headers().get(ATTEMPT_HEADER) {
        answer.headers_mut().insert(ATTEMPT_HEADER, attempt.clone());
    }
    answer
}

fn whole(content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let value = hyper::header::HeaderValue::from_static(content_type);
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    answer
}
