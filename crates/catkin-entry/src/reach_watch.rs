//! Finds out which services this router reaches, by connects of requests and by connects of its own.
//!
//! A router without requests must know before its next caller that it is cut off. So it connects to some
//! server now and then, and to several as soon as a connect has failed.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, ServerId};
use catkin_policy::{ConnectFailure, ReachChange, ReachKey};
use rand::seq::IteratorRandom;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::connection::HttpConnection;
use crate::load_table::ServiceKey;
use crate::server_book::KnownServer;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Interval of connects to the servers of services whose reach is in doubt.
const DOUBT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of such a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of servers of a service that are connected to at once.
const CHECKED_SERVERS: usize = 3;

/// A server that is connected to.
#[derive(Debug, Clone, Copy)]
struct CheckedServer {
    service: ReachKey,
    server: ServerId,
    address: SocketAddr,
}

/// The key of a service in the table of reach.
pub(crate) fn reach_key(service: &str) -> ReachKey {
    ReachKey(ServiceKey::from_name(service).0)
}

/// Watches the reach of all services as long as the process runs.
pub(crate) async fn watch_reach<W: EntryWire>(state: Rc<EntryState<W>>) {
    loop {
        let failed = state.connect_failure.notified();
        let chosen = choose_doubtful(&state);
        if chosen.is_empty() {
            // The end of the wait is the next check, if no connect fails before.
            let millis = state.reach.borrow().quiet_wait_millis(state.now());
            let _ = timeout(Duration::from_millis(millis), failed).await;
            if let Some(checked) = choose_if_quiet(&state) {
                check_servers(&state, vec![checked]).await;
            }
            continue;
        }
        let started = Instant::now();
        check_servers(&state, chosen).await;
        sleep(DOUBT_INTERVAL.saturating_sub(started.elapsed())).await;
    }
}

/// Connects to servers at the same time, and records whether that succeeds.
async fn check_servers<W: EntryWire>(state: &Rc<EntryState<W>>, checked: Vec<CheckedServer>) {
    let source = state.settings().server_source;
    let started = state.now();
    let mut connects = JoinSet::new();
    for server in checked {
        connects.spawn_local(async move {
            let deadline = Instant::now() + CONNECT_TIMEOUT;
            let connected = HttpConnection::connect_from(source, server.address, deadline).await;
            (server, connected.map(drop))
        });
    }
    while let Some(Ok((checked, connected))) = connects.join_next().await {
        match connected {
            Ok(()) => state.apply_connect(checked.service),
            Err(error) => {
                let failure = classify_error(&error, started);
                state.apply_failure(checked.service, checked.server, failure);
            }
        }
    }
}

/// Tells a connect that the machine of the server refused from one that had no answer.
fn classify_error(error: &io::Error, started: ClockTime) -> ConnectFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
            ConnectFailure::Refused
        }
        _ => ConnectFailure::Unanswered(started),
    }
}

/// Lists the servers that may get requests, by service.
fn list_servers<W>(state: &EntryState<W>) -> BTreeMap<ReachKey, Vec<CheckedServer>> {
    let mut services: BTreeMap<ReachKey, Vec<CheckedServer>> = BTreeMap::new();
    let evacuations = state.evacuations.borrow();
    let may_get_requests =
        |known: &&KnownServer| !known.record.leaving && !evacuations.contains(known.domain);
    for known in state.servers.borrow().iter().filter(may_get_requests) {
        let service = reach_key(&known.record.service);
        let checked =
            CheckedServer { service, server: known.server, address: known.record.address };
        services.entry(service).or_default().push(checked);
    }
    services
}

