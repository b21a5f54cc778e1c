//! A loopback proxy that delays, holds, resets and silences connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::copy_type;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

copy_type! {
    /// What happens to bytes in one direction.
    #[derive(Default)]
    pub(crate) enum LinkFlow {
        /// They pass.
        #[default]
        Pass,
        /// They pass late, by milliseconds.
        Late(u64),
        /// They wait until the flow changes.
        Hold,
    }
}

copy_type! {
    /// What a proxy does with its connections.
    #[derive(Default)]
    pub(crate) struct LinkMood {
        /// Towards the side that listens.
        pub(crate) forward: LinkFlow,
        /// Towards the side that connected.
        pub(crate) back: LinkFlow,
        /// Connections opened before the latest reset are reset.
        pub(crate) resets: u32,
        /// Connections opened before the latest silence pass nothing any more.
        pub(crate) silences: u32,
    }
}

/// A proxy in front of an address.
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    mood: Rc<watch::Sender<LinkMood>>,
    tasks: JoinSet<()>,
}

impl LinkProxy {
    /// Listens on `ip` and passes connections on to `target`.
    pub(crate) async fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let mood = Rc::new(watch::Sender::new(LinkMood::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(accept_all(listener, target, Rc::clone(&mood)));
        Ok(Self { address, mood, tasks })
    }

    /// Changes what happens to the bytes.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LinkMood)) {
        self.mood.send_modify(change);
    }

    /// Ends all connections.
    pub(crate) async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn accept_all(listener: TcpListener, target: SocketAddr, mood: Rc<watch::Sender<LinkMood>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                // A failed accept is of no connection; the caller tries again.
                if let Ok((stream, _)) = accepted {
                    connections.spawn_local(join_streams(stream, target, mood.subscribe()));
                }
            }
        }
    }
}

async fn join_streams(near: TcpStream, target: SocketAddr, mut mood: watch::Receiver<LinkMood>) {
    let opened = *mood.borrow_and_update();
    let Ok(far) = TcpStream::connect(target).await else {
        reset(&near);
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, mood.clone(), opened, |mood| mood.forward);
    let back = pump(far_read, near_write, mood, opened, |mood| mood.back);
    tokio::join!(forward, back);
}

/// Passes bytes on until the connection ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mood: watch::Receiver<LinkMood>,
    opened: LinkMood,
    flow: impl Fn(&LinkMood) -> LinkFlow,
) {
    let mut piece = [0; 8192];
    loop {
        let count = tokio::select! {
            () = wait_for_reset(mood.clone(), opened) => return reset(to.as_ref()),
            count = from.read(&mut piece) => count,
        };
        let passing = wait_until_passing(mood.clone(), opened, &flow);
        let passed = tokio::select! {
            () = wait_for_reset(mood.clone(), opened) => return reset(to.as_ref()),
            () = passing => match count {
                Ok(count) if count > 0 => to.write_all(&piece[..count]).await,
                _ => to.shutdown().await,
            },
        };
        if passed.is_err() || !matches!(count, Ok(count) if count > 0) {
            return;
        }
    }
}

async fn wait_for_reset(mut mood: watch::Receiver<LinkMood>, opened: LinkMood) {
    if mood.wait_for(|mood| mood.resets > opened.resets).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_passing(
    mut mood: watch::Receiver<LinkMood>,
    opened: LinkMood,
    flow: impl Fn(&LinkMood) -> LinkFlow,
) {
    let passes = |mood: &LinkMood| flow(mood) != LinkFlow::Hold && mood.silences == opened.silences;
    let late = match mood.wait_for(passes).await {
        Ok(mood) => flow(&mood),
        Err(_) => return,
    };
    if let LinkFlow::Late(millis) = late {
        sleep(Duration::from_millis(millis)).await;
    }
}

/// Has the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // Fails only on a connection that has ended already.
    let _ = stream.set_zero_linger();
}
