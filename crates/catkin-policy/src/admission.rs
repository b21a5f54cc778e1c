//! Decides which requests use the room of a service that has too little, at one router.
//!
//! Answers the load of callers that ask for several times the room of a service through many routers, one
//! team among them many times its usual: who waits, who goes first, and who is refused at once because no
//! room comes in its time. Combines the order of [`WaitingLine`], the room of [`RoomCredit`] and the shares
//! of teams. Decides alone: nothing is asked of other routers, and what they report may be late.

use std::collections::BTreeMap;
use std::time::Duration;

use catkin_base::{ClockTime, TeamId, copy_type};

use crate::room_credit::{RoomCredit, RoomInput};
use crate::team_share::{
    SurplusMarker, TEAM_SECONDS, TeamCounter, compute_share_level, keep_largest,
};
use crate::waiting_line::{LineTicket, StartForecast, WaitingLine, WaitingRank};

/// Time for which a priority counts as in use after a request that has it, in milliseconds.
const PRIORITY_MILLIS: u64 = 5_000;
/// Part of the room that is shared by team. What comes by chance needs the rest, or those within their
/// shares would lose requests to each other.
const SHARED_PART: f64 = 0.85;
/// Credit that a request beyond its team's share leaves.
const SURPLUS_RESERVE: f64 = 2.0;
/// Time constant with which refusals lose their weight, in seconds.
const REFUSAL_SECONDS: f64 = 1.0;

copy_type! {
    /// A request for room.
    pub struct RoomRequest {
        /// The team, if it has one.
        pub team: Option<TeamId>,
        /// Priority of the team; 0 is the highest.
        pub team_priority: u8,
        /// Priority of the route; 0 is the highest.
        pub route_priority: u8,
        /// Whether a server declined the request, or it is back after a refusal, in time.
        pub is_returned: bool,
        /// Latest start at which the answer is still of use.
        pub latest_start: ClockTime,
    }
}

copy_type! {
    /// Why a request gets no room.
    pub enum RoomCause {
        /// All room is in use.
        InUse,
        /// Room was kept for more urgent requests.
        KeptForUrgent,
        /// The team's recent requests exceed its share.
        ShareUsed,
    }
}

copy_type! {
    /// A request that gets no room in its time.
    pub struct RoomRefusal {
        /// Why.
        pub cause: RoomCause,
        /// When room is expected.
        pub expected: Duration,
        /// Time from then on over which the refused requests can be served.
        pub spread: Duration,
    }
}

copy_type! {
    /// What a request for room does now.
    pub enum RoomVerdict {
        /// It goes to a server that has room.
        Go,
        /// It waits until then, or until the line changes.
        Wait(ClockTime),
        /// It is refused.
        Refuse(RoomRefusal),
    }
}

/// The waiting requests of one service, the room that is this router's, and the shares of teams.
#[derive(Debug, Clone)]
pub struct ServiceRoom {
    line: WaitingLine,
    credit: RoomCredit,
    /// Requests of callers here, and those that got room, by team.
    demands: TeamCounter,
    uses: TeamCounter,
    /// Requests of the largest teams at the other routers, as reported.
    reported: BTreeMap<TeamId, f64>,
    marker: SurplusMarker,
    /// When requests of each priority of team and route came last.
    priorities: BTreeMap<(u8, u8), ClockTime>,
    refusals: f64,
    refused: ClockTime,
    /// Level of the teams' shares when it was last computed, in recent requests.
    share_level: f64,
}

