//! A fleet of member tables on simulated time, with message delay, message loss and partitions.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use catkin_base::{ClockTime, DomainId, RegionId, VmId};
use catkin_membership::{
    MemberAction, MemberEvent, MemberEventKind, MemberMessage, MemberSpec, MemberTable,
    MembershipOptions, MessageOrigin,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MIN_DELAY_MICROS: u64 = 500;
const MAX_DELAY_MICROS: u64 = 5_000;

/// A message that was sent and not yet received.
#[derive(Debug, Clone)]
struct SentPacket {
    origin: MessageOrigin,
    address: SocketAddr,
    message: MemberMessage,
}

/// A running router of the simulated fleet.
pub struct SimNode {
    pub table: MemberTable,
    pub spec: MemberSpec,
    pub events: Vec<(ClockTime, MemberEvent)>,
    pub sent_bytes: u64,
    pub paused: bool,
    due: ClockTime,
}

/// A fleet of routers on simulated time.
pub struct SimFleet {
    pub now: ClockTime,
    pub loss_percent: u32,
    pub nodes: BTreeMap<SocketAddr, SimNode>,
    /// Routers in the order of the times at which their ticks are due.
    due: BTreeSet<(ClockTime, SocketAddr)>,
    options: MembershipOptions,
    random: StdRng,
    packets: BTreeMap<(ClockTime, u64), SentPacket>,
    packet_count: u64,
    partition: Option<(BTreeSet<SocketAddr>, BTreeSet<SocketAddr>)>,
    message_bytes: fn(&MemberMessage) -> u64,
}

/// The router with this number, with the incarnation of its first process.
pub fn spec(number: u16) -> MemberSpec {
    MemberSpec {
        vm: VmId(1_000 + u64::from(number)),
        incarnation: 1,
        address: ([10, 0, (number >> 8) as u8, number as u8], 7001).into(),
        domain: DomainId(u64::from(number % 3)),
        region: RegionId(1),
    }
}

pub fn specs(count: u16) -> Vec<MemberSpec> {
    (0..count).map(spec).collect()
}

impl SimFleet {
    pub fn new(seed: u64) -> Self {
        Self {
            now: ClockTime::from_millis(1_000),
            loss_percent: 0,
            nodes: BTreeMap::new(),
            due: BTreeSet::new(),
            options: MembershipOptions::default(),
            random: StdRng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            packet_count: 0,
            partition: None,
            message_bytes: |_| 0,
        }
    }

    /// Counts sent bytes with this function.
    pub fn with_message_size(mut self, message_bytes: fn(&MemberMessage) -> u64) -> Self {
        self.message_bytes = message_bytes;
        self
    }

    /// Starts a fleet and runs it for 20 seconds, in which every router learns of every other.
    pub fn converged(count: u16, seed: u64) -> Self {
        let mut fleet = Self::new(seed);
        fleet.start_all(count);
        fleet.run_millis(20_000);
        fleet
    }

    /// Starts routers that all begin with the same list, as from the platform.
    pub fn start_all(&mut self, count: u16) {
        let listed = specs(count);
        for spec in &listed {
            self.start(*spec, &listed);
        }
    }

    /// Starts a router with a list of seeds.
    pub fn start(&mut self, spec: MemberSpec, listed: &[MemberSpec]) {
        let seed = self.random.random();
        let mut table = MemberTable::new(spec, self.options, seed, self.now);
        table.add_seeds(self.now, listed);
        let due = self.now;
        let node = SimNode { table, spec, events: Vec::new(), sent_bytes: 0, paused: false, due };
        self.crash_at(spec.address);
        self.nodes.insert(spec.address, node);
        self.update_due(spec.address);
    }

    /// Ends a router's process without an announcement.
    pub fn crash(&mut self, number: u16) {
        self.crash_at(spec(number).address);
    }

    fn crash_at(&mut self, address: SocketAddr) {
        if let Some(node) = self.nodes.remove(&address) {
            self.due.remove(&(node.due, address));
        }
    }

    fn update_due(&mut self, address: SocketAddr) {
        let node = self.nodes.get_mut(&address).unwrap();
        self.due.remove(&(node.due, address));
        node.due = node.table.next_due();
        self.due.insert((node.due, address));
    }

    fn is_running(&self, address: &SocketAddr) -> bool {
        self.nodes.get(address).is_some_and(|node| !node.paused)
    }

    /// Announces that a router shuts down; its process runs until [`Self::crash`].
    pub fn leave(&mut self, number: u16) {
        let address = spec(number).address;
        let now = self.now;
        let actions = self.node_mut(number).table.leave(now);
        self.send_all(address, &actions);
    }

    /// Partitions the network between the first `count` routers and the rest.
    pub fn start_partition(&mut self, count: u16) {
        let left: BTreeSet<SocketAddr> = (0..count).map(|number| spec(number).address).collect();
        let right = self.nodes.keys().copied().filter(|it| !left.contains(it)).collect();
        self.partition = Some((left, right));
    }

    pub fn end_partition(&mut self) {
        self.partition = None;
    }

    pub fn node(&self, number: u16) -> &SimNode {
        &self.nodes[&spec(number).address]
    }

    pub fn node_mut(&mut self, number: u16) -> &mut SimNode {
        self.nodes.get_mut(&spec(number).address).unwrap()
    }

    pub fn run_millis(&mut self, millis: u64) {
        let end = self.now.plus_millis(millis);
        while let Some(next) = self.next_step().filter(|&next| next <= end) {
            self.now = self.now.max(next);
            self.run_step();
        }
        self.now = end;
    }

    /// Runs until `done` or for `max_millis`; returns the time taken in milliseconds.
    pub fn run_until(&mut self, max_millis: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now.millis_since(start) <= max_millis {
            if done(self) {
                return Some(self.now.millis_since(start));
            }
            self.run_millis(100);
        }
        None
    }

    /// Numbers of the routers that this router counts as live.
    pub fn list_live(&self, number: u16) -> Vec<u64> {
        self.node(number).table.live_members().map(|view| view.spec.vm.0 - 1_000).collect()
    }

    /// Whether every running router counts exactly `count` routers as live.
    pub fn all_see_live(&self, count: usize) -> bool {
        self.nodes.values().all(|node| node.table.live_members().count() == count)
    }

    /// Counts the events of one kind at all routers.
    pub fn count_events(&self, kind: MemberEventKind) -> usize {
        let events = self.nodes.values().flat_map(|node| &node.events);
        events.filter(|(_, event)| event.kind == kind).count()
    }

    pub fn clear_events(&mut self) {
        self.nodes.values_mut().for_each(|node| node.events.clear());
    }

    pub fn sent_bytes(&self) -> u64 {
        self.nodes.values().map(|node| node.sent_bytes).sum()
    }

    fn next_step(&self) -> Option<ClockTime> {
        let mut running = self.due.iter().filter(|(_, address)| self.is_running(address));
        let due = running.next().map(|&(due, _)| due);
        let arrival = self.packets.keys().next().map(|&(time, _)| time);
        due.into_iter().chain(arrival).min()
    }

    fn run_step(&mut self) {
        while let Some(entry) = self.packets.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let packet = entry.remove();
            self.deliver_packet(&packet);
        }
        let now = self.now;
        let due: Vec<SocketAddr> = self
            .due
            .iter()
            .take_while(|(due, _)| *due <= now)
            .map(|&(_, address)| address)
            .filter(|address| self.is_running(address))
            .collect();
        for address in due {
            let node = self.nodes.get_mut(&address).unwrap();
            let actions = node.table.tick(now);
            node.take_events(now);
            self.update_due(address);
            self.send_all(address, &actions);
        }
    }

    fn deliver_packet(&mut self, packet: &SentPacket) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&packet.address).filter(|node| !node.paused) else {
            return;
        };
        let actions = node.table.handle_message(now, packet.origin, &packet.message);
        node.take_events(now);
        self.update_due(packet.address);
        self.send_all(packet.address, &actions);
    }

    fn send_all(&mut self, from: SocketAddr, actions: &[MemberAction]) {
        let spec = self.nodes[&from].spec;
        let origin =
            MessageOrigin { vm: spec.vm, incarnation: spec.incarnation, address: spec.address };
        for action in actions {
            let MemberAction::Send { address, message, .. } = action;
            self.nodes.get_mut(&from).unwrap().sent_bytes += (self.message_bytes)(message);
            if self.is_partitioned(from, *address)
                || self.random.random_range(0..100) < self.loss_percent
            {
                continue;
            }
            let delay = self.random.random_range(MIN_DELAY_MICROS..MAX_DELAY_MICROS);
            self.packet_count += 1;
            let packet = SentPacket { origin, address: *address, message: message.clone() };
            self.packets.insert((ClockTime(self.now.0 + delay), self.packet_count), packet);
        }
    }

    fn is_partitioned(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.partition.as_ref().is_some_and(|(left, right)| {
            (left.contains(&from) && right.contains(&to))
                || (right.contains(&from) && left.contains(&to))
        })
    }
}

impl SimNode {
    fn take_events(&mut self, now: ClockTime) {
        let events = self.table.take_events();
        self.events.extend(events.into_iter().map(|event| (now, event)));
    }
}
