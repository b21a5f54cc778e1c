//! The operators' listener: an HTTP server with a fixed number of worker threads.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use tiny_http::Server;

use crate::respond::answer_request;
use crate::service::OperatorService;

/// Number of threads that answer requests.
const WORKER_THREADS: usize = 4;

/// Reason why the listener did not start.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {detail}")]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// A worker thread cannot be started.
    #[error("cannot start a worker thread: {0}")]
    Thread(io::Error),
}

/// A running listener. Dropping it stops the listener and joins its worker threads.
pub struct OperatorListener {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    workers: Vec<JoinHandle<()>>,
    address: SocketAddr,
}

impl OperatorListener {
    /// Starts a listener on `address`. Operators authenticate with a token whose SHA-256 digest in
    /// hexadecimal is `token_digest`.
    pub fn start<S: OperatorService>(
        address: SocketAddr,
        service: &Arc<S>,
        token_digest: &str,
    ) -> Result<Self, ListenerError> {
        let server = Server::http(address)
            .map_err(|error| ListenerError::Bind { address, detail: error.to_string() })?;
        let address = server.server_addr().to_ip().unwrap_or(address);
        let mut listener = Self {
            server: Arc::new(server),
            stopping: Arc::new(AtomicBool::new(false)),
            workers: Vec::new(),
            address,
        };
        for index in 0..WORKER_THREADS {
            let worker = listener.spawn_worker(index, service, token_digest);
            listener.workers.push(worker.map_err(ListenerError::Thread)?);
        }
        log::info!("operator: listening on {address}");
        Ok(listener)
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests and waits until those in progress are answered.
    ///
    /// The accepting thread of `tiny_http` cannot be joined; it closes the socket soon afterwards.
    pub fn stop(mut self) {
        self.join_workers();
    }

    fn spawn_worker<S: OperatorService>(
        &self,
        index: usize,
        service: &Arc<S>,
        token_digest: &str,
    ) -> io::Result<JoinHandle<()>> {
        let server = Arc::clone(&self.server);
        let stopping = Arc::clone(&self.stopping);
        let service = Arc::clone(service);
        let token_digest = token_digest.to_owned();
        let work = move || {
            while !stopping.load(Ordering::Acquire) {
                if let Ok(request) = server.recv() {
                    answer_request(request, &*service, &token_digest);
                }
            }
        };
        thread::Builder::new().name(format!("operator-{index}")).spawn(work)
    }

    fn join_workers(&mut self) {
        self.stopping.store(true, Ordering::Release);
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            if worker.join().is_err() {
                log::error!("operator: a worker thread panicked and answered no further requests");
            }
        }
    }
}

impl Drop for OperatorListener {
    fn drop(&mut self) {
        self.join_workers();
    }
}
