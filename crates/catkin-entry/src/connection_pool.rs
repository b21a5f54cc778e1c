//! Kept connections to backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::ServerId;
use tokio::time::Instant;

use crate::connection::HttpConnection;

/// How long a connection may lie idle if the server does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Taken off what the server says, so that it does not close while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// A connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// Idle connections by server, and counts of all.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<ServerId, Vec<IdleConnection>>,
    open: BTreeMap<ServerId, u32>,
}

/// What a server's answer says of idle connections: seconds until it closes them.
pub fn read_idle_timeout(keep_alive: Option<&str>) -> Duration {
    let values = keep_alive.into_iter().flat_map(|value| value.split(','));
    let mut seconds = values.filter_map(|part| part.trim().strip_prefix("timeout="));
    let limit = seconds.find_map(|text| text.trim().parse().ok()).map(Duration::from_secs);
    limit.map_or(DEFAULT_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN))
}

impl ConnectionPool {
    /// Takes the idle connection to `server` that was used last and is still sound.
    pub fn take(&mut self, server: ServerId, now: Instant) -> Option<HttpConnection> {
        let rows = self.idle.get_mut(&server)?;
        while let Some(row) = rows.pop() {
            if row.until > now && row.connection.is_idle() {
                return Some(row.connection);
            }
            decrement_open(&mut self.open, server);
        }
        None
    }

    /// Counts a new connection to `server`; false if `limit` of them are open.
    pub fn try_open(&mut self, server: ServerId, limit: u32) -> bool {
        let open = self.open.entry(server).or_default();
        if *open >= limit {
            return false;
        }
        *open += 1;
        true
    }

    /// Keeps a connection for the next request, or drops it if it cannot carry one.
    pub fn release(&mut self, server: ServerId, connection: HttpConnection, idle: Duration) {
        if !connection.is_reusable() || idle.is_zero() {
            return self.record_closed(server);
        }
        let until = Instant::now() + idle;
        self.idle.entry(server).or_default().push(IdleConnection { connection, until });
    }

    /// Counts a connection that was dropped.
    pub fn record_closed(&mut self, server: ServerId) {
        decrement_open(&mut self.open, server);
    }

    /// Drops idle connections that are over their time or broken.
    pub fn drop_expired(&mut self, now: Instant) {
        for (server, rows) in &mut self.idle {
            let before = rows.len();
            rows.retain(|row| row.until > now && row.connection.is_idle());
            for _ in rows.len()..before {
                decrement_open(&mut self.open, *server);
            }
        }
        self.idle.retain(|_, rows| !rows.is_empty());
    }

    /// Drops all idle connections to `server`.
    pub fn forget_server(&mut self, server: ServerId) {
        for _ in self.idle.remove(&server).into_iter().flatten() {
            decrement_open(&mut self.open, server);
        }
    }

    /// Drops all idle connections.
    pub fn drop_idle(&mut self) {
        let servers: Vec<ServerId> = self.idle.keys().copied().collect();
        for server in servers {
            self.forget_server(server);
        }
    }

    /// Open connections, idle ones included.
    pub fn len(&self) -> usize {
        self.open.values().map(|open| *open as usize).sum()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn decrement_open(open: &mut BTreeMap<ServerId, u32>, server: ServerId) {
    if let Some(count) = open.get_mut(&server) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            open.remove(&server);
        }
    }
}

/// The most connections that one of `routers` opens to a server that takes `limit` in all.
pub fn share_connection_limit(limit: u32, routers: u32) -> u32 {
    // A tenth is left for routers that are not seen at the moment.
    (u64::from(limit) * 9 / 10 / u64::from(routers.max(1))).max(1) as u32
}