/// Chooses servers of the services whose reach is in doubt, at first those that were not tried.
fn choose_doubtful<W>(state: &EntryState<W>) -> Vec<CheckedServer> {
    let now = state.now();
    let reach = state.reach.borrow();
    let mut chosen = Vec::new();
    for (service, servers) in list_servers(state) {
        if !reach.is_doubtful(now, service) {
            continue;
        }
        let is_untried = |checked: &CheckedServer| !reach.has_failed(service, checked.server);
        let untried = servers.iter().copied().filter(is_untried);
        let mut sample = untried.choose_multiple(&mut rand::rng(), CHECKED_SERVERS);
        if sample.is_empty() || reach.is_lost(service) {
            sample = servers.into_iter().choose_multiple(&mut rand::rng(), CHECKED_SERVERS);
        }
        chosen.extend(sample);
    }
    chosen
}

/// Chooses any server, if no server was connected to lately.
fn choose_if_quiet<W>(state: &EntryState<W>) -> Option<CheckedServer> {
    if !state.reach.borrow().is_quiet(state.now()) {
        return None;
    }
    list_servers(state).into_values().flatten().choose(&mut rand::rng())
}

impl<W> EntryState<W> {
    /// Records that a request's connect to a server of the service succeeded.
    pub(crate) fn record_connect(&self, service: &str) {
        self.apply_connect(reach_key(service));
    }

    /// Records that a request's connect to a server of the service failed.
    pub(crate) fn record_connect_failure(&self, service: &str, server: ServerId) {
        // When it began and whether it was refused is not known here; the checks that follow tell.
        let failure = ConnectFailure::Unanswered(self.now());
        self.apply_failure(reach_key(service), server, failure);
        self.connect_failure.notify_one();
    }

    fn apply_connect(&self, service: ReachKey) {
        let change = self.reach.borrow_mut().record_connect(self.now(), service);
        if change == ReachChange::Regained {
            // What failed while the service was out of reach says nothing of its servers.
            for server in self.list_service(service) {
                self.outcomes.borrow_mut().remove_server(server);
            }
            self.updates.borrow_mut().send_now = true;
            self.selection_input_change.notify_waiters();
            log::info!(
                "servers: service is in reach again. service={}",
                self.name_service(service).unwrap_or_default()
            );
        }
    }

    fn apply_failure(&self, service: ReachKey, server: ServerId, failure: ConnectFailure) {
        let servers = self.list_service(service);
        let count = servers.len();
        let now = self.now();
        let change = self.reach.borrow_mut().record_failure(now, service, server, failure, count);
        if change == ReachChange::Suspected {
            self.updates.borrow_mut().send_now = true;
            log::info!(
                "servers: none of several servers answers connects; passing requests on if another \
                 router reaches the service. service={} servers={count}",
                self.name_service(service).unwrap_or_default()
            );
        }
        if change == ReachChange::Lost {
            for server in servers {
                self.pool.borrow_mut().drop_idle_to(server);
            }
            self.updates.borrow_mut().send_now = true;
            self.selection_input_change.notify_waiters();
            log::warn!(
                "servers: none of several servers can be connected to; service is out of reach. \
                 service={} servers={count}",
                self.name_service(service).unwrap_or_default()
            );
        }
    }

    /// The servers of a service that may get requests.
    fn list_service(&self, service: ReachKey) -> Vec<ServerId> {
        let servers = self.servers.borrow();
        let evacuations = self.evacuations.borrow();
        let listed = servers.iter().filter(|known| !known.record.leaving);
        let listed = listed.filter(|known| !evacuations.contains(known.domain));
        let of_service = listed.filter(|known| reach_key(&known.record.service) == service);
        of_service.map(|known| known.server).collect()
    }

    /// Whether this router reaches no server of the service.
    pub(crate) fn is_out_of_reach(&self, service: &str) -> bool {
        self.reach.borrow().is_lost(reach_key(service))
    }

    /// Whether this router reaches no server of the service, or may reach none.
    pub(crate) fn may_be_out_of_reach(&self, service: &str) -> bool {
        self.reach.borrow().is_suspected(self.now(), reach_key(service))
    }

    /// The name of a service that has listed servers.
    fn name_service(&self, service: ReachKey) -> Option<String> {
        let servers = self.servers.borrow();
        let found = servers.iter().find(|known| reach_key(&known.record.service) == service);
        found.map(|known| known.record.service.clone())
    }
}
