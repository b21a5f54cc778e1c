//! Accept loop of the proxies and stand-ins.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Listens on a free port of `ip` and serves each connection in a task of its own; all of them end
/// with `tasks`. Drops a connection for which `serve` returns `None`.
pub(crate) async fn listen<Served>(
    ip: IpAddr,
    tasks: &mut JoinSet<()>,
    serve: impl Fn(TcpStream) -> Option<Served> + 'static,
) -> io::Result<SocketAddr>
where
    Served: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind((ip, 0)).await?;
    let address = listener.local_addr()?;
    tasks.spawn_local(accept_connections(listener, serve));
    Ok(address)
}

async fn accept_connections<Served>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> Option<Served>,
) where
    Served: Future<Output = ()> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                // A failed accept leaves no connection; the other side connects again.
                let served = accepted.ok().and_then(|(stream, _)| serve(stream));
                if let Some(served) = served {
                    connections.spawn_local(served);
                }
            }
        }
    }
}
