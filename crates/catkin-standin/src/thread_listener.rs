//! Listener that serves each request on a thread of its own and joins them all.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use tiny_http::{Request, Server};

/// Serves one request.
pub(crate) trait ThreadHandler: Send + Sync + 'static {
    /// Answers the request, or drops it without an answer.
    fn handle(&self, request: Request);

    /// Wakes every request that waits, because the listener stops.
    fn wake_waiting(&self) {}
}

/// A listener on loopback.
pub(crate) struct ThreadListener<Handler: ThreadHandler> {
    address: SocketAddr,
    server: Arc<Server>,
    handler: Arc<Handler>,
    accepting: Option<JoinHandle<()>>,
}

impl<Handler: ThreadHandler> ThreadListener<Handler> {
    /// Listens on `address` and serves until stopped.
    pub(crate) fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let server = Arc::new(Server::http(address).map_err(io::Error::other)?);
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the listener has no IP address"))?;
        let accepting = {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || accept_requests(&server, &handler))
        };
        Ok(Self { address, server, handler, accepting: Some(accepting) })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What serves the requests.
    pub(crate) fn handler(&self) -> &Handler {
        &self.handler
    }
}

impl<Handler: ThreadHandler> Drop for ThreadListener<Handler> {
    fn drop(&mut self) {
        self.server.unblock();
        self.handler.wake_waiting();
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
    }
}

fn accept_requests<Handler: ThreadHandler>(server: &Server, handler: &Arc<Handler>) {
    let mut running: Vec<JoinHandle<()>> = Vec::new();
    for request in server.incoming_requests() {
        running.retain(|thread| !thread.is_finished());
        let handler = Arc::clone(handler);
        running.push(std::thread::spawn(move || handler.handle(request)));
    }
    handler.wake_waiting();
    for thread in running {
        let _ = thread.join();
    }
}