impl ServiceRoom {
    /// Creates the state of the router with this number.
    pub fn new(seed: u64) -> Self {
        Self {
            line: WaitingLine::default(),
            credit: RoomCredit::new(seed),
            demands: TeamCounter::default(),
            uses: TeamCounter::default(),
            reported: BTreeMap::new(),
            marker: SurplusMarker::new(seed),
            priorities: BTreeMap::new(),
            share_level: f64::INFINITY,
            refusals: 0.0,
            refused: ClockTime::ZERO,
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: ClockTime, team: Option<TeamId>) {
        self.credit.record_request(now);
        if let Some(team) = team {
            self.demands.record_request(now, team);
        }
    }

    /// Sets the recent requests of teams at the other routers.
    pub fn set_reported(&mut self, reported: BTreeMap<TeamId, f64>) {
        self.reported = reported;
    }

    /// The teams with most recent requests here, for a report.
    pub fn largest_teams(&self, now: ClockTime) -> Vec<(TeamId, f64)> {
        self.demands.largest(now)
    }

    /// Whether the service is short of room.
    pub fn is_short(&self, now: ClockTime, input: RoomInput) -> bool {
        !self.line.is_empty() || self.credit.is_short(now, input)
    }

    /// Adds a request to the line.
    pub fn join(&mut self, now: ClockTime, request: RoomRequest, input: RoomInput) -> LineTicket {
        let priority = (request.team_priority, request.route_priority);
        self.priorities.insert(priority, now);
        let is_surplus = request.team.is_some_and(|team| self.mark_surplus(now, team, input));
        let uses = request.team.map_or(0.0, |team| self.uses.weight(now, team));
        let rank = WaitingRank {
            team_priority: request.team_priority,
            is_surplus,
            route_priority: request.route_priority,
            is_new: !request.is_returned,
            use_level: (uses + 1.0).log2() as u8,
            latest_start: request.latest_start,
        };
        self.line.join(now, rank)
    }

    fn mark_surplus(&mut self, now: ClockTime, team: TeamId, input: RoomInput) -> bool {
        if !self.is_short(now, input) {
            return false;
        }
        let room = self.room_rate(now, input).unwrap_or(f64::INFINITY);
        let mut known = self.reported.clone();
        for (team, demand) in self.demands.largest(now) {
            *known.entry(team).or_default() += demand;
        }
        let known = keep_largest(known.into_iter().collect());
        let demands: Vec<f64> = known.iter().map(|(_, demand)| *demand).collect();
        // The reported demand follows a rush more slowly than the counts by team.
        let current = self.credit.current_demand_rate(now, input).max(input.demand_rate);
        let room = room * SHARED_PART * TEAM_SECONDS;
        let level = compute_share_level(room, current * TEAM_SECONDS, &demands);
        self.share_level = level;
        let found = known.iter().find(|(known, _)| *known == team);
        let demand = found.map_or(0.0, |(_, demand)| *demand);
        self.marker.is_surplus(team, demand, level)
    }

    /// Room of all routers together, in requests per second, if it is known.
    fn room_rate(&mut self, now: ClockTime, input: RoomInput) -> Option<f64> {
        if input.needs_credit {
            return Some(self.credit.work_rate(input));
        }
        self.line.grant_rate(now).map(|rate| rate / input.fraction.max(f64::MIN_POSITIVE))
    }

    /// Rate at which requests here get room, in requests per second, if it is known.
    fn own_rate(&mut self, now: ClockTime, input: RoomInput) -> Option<f64> {
        if input.needs_credit {
            return Some(self.credit.own_rate(input));
        }
        self.line.grant_rate(now)
    }

    /// Decides what a request in the line does now.
    pub fn decide(&mut self, now: ClockTime, ticket: LineTicket, input: RoomInput) -> RoomVerdict {
        let Some(rank) = self.line.rank(ticket) else {
            return RoomVerdict::Refuse(self.describe_refusal(now, ticket, input, true));
        };
        let is_first = self.line.first() == Some(ticket);
        let is_oldest_turn = self.line.is_oldest_turn() && !rank.is_surplus;
        let reserve = if is_oldest_turn { 0.0 } else { self.count_reserve(now, rank) };
        let wait = self.credit.wait_millis(now, input, reserve);
        if is_first && wait == 0 {
            return RoomVerdict::Go;
        }
        let is_late = now >= rank.latest_start;
        if is_late || (!is_first && self.starts_late(now, ticket, rank, input)) {
            return RoomVerdict::Refuse(self.describe_refusal(now, ticket, input, rank.is_surplus));
        }
        let until = if is_first { now.plus_millis(wait) } else { rank.latest_start };
        RoomVerdict::Wait(until.min(rank.latest_start))
    }

    /// Credit that a request leaves for those that rank before it and may come at any moment.
    fn count_reserve(&self, now: ClockTime, rank: WaitingRank) -> f64 {
        let surplus = if rank.is_surplus { SURPLUS_RESERVE } else { 0.0 };
        surplus + f64::from(u8::from(self.is_less_urgent(now, rank)))
    }

    /// Whether requests of a higher priority came lately.
    fn is_less_urgent(&self, now: ClockTime, rank: WaitingRank) -> bool {
        let above = self.priorities.range(..(rank.team_priority, rank.route_priority));
        above.into_iter().any(|(_, at)| now.millis_since(*at) < PRIORITY_MILLIS)
    }

    /// Whether a request starts after its latest start even if room comes early.
    fn starts_late(
        &mut self,
        now: ClockTime,
        ticket: LineTicket,
        rank: WaitingRank,
        input: RoomInput,
    ) -> bool {
        let Some(rate) = self.own_rate(now, input) else { return false };
        let forecast = StartForecast::new(self.line.count_ahead(ticket) + 1, rate);
        now.plus(forecast.earliest) > rank.latest_start
    }

    /// Refuses a request of the line that found no server with room.
    pub fn refuse(&mut self, now: ClockTime, ticket: LineTicket, input: RoomInput) -> RoomRefusal {
        let is_surplus = self.line.rank(ticket).is_some_and(|rank| rank.is_surplus);
        self.describe_refusal(now, ticket, input, is_surplus)
    }

    /// Describes the refusal of a request that is still in the line.
    fn describe_refusal(
        &mut self,
        now: ClockTime,
        ticket: LineTicket,
        input: RoomInput,
        is_surplus: bool,
    ) -> RoomRefusal {
        let rank = self.line.rank(ticket);
        let is_less_urgent = rank.is_some_and(|rank| self.is_less_urgent(now, rank));
        let cause = match (is_surplus, is_less_urgent) {
            (true, _) if rank.is_some() => RoomCause::ShareUsed,
            (_, true) => RoomCause::KeptForUrgent,
            _ => RoomCause::InUse,
        };
        let seconds = now.since(self.refused).as_secs_f64();
        self.refusals = self.refusals * (-seconds / REFUSAL_SECONDS).exp() + 1.0;
        self.refused = now;
        let rate = self.own_rate(now, input).unwrap_or(self.refusals.max(1.0));
        let ahead = self.line.count_ahead(ticket);
        let expected = StartForecast::new(ahead + 1, rate).expected;
        let spread = StartForecast::new(self.refusals.ceil() as usize, rate).expected;
        RoomRefusal { cause, expected, spread }
    }

    /// Records that a request of the line is sent to a server.
    pub fn record_grant(
        &mut self,
        now: ClockTime,
        ticket: LineTicket,
        team: Option<TeamId>,
        input: RoomInput,
    ) {
        self.line.record_grant(now, ticket);
        self.credit.record_send(now, input);
        if let Some(team) = team {
            self.uses.record_request(now, team);
        }
    }

    /// Records that a request of the line waits no longer.
    pub fn leave(&mut self, now: ClockTime, ticket: LineTicket) {
        self.line.leave(now, ticket);
    }

    /// Records that no server had room.
    pub fn record_full(&mut self, now: ClockTime) {
        self.credit.record_full(now);
    }

    /// Records that a server answered a request or declined it.
    pub fn record_answer(&mut self, now: ClockTime, is_declined: bool) {
        self.credit.record_answer(now, is_declined);
    }

    /// The request that gets the next room.
    pub fn first(&self) -> Option<LineTicket> {
        self.line.first()
    }

    /// Recent requests of a team at all routers, as far as they are known, and how many are within its
    /// share.
    pub fn team_standing(&self, now: ClockTime, team: TeamId) -> (f64, f64) {
        let reported = self.reported.get(&team).copied().unwrap_or(0.0);
        (reported + self.demands.weight(now, team), self.share_level)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Forgets teams and priorities without recent requests.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.demands.remove_expired(now);
        self.uses.remove_expired(now);
        let demands = &self.demands;
        self.marker.retain(|team| demands.weight(now, team) > 0.0);
        self.priorities.retain(|_, at| now.millis_since(*at) < PRIORITY_MILLIS);
    }
}
