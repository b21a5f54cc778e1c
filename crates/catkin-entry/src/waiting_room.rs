//! Lets requests wait for room in the order of their ranks, where the deployment's terms ask for it: keeps
//! a [`ServiceRoom`] for each service, wakes the request that goes next, and exchanges the demand by team
//! with the other routers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::{ClockTime, RequestDigest, TeamId};
use catkin_peer::messages::TeamDemand;
use catkin_policy::{
    LineTicket, RoomCause, RoomInput, RoomRefusal, RoomRequest, RoomVerdict, ServiceRoom,
    compute_fraction, keep_largest,
};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::call::EntryCall;
use crate::limit_exchange::{DEMAND_SECONDS, decode_count, encode_count};
use crate::load_table::ServiceKey;
use crate::refusal::RefusalCause;
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Time for which the figures of a service are used before they are computed again, in milliseconds.
const INPUT_MILLIS: u64 = 20;
/// Time after which the first request in a line tries again without a change that woke it.
const FIRST_RECHECK: Duration = Duration::from_millis(50);
/// Part of the target latency for which a request may wait in any case.
const MIN_WAIT_DIVISOR: u32 = 2;
/// Maximum number of refused requests of a service whose return is recognized, and for how long after the
/// time that they were told, in milliseconds.
const MAX_RETURNS: usize = 1_024;
const RETURN_MILLIS: u64 = 3_000;

/// Recent requests by service and team, in hundredths, as reported.
pub type TeamDemands = BTreeMap<(ServiceKey, TeamId), u32>;

struct RoomEntry {
    room: ServiceRoom,
    wakes: BTreeMap<LineTicket, Rc<Notify>>,
    /// When refused requests were told to return.
    returns: BTreeMap<RequestDigest, ClockTime>,
    input: RoomInput,
    input_at: ClockTime,
}

/// The rooms of all services that had requests.
#[derive(Default)]
pub(crate) struct RoomBook {
    services: BTreeMap<String, RoomEntry>,
}

impl RoomBook {
    /// Wakes the requests that go next.
    fn wake_first(&self) {
        for entry in self.services.values() {
            let first = entry.room.first().and_then(|ticket| entry.wakes.get(&ticket));
            first.into_iter().for_each(|wake| wake.notify_one());
        }
    }

    /// Services that are short of room.
    pub(crate) fn short_services(&self, now: ClockTime) -> impl Iterator<Item = &str> {
        let services = self.services.iter();
        let short = services.filter(move |(_, entry)| entry.room.is_short(now, entry.input));
        short.map(|(service, _)| service.as_str())
    }

    /// The largest teams of the services that are short of room.
    fn largest_teams(&self, now: ClockTime) -> TeamDemands {
        let mut demands = TeamDemands::new();
        for service in self.short_services(now) {
            let key = ServiceKey::from_name(service);
            let teams = self.services[service].room.largest_teams(now);
            let rows = teams.into_iter().map(|(team, demand)| ((key, team), encode_count(demand)));
            demands.extend(rows.filter(|(_, requests)| *requests > 0));
        }
        demands
    }

    /// Forgets what no recent request concerns.
    pub(crate) fn remove_expired(&mut self, now: ClockTime) {
        for entry in self.services.values_mut() {
            entry.room.remove_expired(now);
            entry.returns.retain(|_, due| now.millis_since(*due) < RETURN_MILLIS);
        }
    }
}

/// Keeps the teams with most requests of each service, as many as a report may have.
pub(crate) fn bound_team_demands(demands: TeamDemands) -> TeamDemands {
    let mut services: BTreeMap<ServiceKey, Vec<(TeamId, f64)>> = BTreeMap::new();
    for ((service, team), requests) in demands {
        services.entry(service).or_default().push((team, f64::from(requests)));
    }
    let kept = services.into_iter().flat_map(|(service, teams)| {
        let teams = keep_largest(teams).into_iter();
        teams.map(move |(team, requests)| ((service, team), requests as u32))
    });
    kept.collect()
}

pub(crate) fn encode_team(
    ((service, team), requests): (&(ServiceKey, TeamId), &u32),
) -> TeamDemand {
    TeamDemand { service: service.0, team: team.0, requests: *requests }
}

pub(crate) fn decode_team(row: &TeamDemand) -> ((ServiceKey, TeamId), u32) {
    ((ServiceKey(row.service), TeamId(row.team)), row.requests)
}

impl<W> EntryState<W> {
    /// Signals that a request may find room: a slot was freed, or loads were reported.
    pub(crate) fn wake_for_room(&self) {
        self.selection_input_change.notify_one();
        self.rooms.borrow().wake_first();
    }

