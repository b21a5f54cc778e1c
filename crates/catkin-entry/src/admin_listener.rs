//! Listeners for readiness checks and metrics.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use catkin_http::take_request_head;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 32;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answer to one request.
pub(crate) struct AdminAnswer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Binds a listener. The error names the listener, `what`, and the address.
pub(crate) async fn bind(address: SocketAddr, what: &str) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot bind the {what} to {address}: {error}"))
    })
}

/// Answers requests until dropped; `answer` gets the path.
pub(crate) async fn serve_admin<A>(listener: TcpListener, answer: A)
where
    A: Fn(&str) -> AdminAnswer + Clone + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(joined) = connections.join_next() => log_failed_task(joined),
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => match accepted {
                Ok((stream, _)) => {
                    let answer = answer.clone();
                    connections.spawn_local(async move {
                        if let Err(error) = serve_stream(stream, answer).await {
                            log::debug!("side: connection failed; closed. error={error}");
                        }
                    });
                }
                Err(error) => {
                    log::warn!(
                        "side: accepting a connection failed; retrying after a delay. error={error}"
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Logs a connection's task that panicked or was cancelled.
pub(crate) fn log_failed_task(joined: Result<(), tokio::task::JoinError>) {
    if let Err(error) = joined.map_err(|error| error.to_string()) {
        log::error!(
            "process: task of a connection failed; its connection is closed. error={error}"
        );
    }
}

async fn serve_stream<A: Fn(&str) -> AdminAnswer>(
    mut stream: TcpStream,
    answer: A,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        let taken = take_request_head(&mut buffer, MAX_HEAD_BYTES);
        let Some(head) = taken.map_err(|error| io::Error::other(error.to_string()))? else {
            buffer.reserve(512);
            if timeout(IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await?? == 0 {
                return Ok(());
            }
            continue;
        };
        let path = std::str::from_utf8(&head.target).unwrap_or_default();
        let AdminAnswer { status, body } = answer(path);
        let closing = if head.is_keep_alive() { "" } else { "Connection: close\r\n" };
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Length: {}\r\nContent-Type: text/plain\r\n{closing}\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await?;
        if !head.is_keep_alive() {
            return stream.shutdown().await;
        }
    }
}
