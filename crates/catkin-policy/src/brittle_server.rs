//! Keeps servers from having to turn requests away that say that they fall over otherwise.
//!
//! The requests that a server turns away come from all routers, which learn of one another's requests
//! only with their reports. A router sends a request in place of one of its own that has just ended.
//! Beyond that it takes its share of the slots that seem free, by lot where that is less than one, and once
//! in the time of a report. After a decline it leaves the server alone for a while, and all routers count on
//! less room.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use catkin_base::{ClockTime, ServerId, copy_type, hash_parts};

use crate::server_limit::RequestRate;

/// Time for which a decline keeps its router away, and all routers from free slots, in milliseconds.
const CALM_MILLIS: u64 = 1_000;
/// Time without a decline after which the room counts as one request larger, in milliseconds.
const RECOVERY_MILLIS: u64 = 3_000;
/// Declines within this time count as one loss of room, in milliseconds.
const SAME_DECLINE_MILLIS: u64 = 100;
/// Time for which a router may send a request in place of one that ended, in milliseconds.
const KEPT_SLOT_MILLIS: u64 = 100;
/// Limits of the time in which a router takes its part of the free slots, in milliseconds.
const MIN_ROUND_MILLIS: u64 = 80;
const MAX_ROUND_MILLIS: u64 = 400;
/// Ages of reports that this time spans.
const REPORT_AGES: f64 = 1.4;
/// Part of the free slots that all routers take in that time: this times the declines that the server bears,
/// within limits.
const TAKEN_PART: f64 = 0.2;
const MIN_TAKEN_PART: f64 = 0.2;
const MAX_TAKEN_PART: f64 = 1.0;
/// Multiple of the requests that others may have sent unseen for which there must be room if each router
/// may send a request without a lot.
const CALM_FACTOR: f64 = 4.0;
/// Part of the room that must be free then.
const CALM_PART: f64 = 0.5;
/// Time for which the end of brittleness, or the statement of a server that is not listed, is remembered, in
/// milliseconds.
const END_MILLIS: u64 = 10_000;

copy_type! {
    /// What a server said of how many requests it can turn away.
    pub struct BrittleStatement {
        /// The server.
        pub server: ServerId,
        /// Requests that it may turn away in a second; `None` if it does not say that it is brittle.
        pub declines: Option<RequestRate>,
        /// When it said so.
        pub stated: ClockTime,
    }
}

/// What a router knows of the room of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrittleRoom {
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Requests of all routers that are open there, as far as this router knows.
    pub open: u32,
    /// Part of the requests for the service that this router gets, from 0 to 1.
    pub fraction: f64,
    /// Requests that the other routers send to one server of the service in a second.
    pub other_rate: f64,
    /// Mean age of what this router knows of the others, in milliseconds.
    pub report_millis: f64,
}

impl BrittleRoom {
    /// Time in which a router takes its part of the free slots, in milliseconds.
    fn round_millis(&self) -> u64 {
        let millis = (self.report_millis * REPORT_AGES) as u64;
        millis.clamp(MIN_ROUND_MILLIS, MAX_ROUND_MILLIS)
    }

    /// Requests of the other routers that this one does not know of yet.
    fn unseen(&self) -> f64 {
        self.other_rate * self.round_millis() as f64 / 1_000.0
    }
}

#[derive(Debug, Clone, Copy)]
struct BrittleServer {
    declines: Option<RequestRate>,
    stated: ClockTime,
    use_of_room: RoomUse,
}

/// A router's use of the room of one server.
#[derive(Debug, Clone, Copy, Default)]
struct RoomUse {
    /// Requests that may be sent in place of ended ones, and until when.
    kept: u32,
    kept_until: ClockTime,
    /// End of the round that lots were drawn for.
    round_end: ClockTime,
    /// Free slots that this router may still take in the round.
    lots: u32,
    /// Number of the round.
    round: u64,
    /// Latest decline at any router.
    declined: Option<ClockTime>,
    /// Requests by which the room is smaller than the slots, as declines show.
    lost_room: u32,
    /// Until when this router sends nothing.
    away_until: ClockTime,
}

