//! In-memory network between routers with delay, loss, duplication and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkin_base::VmId;
use catkin_peer::messages::PeerMessage;
use catkin_peer::{MessageSource, PeerLink};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use crate::pause_gate::PauseGate;

/// Bytes that the envelope, the authentication tag and the UDP and IP headers add to a message.
const ENVELOPE_BYTES: u64 = 96;

/// Delay, loss and duplication of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NetworkRules {
    /// Shortest delay of a message.
    pub min_delay: Duration,
    /// Longest delay of a message; messages are reordered by delays drawn from the range.
    pub max_delay: Duration,
    /// Share of messages that are lost, in percent.
    pub loss_percent: u32,
    /// Share of messages that arrive twice, in percent.
    pub repeat_percent: u32,
}

impl Default for NetworkRules {
    fn default() -> Self {
        Self {
            min_delay: Duration::from_micros(500),
            max_delay: Duration::from_millis(2),
            loss_percent: 0,
            repeat_percent: 0,
        }
    }
}

/// In-memory network between routers.
#[derive(Debug, Clone)]
pub struct FakeNetwork {
    shared: Arc<NetworkShared>,
}

#[derive(Debug)]
struct NetworkShared {
    state: Mutex<NetworkState>,
    deliveries: TaskTracker,
}

#[derive(Debug)]
struct NetworkState {
    rules: NetworkRules,
    random: StdRng,
    endpoints: BTreeMap<SocketAddr, PeerEndpoint>,
    /// Addresses on one side of the current partition; empty without one.
    isolated: BTreeSet<SocketAddr>,
}

/// A connected router.
#[derive(Debug, Clone)]
struct PeerEndpoint {
    source: MessageSource,
    inbox: flume::Sender<(MessageSource, PeerMessage)>,
}

impl FakeNetwork {
    /// Creates a network whose losses and delays are drawn from `seed`.
    pub fn new(rules: NetworkRules, seed: u64) -> Self {
        let state = NetworkState {
            rules,
            random: StdRng::seed_from_u64(seed),
            endpoints: BTreeMap::new(),
            isolated: BTreeSet::new(),
        };
        let shared = NetworkShared { state: Mutex::new(state), deliveries: TaskTracker::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Connects a router; replaces a former connection of the same address.
    pub fn connect(&self, source: MessageSource, gate: PauseGate) -> FakeLink {
        let (inbox, received) = flume::unbounded();
        self.lock().endpoints.insert(source.address, PeerEndpoint { source, inbox });
        FakeLink { network: self.clone(), source, gate, received, sent_bytes: AtomicU64::new(0) }
    }

    /// Disconnects the router at `address`.
    pub fn disconnect(&self, address: SocketAddr) {
        self.lock().endpoints.remove(&address);
    }

    /// Changes the rules for messages sent from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut NetworkRules)) {
        change(&mut self.lock().rules);
    }

    /// Starts a partition that separates these routers from all others.
    pub fn start_partition(&self, isolated: BTreeSet<SocketAddr>) {
        self.lock().isolated = isolated;
    }

    /// Ends the partition.
    pub fn end_partition(&self) {
        self.lock().isolated.clear();
    }

    /// Disconnects all routers and waits until the messages in transit are discarded.
    pub async fn close(&self) {
        self.lock().endpoints.clear();
        self.shared.deliveries.close();
        self.shared.deliveries.wait().await;
    }

    fn send(
        &self,
        source: MessageSource,
        sender_pause: Duration,
        to: SocketAddr,
        message: &PeerMessage,
    ) {
        let delays = self.lock().draw_delays(source.address, to);
        for delay in delays {
            let (network, message) = (self.clone(), message.clone());
            self.shared.deliveries.spawn(async move {
                sleep(sender_pause + delay).await;
                network.deliver(source, to, message);
            });
        }
    }

    fn deliver(&self, source: MessageSource, to: SocketAddr, message: PeerMessage) {
        let state = self.lock();
        // A frame from a process that has ended is dropped, as frames of older incarnations are.
        let current =
            state.endpoints.get(&source.address).is_some_and(|endpoint| endpoint.source == source);
        if !current || state.is_partitioned(source.address, to) {
            return;
        }
        if let Some(endpoint) = state.endpoints.get(&to) {
            // Fails if the receiver has ended, in which case the message is lost.
            let _ = endpoint.inbox.send((source, message));
        }
    }

    fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NetworkState {
    /// Draws the delays of the copies of one message that arrive; empty if the message is lost.
    fn draw_delays(&mut self, from: SocketAddr, to: SocketAddr) -> Vec<Duration> {
        if self.is_partitioned(from, to)
            || self.random.random_range(0..100) < self.rules.loss_percent
        {
            return Vec::new();
        }
        let copies =
            if self.random.random_range(0..100) < self.rules.repeat_percent { 2 } else { 1 };
        let range = self.rules.min_delay..=self.rules.max_delay.max(self.rules.min_delay);
        (0..copies).map(|_| self.random.random_range(range.clone())).collect()
    }

    fn is_partitioned(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.isolated.contains(&from) != self.isolated.contains(&to)
    }
}

/// A router's link to the fake network.
#[derive(Debug)]
pub struct FakeLink {
    network: FakeNetwork,
    source: MessageSource,
    gate: PauseGate,
    received: flume::Receiver<(MessageSource, PeerMessage)>,
    sent_bytes: AtomicU64,
}

impl PeerLink for FakeLink {
    fn send(&self, _vm: VmId, address: SocketAddr, message: &PeerMessage) {
        let bytes = message.encoded_len() as u64 + ENVELOPE_BYTES;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.network.send(self.source, self.gate.remaining(), address, message);
    }

    async fn receive(&self) -> Option<(MessageSource, PeerMessage)> {
        let received = self.received.recv_async().await.ok();
        self.gate.wait().await;
        received
    }

    fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}
