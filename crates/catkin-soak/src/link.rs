//! A loopback proxy that delays, holds back, resets and blackholes connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::copy_type;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::accept::listen;
use crate::source_cut::{CutKind, SourceCuts, drop_packets, wait_for_cut};

copy_type! {
    /// What happens to bytes in one direction.
    #[derive(Default)]
    pub(crate) enum LinkFlow {
        /// They pass.
        #[default]
        Pass,
        /// They pass after a delay in milliseconds.
        Delay(u64),
        /// They are held back until the flow changes.
        Hold,
    }
}

copy_type! {
    /// What a proxy does to its connections.
    #[derive(Default)]
    pub(crate) struct LinkState {
        /// Flow towards the proxy's target.
        pub(crate) forward: LinkFlow,
        /// Flow towards the side that connected.
        pub(crate) backward: LinkFlow,
        /// Number of resets so far; a connection opened before the latest one is reset.
        pub(crate) resets: u32,
        /// Number of blackholes so far; a connection opened before the latest one passes no more
        /// bytes.
        pub(crate) blackholes: u32,
    }
}

/// A proxy that passes connections on to an address.
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    state: Rc<watch::Sender<LinkState>>,
    tasks: JoinSet<()>,
}

impl LinkProxy {
    /// Listens on `ip` and passes connections on to `target`.
    pub(crate) async fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let state = Rc::new(watch::Sender::new(LinkState::default()));
        let states = Rc::clone(&state);
        let mut tasks = JoinSet::new();
        let serve = move |stream| Some(proxy_connection(stream, target, states.subscribe()));
        let address = listen(ip, &mut tasks, serve).await?;
        Ok(Self { address, state, tasks })
    }

    /// Listens on `ip` and passes connections on to `target`, from the address that they come from and
    /// unless that is cut.
    pub(crate) async fn start_to_server(
        ip: IpAddr,
        target: SocketAddr,
        cuts: watch::Receiver<SourceCuts>,
    ) -> io::Result<Self> {
        let state = Rc::new(watch::Sender::new(LinkState::default()));
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(accept_uncut(listener, target, Rc::clone(&state), cuts));
        Ok(Self { address, state, tasks })
    }

    /// Changes what happens to the bytes.
    pub(crate) fn update_state(&self, update: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(update);
    }

    /// Ends all connections.
    pub(crate) async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Accepts and passes on connections from addresses that are not cut.
async fn accept_uncut(
    listener: TcpListener,
    target: SocketAddr,
    state: Rc<watch::Sender<LinkState>>,
    mut cuts: watch::Receiver<SourceCuts>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Some(_) = connections.join_next() => continue,
            changed = cuts.changed() => {
                let dropped = drop_packets(&listener, &cuts.borrow_and_update());
                if changed.is_err() || dropped.is_err() {
                    return;
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        // A failed accept leaves no connection; the other side connects again.
        let Ok((stream, source)) = accepted else { continue };
        let (state, cuts) = (state.subscribe(), cuts.clone());
        connections.spawn_local(async move {
            let cut = wait_for_cut(cuts, source.ip());
            let passing = pass_connection(stream, target, Some(source.ip()), state);
            tokio::pin!(passing);
            let kind = tokio::select! {
                () = &mut passing => return,
                kind = cut => kind,
            };
            if kind == CutKind::Silent {
                // The connection stays open without bytes.
                std::future::pending::<()>().await;
            }
        });
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
) {
    pass_connection(client, target, None, state).await;
}

/// Passes a connection on to `target`, from the local address `source` if there is one.
async fn pass_connection(
    client: TcpStream,
    target: SocketAddr,
    source: Option<IpAddr>,
    mut state: watch::Receiver<LinkState>,
) {
    let opened = *state.borrow_and_update();
    let Ok(backend) = connect_from(source, target).await else {
        reset(&client);
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (backend_read, backend_write) = backend.into_split();
    let forward =
        copy_bytes(client_read, backend_write, state.clone(), opened, |state| state.forward);
    let backward = copy_bytes(backend_read, client_write, state, opened, |state| state.backward);
    tokio::join!(forward, backward);
}

async fn connect_from(source: Option<IpAddr>, target: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(target).await };
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

/// Copies bytes until one side of the connection ends.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<LinkState>,
    opened: LinkState,
    flow: impl Fn(&LinkState) -> LinkFlow,
) {
    let mut buffer = [0; 8192];
    loop {
        let count = tokio::select! {
            () = wait_for_reset(state.clone(), opened) => return reset(to.as_ref()),
            count = from.read(&mut buffer) => count,
        };
        let passing = wait_until_passing(state.clone(), opened, &flow);
        let passed = tokio::select! {
            () = wait_for_reset(state.clone(), opened) => return reset(to.as_ref()),
            () = passing => match count {
                Ok(count) if count > 0 => to.write_all(&buffer[..count]).await,
                _ => to.shutdown().await,
            },
        };
        if passed.is_err() || !matches!(count, Ok(count) if count > 0) {
            return;
        }
    }
}

async fn wait_for_reset(mut state: watch::Receiver<LinkState>, opened: LinkState) {
    if state.wait_for(|state| state.resets > opened.resets).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_passing(
    mut state: watch::Receiver<LinkState>,
    opened: LinkState,
    flow: impl Fn(&LinkState) -> LinkFlow,
) {
    let passes =
        |state: &LinkState| flow(state) != LinkFlow::Hold && state.blackholes == opened.blackholes;
    let flow_now = match state.wait_for(passes).await {
        Ok(state) => flow(&state),
        Err(_) => return,
    };
    if let LinkFlow::Delay(millis) = flow_now {
        sleep(Duration::from_millis(millis)).await;
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // Fails only if the connection has already ended.
    let _ = stream.set_zero_linger();
}
