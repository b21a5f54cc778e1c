//! The operators' listener: a bounded number of threads over one socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use tiny_http::Server;

use crate::respond::answer_request;
use crate::service::OperatorService;

/// Threads that answer requests.
const WORKER_THREADS: usize = 4;

/// Why the listener did not start.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {detail}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        detail: String,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// A running listener. Dropping it stops it and joins its threads.
pub struct OperatorListener {
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    workers: Vec<JoinHandle<()>>,
    address: SocketAddr,
}

impl OperatorListener {
    /// Listens on `address` for operators whose token has this SHA-256 digest, in hexadecimal.
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

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking requests and waits for those under way.
    ///
    /// The library's own accepting thread cannot be joined; it closes the socket right afterwards.
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
                log::error!("operator: a thread panicked");
            }
        }
    }
}

impl Drop for OperatorListener {
    fn drop(&mut self) {
        self.join_workers();
    }
}
