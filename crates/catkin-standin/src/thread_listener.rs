//! HTTP listener that serves each request on its own thread and joins all threads when dropped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use tiny_http::{Request, Server};

/// Serves requests.
pub(crate) trait ThreadHandler: Send + Sync + 'static {
    /// Answers a request, or drops its connection without an answer.
    fn handle(&self, request: Request);

    /// Wakes every request that waits, so that the listener can join its thread.
    fn wake_waiters(&self) {}
}

/// A running listener; dropping it stops it.
pub(crate) struct ThreadListener<Handler: ThreadHandler> {
    address: SocketAddr,
    server: Arc<Server>,
    handler: Arc<Handler>,
    accept_thread: Option<JoinHandle<()>>,
}

impl<Handler: ThreadHandler> ThreadListener<Handler> {
    /// Listens on `address` and serves requests until dropped.
    pub(crate) fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let server = Arc::new(Server::http(address).map_err(io::Error::other)?);
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the listener has no IP address"))?;
        let accept_thread = {
            let server = Arc::clone(&server);
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || accept_requests(&server, &handler))
        };
        Ok(Self { address, server, handler, accept_thread: Some(accept_thread) })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handler.
    pub(crate) fn handler(&self) -> &Handler {
        &self.handler
    }
}

impl<Handler: ThreadHandler> Drop for ThreadListener<Handler> {
    fn drop(&mut self) {
        self.server.unblock();
        self.handler.wake_waiters();
        if let Some(thread) = self.accept_thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_requests<Handler: ThreadHandler>(server: &Server, handler: &Arc<Handler>) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    for request in server.incoming_requests() {
        threads.retain(|thread| !thread.is_finished());
        let handler = Arc::clone(handler);
        threads.push(std::thread::spawn(move || handler.handle(request)));
    }
    handler.wake_waiters();
    for thread in threads {
        let _ = thread.join();
    }
}
