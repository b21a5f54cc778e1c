//! A network between routers with delay, loss, repetition and splits.

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

use crate::gate::PauseGate;

/// Bytes that the envelope, the tag and the headers of UDP and IP add to a message.
const ENVELOPE_BYTES: u64 = 96;

/// How the network treats messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NetworkRules {
    /// Shortest delay of a message.
    pub min_delay: Duration,
    /// Longest delay; messages overtake each other within the range.
    pub max_delay: Duration,
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// Messages that arrive twice, in percent.
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

/// A network between routers.
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
    ports: BTreeMap<SocketAddr, FakePort>,
    /// Addresses on one side of a split.
    apart: BTreeSet<SocketAddr>,
}

/// A listening router.
#[derive(Debug, Clone)]
struct FakePort {
    source: MessageSource,
    inbox: flume::Sender<(MessageSource, PeerMessage)>,
}

impl FakeNetwork {
    /// A network whose losses and delays follow from `seed`.
    pub fn new(rules: NetworkRules, seed: u64) -> Self {
        let state = NetworkState {
            rules,
            random: StdRng::seed_from_u64(seed),
            ports: BTreeMap::new(),
            apart: BTreeSet::new(),
        };
        let shared = NetworkShared { state: Mutex::new(state), deliveries: TaskTracker::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Connects a router; one that was connected at the address before is cut off.
    pub fn connect(&self, source: MessageSource, gate: PauseGate) -> FakeLink {
        let (inbox, received) = flume::unbounded();
        self.lock().ports.insert(source.address, FakePort { source, inbox });
        FakeLink { network: self.clone(), source, gate, received, sent_bytes: AtomicU64::new(0) }
    }

    /// Cuts a router off.
    pub fn disconnect(&self, address: SocketAddr) {
        self.lock().ports.remove(&address);
    }

    /// Changes how messages are treated from now on.
    pub fn change_rules(&self, change: impl FnOnce(&mut NetworkRules)) {
        change(&mut self.lock().rules);
    }

    /// Separates these routers from all others.
    pub fn split(&self, apart: BTreeSet<SocketAddr>) {
        self.lock().apart = apart;
    }

    /// Ends a split.
    pub fn heal(&self) {
        self.lock().apart.clear();
    }

    /// Waits for messages on their way, and loses those that come later.
    pub async fn close(&self) {
        self.lock().ports.clear();
        self.shared.deliveries.close();
        self.shared.deliveries.wait().await;
    }

    fn send(&self, source: MessageSource, hold: Duration, to: SocketAddr, message: &PeerMessage) {
        let delays = self.lock().draw_delays(source.address, to);
        for delay in delays {
            let (network, message) = (self.clone(), message.clone());
            self.shared.deliveries.spawn(async move {
                sleep(hold + delay).await;
                network.deliver(source, to, message);
            });
        }
    }

    fn deliver(&self, source: MessageSource, to: SocketAddr, message: PeerMessage) {
        let state = self.lock();
        // A frame of a process that has ended is refused like any of an older incarnation.
        let current = state.ports.get(&source.address).is_some_and(|port| port.source == source);
        if !current || state.is_cut(source.address, to) {
            return;
        }
        if let Some(port) = state.ports.get(&to) {
            // The receiver may have ended.
            let _ = port.inbox.send((source, message));
        }
    }

    fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl NetworkState {
    /// Delays of the copies of one message that arrive.
    fn draw_delays(&mut self, from: SocketAddr, to: SocketAddr) -> Vec<Duration> {
        if self.is_cut(from, to) || self.random.random_range(0..100) < self.rules.loss_percent {
            return Vec::new();
        }
        let copies =
            if self.random.random_range(0..100) < self.rules.repeat_percent { 2 } else { 1 };
        let range = self.rules.min_delay..=self.rules.max_delay.max(self.rules.min_delay);
        (0..copies).map(|_| self.random.random_range(range.clone())).collect()
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.apart.contains(&from) != self.apart.contains(&to)
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
