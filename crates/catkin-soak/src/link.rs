//! A loopback proxy that delays, holds, resets and silences connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::copy_type;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::accept::listen;

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
        let mood = Rc::new(watch::Sender::new(LinkMood::default()));
        let moods = Rc::clone(&mood);
        let mut tasks = JoinSet::new();
        let serve = move |stream| Some(join_streams(stream, target, moods.subscribe()));
        let address = listen(ip, &mut tasks, serve).await?;
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