impl RoomUse {
    /// When free slots may be taken after the latest decline.
    fn calm_at(&self) -> ClockTime {
        self.declined.map_or(ClockTime::ZERO, |declined| declined.plus_millis(CALM_MILLIS))
    }

    /// Requests by which the room is smaller than the slots now.
    fn lost_room(&self, now: ClockTime) -> u32 {
        let millis = now.millis_since(self.declined.unwrap_or_default());
        self.lost_room.saturating_sub((millis / RECOVERY_MILLIS) as u32)
    }

    /// Room that the server has, at least one request: it could never say that it has more. Just after a
    /// decline, one more is left to requests that were sent before it was known.
    fn room(&self, now: ClockTime, slots: u32) -> u32 {
        let left = u32::from(now < self.calm_at());
        slots.saturating_sub(self.lost_room(now) + left).max(1)
    }

    fn has_kept(&self, now: ClockTime) -> bool {
        self.kept > 0 && now < self.kept_until
    }
}

/// The servers that say that they are brittle, and this router's use of their room.
#[derive(Debug, Clone)]
pub struct BrittleTable {
    /// Number of this router, which differs from those of the others.
    seed: u64,
    servers: BTreeMap<ServerId, BrittleServer>,
    /// Use of servers that have said nothing yet while others of their service are brittle.
    presumed: BTreeMap<ServerId, RoomUse>,
}

impl BrittleTable {
    /// Creates the table of the router with this number. The numbers make lots differ.
    pub fn new(seed: u64) -> Self {
        Self { seed, servers: BTreeMap::new(), presumed: BTreeMap::new() }
    }

