//! Finds out whether a server crashed when a connection to it broke, by connecting once more.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use catkin_base::ServerId;
use tokio::sync::OnceCell;
use tokio::time::{Instant, timeout_at};

use crate::break_cause::ServerCheck;
use crate::connection::HttpConnection;
use crate::state::EntryState;

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a check counts. A crash breaks all connections at once.
const CHECK_LIFETIME: Duration = Duration::from_millis(50);

/// Checks by server, so that many connections that break at once cause a single one.
#[derive(Debug, Default)]
pub(crate) struct CheckTable {
    checks: BTreeMap<ServerId, (Instant, Rc<OnceCell<ServerCheck>>)>,
}

impl CheckTable {
    /// Returns the check of a server that was started lately, or the place for a new one.
    fn find_check(&mut self, now: Instant, server: ServerId) -> Rc<OnceCell<ServerCheck>> {
        self.checks.retain(|_, (started, _)| now - *started < CHECK_TIMEOUT + CHECK_LIFETIME);
        let found = self.checks.get(&server);
        if let Some((_, check)) = found.filter(|(started, _)| now - *started < CHECK_LIFETIME) {
            return Rc::clone(check);
        }
        let check = Rc::new(OnceCell::new());
        self.checks.insert(server, (now, Rc::clone(&check)));
        check
    }
}

/// Finds out whether a server accepts connections, after one to it broke or was silent.
pub(crate) async fn check_server<W>(
    state: &EntryState<W>,
    server: ServerId,
    address: SocketAddr,
) -> ServerCheck {
    // An emptied server may end without having crashed.
    if state.is_evacuated(server) {
        return ServerCheck::Silent;
    }
    let check = state.server_checks.borrow_mut().find_check(Instant::now(), server);
    let source = state.settings().server_source;
    *check.get_or_init(|| connect_once(source, address)).await
}

/// Finds out whether a server accepts connections, after the connection of an answer ended in order. An earlier
/// check doesn't count: the server may have ended since. `None` if `deadline` passes.
pub(crate) async fn check_after_end<W>(
    state: &EntryState<W>,
    server: ServerId,
    deadline: Instant,
) -> Option<ServerCheck> {
    let address = state.servers.borrow().get(server).map(|known| known.record.address)?;
    if state.is_evacuated(server) {
        return None;
    }
    let source = state.settings().server_source;
    timeout_at(deadline, connect_once(source, address)).await.ok()
}

async fn connect_once(source: Option<IpAddr>, address: SocketAddr) -> ServerCheck {
    match HttpConnection::connect_from(source, address, Instant::now() + CHECK_TIMEOUT).await {
        Ok(_) => ServerCheck::Listening,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ServerCheck::Gone,
        Err(_) => ServerCheck::Silent,
    }
}
