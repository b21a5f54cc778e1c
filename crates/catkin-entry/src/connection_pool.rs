//! Pool of connections to backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::ServerId;
use tokio::time::Instant;

use crate::connection::HttpConnection;

/// Idle timeout if the server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Subtracted from the server's idle timeout, so that the server does not close a connection while
/// a request is in flight to it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Maximum idle timeout, whatever the server states.
const MAX_IDLE: Duration = Duration::from_secs(3_600);

/// Time for which a server that states no idle timeout keeps a connection open. Timeouts are stated in
/// whole seconds.
const UNSTATED_KEPT: Duration = Duration::from_millis(1_000);

/// A connection without a request, and when it expires.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// Idle connections by server, and the number of all open ones.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: BTreeMap<ServerId, Vec<IdleConnection>>,
    open: BTreeMap<ServerId, u32>,
}

/// Reads the idle timeout from the value of a `Keep-Alive` field, with a margin for requests in
/// flight.
pub fn read_idle_timeout(keep_alive: Option<&str>) -> Duration {
    let values = keep_alive.into_iter().flat_map(|value| value.split(','));
    let mut seconds = values.filter_map(|part| part.trim().strip_prefix("timeout="));
    let limit = seconds.find_map(|text| text.trim().parse().ok()).map(Duration::from_secs);
    limit.map_or(DEFAULT_IDLE, |limit| limit.saturating_sub(IDLE_MARGIN).min(MAX_IDLE))
}

/// Reads from the value of a `Keep-Alive` field for how long the server surely keeps an idle connection
/// open.
pub fn read_kept_time(keep_alive: Option<&str>) -> Duration {
    keep_alive.map_or(UNSTATED_KEPT, |stated| read_idle_timeout(Some(stated)))
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to `server` that is neither expired nor broken, and on
    /// which the server did not refuse a request with this identifier.
    pub fn take(&mut self, server: ServerId, id: &[u8], now: Instant) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(&server)?;
        let find = |connections: &[IdleConnection]| {
            connections.iter().rposition(|idle| !idle.connection.has_refused(id))
        };
        while let Some(at) = find(connections) {
            let idle = connections.remove(at);
            if idle.until > now && idle.connection.is_idle() {
                return Some(idle.connection);
            }
            decrement_open(&mut self.open, server);
        }
        None
    }

    /// Counts a new connection to `server`; returns false if `limit` of them are open.
    pub fn try_open(&mut self, server: ServerId, limit: u32) -> bool {
        let open = self.open.entry(server).or_default();
        if *open >= limit {
            return false;
        }
        *open += 1;
        true
    }

    /// Returns a connection for another request, or drops it if it is not reusable. `idle` is its
    /// idle timeout.
    pub fn release(&mut self, server: ServerId, connection: HttpConnection, idle: Duration) {
        if !connection.is_reusable() || idle.is_zero() {
            return self.record_closed(server);
        }
        let until = Instant::now() + idle;
        self.idle.entry(server).or_default().push(IdleConnection { connection, until });
    }

    /// Records that a connection to `server` was closed.
    pub fn record_closed(&mut self, server: ServerId) {
        decrement_open(&mut self.open, server);
    }

    /// Drops idle connections that are expired or broken.
    pub fn drop_expired(&mut self, now: Instant) {
        for (server, connections) in &mut self.idle {
            let before = connections.len();
            connections.retain(|idle| idle.until > now && idle.connection.is_idle());
            for _ in connections.len()..before {
                decrement_open(&mut self.open, *server);
            }
        }
        self.idle.retain(|_, connections| !connections.is_empty());
    }

    /// Drops all idle connections to `server`.
    pub fn drop_idle_to(&mut self, server: ServerId) {
        for _ in self.idle.remove(&server).into_iter().flatten() {
            decrement_open(&mut self.open, server);
        }
    }

    /// Drops all idle connections.
    pub fn drop_idle(&mut self) {
        let servers: Vec<ServerId> = self.idle.keys().copied().collect();
        for server in servers {
            self.drop_idle_to(server);
        }
    }

    /// Number of open connections, including idle ones.
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

/// The share of one of `routers` routers in the `limit` of connections to a server, at least one.
pub fn share_connection_limit(limit: u32, routers: u32) -> u32 {
    // A tenth is reserved for routers that this one does not see at the moment.
    (u64::from(limit) * 9 / 10 / u64::from(routers.max(1))).max(1) as u32
}
