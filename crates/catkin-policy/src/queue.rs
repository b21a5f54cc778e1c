//! Queue of one server: classes by priority, teams within a class by deficit round robin.

use std::collections::{BTreeMap, VecDeque};

use catkin_base::{ClassId, ClockTime, RequestId, TeamId};

use crate::grant::GrantAsk;
use crate::rules::{ClassPolicy, PolicyRules};

/// Service time added to a team's deficit counter at its turn, per unit of weight, in microseconds.
const QUANTUM_MICROS: u64 = 5_000_000;
/// Percentage of its time limit after which a queued request is served before all younger ones,
/// whatever their priority.
const AGED_PERCENT: u64 = 40;

/// A queued request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueuedAsk {
    pub(crate) ask: GrantAsk,
    pub(crate) policy: ClassPolicy,
    pub(crate) queued_at: ClockTime,
    pub(crate) deadline: ClockTime,
    /// Time after which the request leaves the queue to try another server; `None` to stay.
    pub(crate) queue_deadline: Option<ClockTime>,
    pub(crate) expected_micros: u64,
    pub(crate) warm: bool,
}

impl QueuedAsk {
    /// Returns the latest start at which the request can still meet its deadline.
    pub(crate) fn latest_start(&self) -> ClockTime {
        ClockTime(self.deadline.0.saturating_sub(self.expected_micros))
    }

    /// Returns when the request must be rechecked although nothing has changed.
    pub(crate) fn due_at(&self) -> ClockTime {
        let latest = self.latest_start();
        self.queue_deadline.map_or(latest, |queue_deadline| queue_deadline.min(latest))
    }

    /// Whether the request has waited long enough to be served before younger ones.
    fn is_aged(&self, now: ClockTime) -> bool {
        let allowed = self.deadline.millis_since(self.queued_at);
        now.millis_since(self.queued_at) * 100 >= allowed * AGED_PERCENT
    }
}

/// Queued requests of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    classes: BTreeMap<ClassKey, ClassQueue>,
    len: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey {
    long: bool,
    priority: u32,
    class: ClassId,
}

#[derive(Debug, Clone, Default)]
struct ClassQueue {
    team_order: VecDeque<TeamId>,
    teams: BTreeMap<TeamId, TeamQueue>,
}

#[derive(Debug, Clone, Default)]
struct TeamQueue {
    deficit_micros: u64,
    asks: VecDeque<QueuedAsk>,
}

impl ClassKey {
    fn new(queued: &QueuedAsk) -> Self {
        Self {
            long: !queued.policy.quick,
            priority: queued.policy.priority,
            class: queued.ask.class,
        }
    }
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request, ordered by deadline within its class and team.
    pub(crate) fn push(&mut self, queued: QueuedAsk) {
        let class = self.classes.entry(ClassKey::new(&queued)).or_default();
        class.push(queued);
        self.len += 1;
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<QueuedAsk> {
        self.remove_first(|queued| queued.ask.request == request)
    }

    pub(crate) fn find(&self, request: RequestId) -> Option<&QueuedAsk> {
        self.iter().find(|queued| queued.ask.request == request)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedAsk> {
        self.classes.values().flat_map(|class| class.teams.values()).flat_map(|team| &team.asks)
    }

    /// Removes and returns every request for which `matches` is true.
    pub(crate) fn remove_all(&mut self, matches: impl Fn(&QueuedAsk) -> bool) -> Vec<QueuedAsk> {
        let mut taken = Vec::new();
        while let Some(queued) = self.remove_first(&matches) {
            taken.push(queued);
        }
        taken
    }

    /// Removes and returns the request to serve next; one of a long class only if `allow_long`.
    pub(crate) fn pop(
        &mut self,
        now: ClockTime,
        allow_long: bool,
        rules: &PolicyRules,
    ) -> Option<QueuedAsk> {
        if let Some(request) = self.find_aged(now, allow_long) {
            return self.remove(request);
        }
        let mut classes = self.classes.iter_mut();
        let (_, class) =
            classes.find(|(key, class)| (allow_long || !key.long) && !class.is_empty())?;
        let queued = class.pop(rules)?;
        self.len -= 1;
        self.drop_empty();
        Some(queued)
    }

    /// Returns the number of requests in classes that are served before or together with that of
    /// `queued`.
    pub(crate) fn count_ahead(&self, queued: &QueuedAsk) -> usize {
        let key = ClassKey::new(queued);
        let classes = self.classes.iter().filter(|(other, _)| **other <= key);
        classes.map(|(_, class)| class.len()).sum()
    }

    fn find_aged(&self, now: ClockTime, allow_long: bool) -> Option<RequestId> {
        let heads = self.classes.iter().filter(|(key, _)| allow_long || !key.long);
        let heads = heads.flat_map(|(_, class)| class.teams.values());
        let heads = heads.filter_map(|team| team.asks.front());
        let aged = heads.filter(|queued| queued.is_aged(now));
        aged.min_by_key(|queued| (queued.deadline, queued.ask.request))
            .map(|queued| queued.ask.request)
    }

    fn remove_first(&mut self, matches: impl Fn(&QueuedAsk) -> bool) -> Option<QueuedAsk> {
        let mut teams = self.classes.values_mut().flat_map(|class| class.teams.values_mut());
        let queued = teams.find_map(|team| {
            let index = team.asks.iter().position(&matches)?;
            team.asks.remove(index)
        })?;
        self.len -= 1;
        self.drop_empty();
        Some(queued)
    }

    fn drop_empty(&mut self) {
        for class in self.classes.values_mut() {
            class.drop_empty();
        }
        self.classes.retain(|_, class| !class.is_empty());
    }
}

impl ClassQueue {
    fn is_empty(&self) -> bool {
        self.teams.values().all(|team| team.asks.is_empty())
    }

    fn len(&self) -> usize {
        self.teams.values().map(|team| team.asks.len()).sum()
    }

    fn push(&mut self, queued: QueuedAsk) {
        let team_id = queued.ask.team;
        if !self.teams.contains_key(&team_id) {
            self.team_order.push_back(team_id);
        }
        let team = self.teams.entry(team_id).or_default();
        let index = team.asks.partition_point(|other| other.deadline <= queued.deadline);
        team.asks.insert(index, queued);
    }

    fn pop(&mut self, rules: &PolicyRules) -> Option<QueuedAsk> {
        if self.is_empty() {
            return None;
        }
        loop {
            let team_id = *self.team_order.front()?;
            let team = self.teams.get_mut(&team_id)?;
            let cost = team.asks.front().map(|queued| queued.expected_micros);
            if let Some(cost) = cost.filter(|cost| *cost <= team.deficit_micros) {
                team.deficit_micros -= cost;
                return team.asks.pop_front();
            }
            let weight = u64::from(rules.team(team_id).weight.max(1));
            team.deficit_micros += QUANTUM_MICROS * weight;
            self.team_order.rotate_left(1);
        }
    }

    fn drop_empty(&mut self) {
        self.teams.retain(|_, team| !team.asks.is_empty());
        let teams = &self.teams;
        self.team_order.retain(|team| teams.contains_key(team));
    }
}
