//! HTTP listener of the backend servers. It can simulate a crash: it closes every connection,
//! refuses new ones for a while and then listens on the same port again.

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

/// Delay between attempts to bind the port again after a crash, and after a failed accept.
const REBIND_DELAY: Duration = Duration::from_millis(10);

/// Receives the frames of a streamed answer.
pub(crate) type FrameReceiver = flume::r#async::RecvStream<'static, io::Result<Frame<Bytes>>>;

/// Body of an answer: complete or streamed.
pub(crate) type AnswerBody = Either<Full<Bytes>, StreamBody<FrameReceiver>>;

/// Answer of a backend server.
pub(crate) type ServerAnswer = Response<AnswerBody>;

/// Command to a listener.
pub(crate) enum ListenerCommand {
    /// Simulates a crash and refuses connections for this long.
    Crash(Duration),
    /// Stops the listener.
    Stop,
}

/// Serves requests.
pub(crate) trait AsyncHandler: Send + Sync + 'static {
    /// Answers a request; `None` closes the connection without an answer.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<ServerAnswer>> + Send;

    /// Resets the state that a process loses when it crashes.
    fn reset(&self);
}

/// A running listener with its own thread; dropping it stops it.
pub(crate) struct AsyncListener<Handler: AsyncHandler> {
    address: SocketAddr,
    handler: Arc<Handler>,
    commands: flume::Sender<ListenerCommand>,
    thread: Option<JoinHandle<()>>,
}

impl<Handler: AsyncHandler> AsyncListener<Handler> {
    /// Listens on `address`. `build` creates the handler, which may send commands to the listener.
    pub(crate) fn start(
        address: SocketAddr,
        build: impl FnOnce(flume::Sender<ListenerCommand>) -> Handler,
    ) -> io::Result<Self> {
        let (commands, receiver) = flume::unbounded();
        let handler = Arc::new(build(commands.clone()));
        let socket = std::net::TcpListener::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let thread = {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || run_listener(&runtime, socket, &handler, &receiver))
        };
        Ok(Self { address, handler, commands, thread: Some(thread) })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handler.
    pub(crate) fn handler(&self) -> &Handler {
        &self.handler
    }

    /// Sends a command to the listener.
    pub(crate) fn send_command(&self, command: ListenerCommand) {
        let _ = self.commands.send(command);
    }
}

impl<Handler: AsyncHandler> Drop for AsyncListener<Handler> {
    fn drop(&mut self) {
        self.send_command(ListenerCommand::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_listener<Handler: AsyncHandler>(
    runtime: &Runtime,
    socket: std::net::TcpListener,
    handler: &Arc<Handler>,
    receiver: &flume::Receiver<ListenerCommand>,
) {
    let outcome = runtime.block_on(async {
        let address = socket.local_addr()?;
        let mut listener = TcpListener::from_std(socket)?;
        while let ListenerCommand::Crash(downtime) = serve_until(listener, handler, receiver).await
        {
            handler.reset();
            tokio::time::sleep(downtime).await;
            listener = rebind_listener(address).await;
        }
        io::Result::Ok(())
    });
    if let Err(error) = outcome {
        log::error!("standin: listener failed; it serves no further requests: {error}");
    }
}

/// Serves until a command arrives, then closes the listener and every connection.
async fn serve_until<Handler: AsyncHandler>(
    listener: TcpListener,
    handler: &Arc<Handler>,
    receiver: &flume::Receiver<ListenerCommand>,
) -> ListenerCommand {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            command = receiver.recv_async() => return command.unwrap_or(ListenerCommand::Stop),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, Arc::clone(handler)));
                }
                Err(error) => {
                    log::warn!("standin: accepting a connection failed; trying again: {error}");
                    tokio::time::sleep(REBIND_DELAY).await;
                }
            },
        }
    }
}

async fn rebind_listener(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn serve_connection<Handler: AsyncHandler>(stream: TcpStream, handler: Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await.ok_or_else(build_drop_error) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("standin: connection ended with an error: {error}");
    }
}

fn build_drop_error() -> io::Error {
    io::Error::other("the stand-in closed the connection on purpose")
}

/// Builds a complete answer.
pub(crate) fn build_answer(status: StatusCode, content_type: &str, body: Vec<u8>) -> ServerAnswer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from(body))));
    *answer.status_mut() = status;
    set_header(&mut answer, "content-type", content_type);
    answer
}

/// Builds a complete answer with a JSON body.
pub(crate) fn build_json_answer<Document: serde::Serialize>(document: &Document) -> ServerAnswer {
    match serde_json::to_vec(document) {
        Ok(body) => build_answer(StatusCode::OK, "application/json", body),
        Err(_) => build_empty_answer(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Builds an answer without a body.
pub(crate) fn build_empty_answer(status: StatusCode) -> ServerAnswer {
    build_answer(status, "text/plain", Vec::new())
}

/// Builds an answer that says that the request was not run.
pub(crate) fn build_not_run_answer() -> ServerAnswer {
    let mut answer = build_empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut answer, "x-not-run", "true");
    answer
}

/// Sets a header, unless the value has characters that are not allowed in a header.
pub(crate) fn set_header(answer: &mut ServerAnswer, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
}

/// Returns the value of a request header.
pub(crate) fn find_header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads and decodes a JSON body; `None` if either fails.
pub(crate) async fn read_document<Document: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Option<Document> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