    /// Records what a server said, here or, as reported, to another router; returns whether it is new.
    /// A statement that is older than the latest one is ignored.
    pub fn record_statement(&mut self, statement: BrittleStatement) -> bool {
        let BrittleStatement { server, declines, stated } = statement;
        let is_empty = self.is_empty();
        let known = match self.servers.entry(server) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(_) if declines.is_none() && is_empty => return false,
            // A server that says nothing is not brittle, whatever the others of its service say.
            Entry::Vacant(entry) => {
                let use_of_room = self.presumed.remove(&server).unwrap_or_default();
                entry.insert(BrittleServer { declines, stated, use_of_room });
                return declines.is_some();
            }
        };
        if stated < known.stated {
            return false;
        }
        known.stated = stated;
        std::mem::replace(&mut known.declines, declines) != declines
    }

    /// Whether no server says that it is brittle, or did lately.
    pub fn is_empty(&self) -> bool {
        self.servers.values().all(|known| known.declines.is_none())
    }

    /// Requests that a server may turn away in a second.
    pub fn declines(&self, server: ServerId) -> Option<RequestRate> {
        self.servers.get(&server).and_then(|known| known.declines)
    }

    /// Whether a server counts as brittle: it says so, or has said nothing yet in a service of which
    /// others say so.
    pub fn is_brittle(&self, server: ServerId, others_are: bool) -> bool {
        self.servers.get(&server).map_or(others_are, |known| known.declines.is_some())
    }

    /// Time until this router may send a request to a brittle server, in milliseconds; 0 if it may send
    /// one now.
    pub fn wait_millis(&mut self, now: ClockTime, server: ServerId, room: &BrittleRoom) -> u64 {
        let seed = self.seed;
        let declines = self.borne_declines(server);
        let has_stated = self.servers.contains_key(&server);
        let usage = self.use_of(server);
        let places = usage.room(now, room.slots);
        if now < usage.away_until {
            return usage.away_until.millis_since(now);
        }
        let free = places.saturating_sub(room.open);
        if usage.has_kept(now) && free > 0 {
            return 0;
        }
        if now < usage.calm_at() {
            return usage.calm_at().millis_since(now);
        }
        if now >= usage.round_end {
            usage.round += 1;
            usage.round_end = now.plus_millis(room.round_millis());
            let others = 1.0 - room.fraction;
            let taken = (declines * TAKEN_PART).clamp(MIN_TAKEN_PART, MAX_TAKEN_PART);
            let part = room.fraction * (room.fraction + others * taken);
            usage.lots = (f64::from(free) * part + draw_lot(seed, server, usage.round)) as u32;
            let crowd = f64::from(room.open) + 1.0 + CALM_FACTOR * room.unseen();
            let is_calm = f64::from(free) > f64::from(places) * CALM_PART;
            if has_stated && is_calm && crowd <= f64::from(places) {
                usage.lots = usage.lots.max(1);
            }
        }
        if free > 0 && usage.lots > 0 { 0 } else { usage.round_end.millis_since(now).max(1) }
    }

    /// Records that this router sends a request to a server.
    pub fn record_send(&mut self, now: ClockTime, server: ServerId) {
        let Some(usage) = self.known_use(server) else { return };
        if usage.has_kept(now) {
            usage.kept -= 1;
        } else {
            usage.lots = usage.lots.saturating_sub(1);
        }
    }

    /// Records that a request of this router to a server ended.
    pub fn record_end(&mut self, now: ClockTime, server: ServerId) {
        let Some(usage) = self.known_use(server) else { return };
        usage.kept = if now < usage.kept_until { usage.kept + 1 } else { 1 };
        usage.kept_until = now.plus_millis(KEPT_SLOT_MILLIS);
    }

    /// Records that a server declined a request of this router.
    pub fn record_decline(&mut self, now: ClockTime, server: ServerId) {
        if let Some(usage) = self.known_use(server) {
            usage.away_until = now.plus_millis(CALM_MILLIS);
            usage.kept = 0;
        }
        self.record_peer_decline(server, now);
    }

    /// Records that a server declined a request of any router at `declined`; returns whether that is new.
    pub fn record_peer_decline(&mut self, server: ServerId, declined: ClockTime) -> bool {
        let Some(usage) = self.known_use(server) else { return false };
        let known = usage.declined;
        if known.is_some_and(|at| declined < at.plus_millis(SAME_DECLINE_MILLIS)) {
            usage.declined = known.max(Some(declined));
            return false;
        }
        usage.lost_room = usage.lost_room(declined) + 1;
        usage.declined = Some(declined);
        true
    }

    /// The latest statement of a server.
    pub fn statement(&self, server: ServerId) -> Option<BrittleStatement> {
        let known = self.servers.get(&server)?;
        Some(BrittleStatement { server, declines: known.declines, stated: known.stated })
    }

    /// What servers say, for routers that start.
    pub fn statements(&self) -> impl Iterator<Item = BrittleStatement> {
        let brittle = self.servers.iter().filter(|(_, known)| known.declines.is_some());
        brittle.map(|(server, known)| BrittleStatement {
            server: *server,
            declines: known.declines,
            stated: known.stated,
        })
    }

    /// Removes what is known of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
        self.presumed.remove(&server);
    }

    /// Removes what is over, or concerns servers that are not listed.
    pub fn remove_expired(&mut self, now: ClockTime, is_listed: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, known| {
            is_listed(*server) || now.millis_since(known.stated) < END_MILLIS
        });
        self.presumed.retain(|server, _| is_listed(*server));
        if self.is_empty() {
            self.servers.retain(|_, known| now.millis_since(known.stated) < END_MILLIS);
            self.presumed.clear();
        }
    }

    /// Requests that a server can turn away in a second; the fewest of those that others state if it
    /// has not said so itself.
    fn borne_declines(&self, server: ServerId) -> f64 {
        let stated = |known: &BrittleServer| known.declines.map(RequestRate::per_second);
        let own = self.servers.get(&server).and_then(stated);
        own.unwrap_or_else(|| {
            self.servers.values().filter_map(stated).fold(f64::INFINITY, f64::min)
        })
    }

    fn use_of(&mut self, server: ServerId) -> &mut RoomUse {
        match self.servers.get_mut(&server) {
            Some(known) => &mut known.use_of_room,
            None => self.presumed.entry(server).or_default(),
        }
    }

    fn known_use(&mut self, server: ServerId) -> Option<&mut RoomUse> {
        match self.servers.get_mut(&server) {
            Some(known) => Some(&mut known.use_of_room),
            None => self.presumed.get_mut(&server),
        }
    }
}

/// A number from 0 to 1 that differs by router, server and round.
fn draw_lot(seed: u64, server: ServerId, round: u64) -> f64 {
    let hash = hash_parts(&[&seed.to_le_bytes(), &server.0.to_le_bytes(), &round.to_le_bytes()]);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