    /// The largest teams of the services that are short of room, for a report.
    pub(crate) fn local_team_demands(&self) -> TeamDemands {
        self.rooms.borrow().largest_teams(self.now())
    }
}

impl<W: EntryWire> EntryState<W> {
    /// Whether requests wait for room in an order.
    pub(crate) fn orders_requests(&self) -> bool {
        self.settings.borrow().orders_by_rank
    }

    /// Counts a request of a caller.
    pub(crate) fn record_room_request(&self, call: &EntryCall) {
        if self.orders_requests() {
            let team = call.team.as_deref().map(TeamId::from_name);
            let now = self.now();
            self.with_room(&call.service, |entry, _| entry.room.record_request(now, team));
        }
    }

    /// Records that a server answered a request or declined it.
    pub(crate) fn record_room_answer(&self, service: &str, is_declined: bool) {
        if self.orders_requests() {
            let now = self.now();
            self.with_room(service, |entry, _| entry.room.record_answer(now, is_declined));
        }
    }

    /// Records when a request that got no room was told to return.
    pub(crate) fn record_return(&self, call: &EntryCall, cause: RefusalCause, pause: Duration) {
        if !matches!(cause, RefusalCause::NoRoom(_)) {
            return;
        }
        let due = self.now().plus(pause);
        self.with_room(&call.service, |entry, _| {
            if entry.returns.len() < MAX_RETURNS {
                entry.returns.insert(call.digest, due);
            }
        });
    }

    /// Calls `change` with the room of a service and its figures.
    fn with_room<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut RoomEntry, RoomInput) -> T,
    ) -> T {
        let now = self.now();
        let known = self.rooms.borrow().services.get(service).map(|entry| entry.input_at);
        if known.is_none_or(|at| now.millis_since(at) >= INPUT_MILLIS) {
            let input = self.compute_room_input(now, service);
            let reported = self.loads.borrow().reported_teams(ServiceKey::from_name(service));
            let reported = reported.into_iter().map(|(team, count)| (team, decode_count(count)));
            let mut rooms = self.rooms.borrow_mut();
            if known.is_none() {
                let entry = RoomEntry {
                    room: ServiceRoom::new(self.local_vm.0),
                    wakes: BTreeMap::new(),
                    returns: BTreeMap::new(),
                    input,
                    input_at: now,
                };
                rooms.services.insert(service.to_owned(), entry);
            }
            let entry = rooms.services.get_mut(service).expect("the entry was inserted above");
            (entry.input, entry.input_at) = (input, now);
            entry.room.set_reported(reported.collect());
        }
        let mut rooms = self.rooms.borrow_mut();
        let entry = rooms.services.get_mut(service).expect("the entry was inserted above");
        let input = entry.input;
        change(entry, input)
    }

    fn compute_room_input(&self, now: ClockTime, service: &str) -> RoomInput {
        let key = ServiceKey::from_name(service);
        let speeds = self.speeds.borrow();
        let servers = self.servers.borrow();
        let outcomes = self.outcomes.borrow();
        let usable = servers.usable(service);
        let usable = usable.filter(|known| !outcomes.is_unreachable(now, known.server));
        let slots = usable
            .map(|known| f64::from(known.record.slots) / speeds.slow_factor(now, known.server));
        let own = self.demands.borrow().demand(now, key);
        let loads = self.loads.borrow();
        let others = decode_count(loads.reported_demand(key));
        RoomInput {
            slots: slots.sum(),
            answer_millis: speeds.expected_millis(service, 0),
            fraction: compute_fraction(own, others, loads.live_routers(now), self.budget_routers()),
            demand_rate: (own + others) / DEMAND_SECONDS,
            needs_credit: !self.runs_engines(service),
        }
    }

    /// Whether the servers of a service are model engines.
    pub(crate) fn runs_engines(&self, service: &str) -> bool {
        let table = self.route_table.borrow();
        let services = table.as_ref().map(|table| &table.declarations().services);
        let record = services.and_then(|services| services.get(service));
        record.is_some_and(|record| record.engine.is_some())
    }
}

/// A request's place in the line of its service; given up when dropped.
pub(crate) struct LinePlace<'a, W: EntryWire> {
    state: &'a EntryState<W>,
    call: &'a EntryCall,
    ticket: LineTicket,
    wake: Rc<Notify>,
    team: Option<TeamId>,
    latest_start: ClockTime,
}

