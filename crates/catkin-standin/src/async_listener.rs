//! Listener of backend servers. It can crash: it drops every connection, refuses new ones for
//! a while and comes back on the same port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

/// Pause between two tries to listen again after a crash.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Parts of a streamed answer, as its receiver takes them.
pub(crate) type PartReceiver = flume::r#async::RecvStream<'static, io::Result<Frame<Bytes>>>;

/// Body of an answer: whole or streamed.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<PartReceiver>>;

/// Answer of a backend server.
pub(crate) type ServerAnswer = Response<AnswerBody>;

/// What a listener is told to do.
pub(crate) enum ListenerCommand {
    /// Crash, and refuse connections for this long.
    Crash(Duration),
    /// Stop for good.
    Stop,
}

/// Serves requests.
pub(crate) trait AsyncHandler: Send + Sync + 'static {
    /// Answers a request. `None` drops the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<ServerAnswer>> + Send;

    /// Forgets all that a process loses when it crashes.
    fn restart(&self);
}

/// A listener on loopback with a thread of its own.
pub(crate) struct AsyncListener<Handler: AsyncHandler> {
    address: SocketAddr,
    handler: Arc<Handler>,
    commands: flume::Sender<ListenerCommand>,
    thread: Option<JoinHandle<()>>,
}

impl<Handler: AsyncHandler> AsyncListener<Handler> {
    /// Listens on `address`. `build` makes the handler, which may send commands itself.
    pub(crate) fn start(
        address: SocketAddr,
        build: impl FnOnce(flume::Sender<ListenerCommand>) -> Handler,
    ) -> io::Result<Self> {
        let (commands, orders) = flume::unbounded();
        let handler = Arc::new(build(commands.clone()));
        let socket = std::net::TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || run_listener(&runtime, socket, &handler, &orders))
        };
        Ok(Self { address, handler, commands, thread: Some(thread) })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What serves the requests.
    pub(crate) fn handler(&self) -> &Handler {
        &self.handler
    }

    /// Gives a command.
    pub(crate) fn command(&self, command: ListenerCommand) {
        let _ = self.commands.send(command);
    }
}

impl<Handler: AsyncHandler> Drop for AsyncListener<Handler> {
    fn drop(&mut self) {
        self.command(ListenerCommand::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_listener<Handler: AsyncHandler>(
    runtime: &Runtime,
    socket: std::net::TcpListener,
    handler: &Arc<Handler>,
    orders: &flume::Receiver<ListenerCommand>,
) {
    let outcome = runtime.block_on(async {
        let address = socket.local_addr()?;
        let mut listener = TcpListener::from_std(socket)?;
        while let ListenerCommand::Crash(downtime) = serve_until(listener, handler, orders).await {
            handler.restart();
            tokio::time::sleep(downtime).await;
            listener = bind_again(address).await;
        }
        io::Result::Ok(())
    });
    if let Err(error) = outcome {
        log::error!("standin: listener ended: {error}");
    }
}

/// Serves until a command arrives, then drops the listener and every connection.
async fn serve_until<Handler: AsyncHandler>(
    listener: TcpListener,
    handler: &Arc<Handler>,
    orders: &flume::Receiver<ListenerCommand>,
) -> ListenerCommand {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            command = orders.recv_async() => return command.unwrap_or(ListenerCommand::Stop),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(handler)));
                }
                Err(error) => {
                    log::warn!("standin: accept failed: {error}");
                    tokio::time::sleep(REBIND_PAUSE).await;
                }
            },
        }
    }
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

async fn serve_connection<Handler: AsyncHandler>(stream: TcpStream, handler: Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await.ok_or_else(dropped_connection) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("standin: connection ended: {error}");
    }
}

fn dropped_connection() -> io::Error {
    io::Error::other("connection dropped on purpose")
}

/// A whole answer.
pub(crate) fn whole_answer(status: StatusCode, content_type: &str, body: Vec<u8>) -> ServerAnswer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from(body))));
    *answer.status_mut() = status;
    set_header(&mut answer, "content-type", content_type);
    answer
}

/// A whole answer in JSON.
pub(crate) fn json_answer<Document: serde::Serialize>(document: &Document) -> ServerAnswer {
    match serde_json::to_vec(document) {
        Ok(body) => whole_answer(StatusCode::OK, "application/json", body),
        Err(_) => empty_answer(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// An answer without a body.
pub(crate) fn empty_answer(status: StatusCode) -> ServerAnswer {
    whole_answer(status, "text/plain", Vec::new())
}

/// An answer that says that the request was not run.
pub(crate) fn not_run_answer() -> ServerAnswer {
    let mut answer = empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut answer, "x-not-run", "true");
    answer
}

/// Sets a header, unless the value has characters that a header can't carry.
pub(crate) fn set_header(answer: &mut ServerAnswer, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}

/// Value of a request header.
pub(crate) fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads a JSON body.
pub(crate) async fn read_document<Document: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Option<Document> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