impl<'a, W: EntryWire> LinePlace<'a, W> {
    /// Adds a request to the line of its service. `was_tried` states that a server declined it or failed.
    pub(crate) fn join(state: &'a EntryState<W>, call: &'a EntryCall, was_tried: bool) -> Self {
        let now = state.now();
        let team = call.team.as_deref().map(TeamId::from_name);
        let latest_start = find_latest_start(state, call);
        let wake = Rc::new(Notify::new());
        let ticket = state.with_room(&call.service, |entry, input| {
            let due = entry.returns.remove(&call.digest);
            let request = RoomRequest {
                team,
                team_priority: call.team_priority,
                route_priority: call.route.priority,
                is_returned: was_tried || due.is_some_and(|due| now >= due),
                latest_start,
            };
            let ticket = entry.room.join(now, request, input);
            entry.wakes.insert(ticket, Rc::clone(&wake));
            ticket
        });
        Self { state, call, ticket, wake, team, latest_start }
    }

    /// Decides what the request does now.
    pub(crate) fn decide(&self) -> RoomVerdict {
        let now = self.state.now();
        self.state.with_room(&self.call.service, |entry, input| {
            entry.room.decide(now, self.ticket, input)
        })
    }

    /// Waits until the line changes or a time is reached.
    pub(crate) async fn wait(&self, until: ClockTime) {
        let rest = until.since(self.state.now());
        let _ = timeout_at(Instant::now() + rest, self.wake.notified()).await;
    }

    /// Waits after no server had room; the error is the refusal, if the request has waited too long.
    pub(crate) async fn wait_for_server(&self) -> Result<(), RoomRefusal> {
        let now = self.state.now();
        let refusal = self.state.with_room(&self.call.service, |entry, input| {
            entry.room.record_full(now);
            let is_late = now >= self.latest_start;
            is_late.then(|| entry.room.refuse(now, self.ticket, input))
        });
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        self.wait(now.plus(FIRST_RECHECK).min(self.latest_start)).await;
        Ok(())
    }

    /// Records that the request goes to a server.
    pub(crate) fn record_grant(self) {
        let now = self.state.now();
        self.state.with_room(&self.call.service, |entry, input| {
            entry.room.record_grant(now, self.ticket, self.team, input);
        });
    }

    /// Logs and counts a refusal, with what it is based on.
    pub(crate) fn describe_refusal(&self, refusal: RoomRefusal) -> RefusalCause {
        let now = self.state.now();
        let cause = RefusalCause::NoRoom(refusal);
        let (waiting, (team_demand, share), input) =
            self.state.with_room(&self.call.service, |entry, input| {
                let standing = self.team.map(|team| entry.room.team_standing(now, team));
                (entry.room.waiting(), standing.unwrap_or((0.0, f64::INFINITY)), input)
            });
        log::info!(
            "call: no room in its time; refusing it. request={} service={} team={} cause={:?} \
             team_priority={} route_priority={} team_demand={team_demand:.1} share={share:.1} \
             waiting={waiting} expected_millis={} \
             spread_millis={} demand={:.0} fraction={:.4} slots={:.0} answer_millis={:.0} \
             loads_age_millis={}",
            self.call.id_text(),
            self.call.service,
            self.call.team.as_deref().unwrap_or("-"),
            refusal.cause,
            self.call.team_priority,
            self.call.route.priority,
            refusal.expected.as_millis(),
            refusal.spread.as_millis(),
            input.demand_rate,
            input.fraction,
            input.slots,
            input.answer_millis,
            self.state.loads.borrow().oldest_report_millis(now)
        );
        let word = match refusal.cause {
            RoomCause::InUse => "in-use",
            RoomCause::KeptForUrgent => "kept-for-urgent",
            RoomCause::ShareUsed => "share-used",
        };
        metrics::counter!("catkin_entry_no_room_total", "cause" => word).increment(1);
        cause
    }
}

impl<W: EntryWire> Drop for LinePlace<'_, W> {
    fn drop(&mut self) {
        let now = self.state.now();
        self.state.with_room(&self.call.service, |entry, _| {
            entry.room.leave(now, self.ticket);
            entry.wakes.remove(&self.ticket);
        });
        self.state.rooms.borrow().wake_first();
    }
}

/// The latest start at which the answer to a request is still of use.
fn find_latest_start<W>(state: &EntryState<W>, call: &EntryCall) -> ClockTime {
    let tokens = call.prefixes.last().map_or(0, |prefix| prefix.tokens);
    let shared = call.shared_prefix().map_or(0, |shared| shared.tokens);
    let own_tokens = u64::from(tokens.saturating_sub(shared));
    let millis = state.speeds.borrow().expected_millis(&call.service, own_tokens);
    let answer = Duration::from_secs_f64(millis / 1_000.0);
    let target = call.route.target_latency;
    let wait = target.saturating_sub(answer).max(target / MIN_WAIT_DIVISOR);
    let now = Instant::now();
    let left = call.deadline.saturating_duration_since(now).saturating_sub(answer);
    let rest = (call.arrived + wait).max(now).saturating_duration_since(now);
    state.now().plus(rest.min(left))
}
