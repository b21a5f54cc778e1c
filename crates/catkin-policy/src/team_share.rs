//! Tells which requests of a team are beyond its share of a service's room.
//!
//! Answers the load of one team that sends many times its usual: without shares, all other teams of the
//! service lose as large a part of their requests as it does.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, TeamId, hash_parts};

/// Time constant with which requests lose their weight, in seconds.
pub const TEAM_SECONDS: f64 = 2.0;
/// Weight below which a team is forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// Maximum number of teams that are counted for a service. Others count as within their share.
const MAX_TEAMS: usize = 2_048;
/// Multiple of the share's level up to which a team's demand counts as within it: counts vary by chance.
const TOLERANCE: f64 = 1.5;
/// Maximum number of teams of a service in a report.
pub const MAX_REPORTED_TEAMS: usize = 8;

/// Recent requests by team, each weighted by its age.
#[derive(Debug, Clone, Default)]
pub struct TeamCounter {
    teams: BTreeMap<TeamId, (f64, ClockTime)>,
}

impl TeamCounter {
    /// Counts a request of a team.
    pub fn record_request(&mut self, now: ClockTime, team: TeamId) {
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            self.remove_expired(now);
            if self.teams.len() >= MAX_TEAMS {
                return;
            }
        }
        let weight = self.weight(now, team) + 1.0;
        self.teams.insert(team, (weight, now));
    }

    /// The recent requests of a team.
    pub fn weight(&self, now: ClockTime, team: TeamId) -> f64 {
        self.teams.get(&team).map_or(0.0, |entry| decay(now, *entry))
    }

    /// The teams with most recent requests, at most [`MAX_REPORTED_TEAMS`].
    pub fn largest(&self, now: ClockTime) -> Vec<(TeamId, f64)> {
        keep_largest(self.teams.iter().map(|(team, entry)| (*team, decay(now, *entry))).collect())
    }

    /// Number of teams that are counted.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team is counted.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Forgets teams without recent requests.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.teams.retain(|_, entry| decay(now, *entry) >= MIN_WEIGHT);
    }
}

/// Keeps the teams with most requests, at most [`MAX_REPORTED_TEAMS`], the largest first.
pub fn keep_largest(mut teams: Vec<(TeamId, f64)>) -> Vec<(TeamId, f64)> {
    teams.sort_by(|one, other| other.1.total_cmp(&one.1).then(one.0.cmp(&other.0)));
    teams.truncate(MAX_REPORTED_TEAMS);
    teams
}

/// Computes the level up to which demand is within a team's share, so that what is within adds up to
/// `room`. `known` are the demands of the teams that are known, `total` is that of all teams. The level is
/// at least the least known demand: unknown teams may have as much.
pub fn compute_share_level(room: f64, total: f64, known: &[f64]) -> f64 {
    if total <= room || known.is_empty() {
        return f64::INFINITY;
    }
    let mut demands = known.to_vec();
    demands.sort_by(f64::total_cmp);
    let unknown = (total - demands.iter().sum::<f64>()).max(0.0);
    let mut rest = (room - unknown).max(0.0);
    let mut level = f64::INFINITY;
    for (index, demand) in demands.iter().enumerate() {
        let equal = rest / (demands.len() - index) as f64;
        if *demand >= equal {
            level = equal;
            break;
        }
        rest -= demand;
    }
    level.max(demands[0])
}

/// Marks requests beyond their teams' shares, evenly among the requests of a team.
#[derive(Debug, Clone)]
pub struct SurplusMarker {
    seed: u64,
    /// Parts of requests within the share that were not used yet, by team with surplus.
    parts: BTreeMap<TeamId, f64>,
}

impl SurplusMarker {
    /// Creates a marker for the router with this number. The numbers spread the marks of the routers.
    pub fn new(seed: u64) -> Self {
        Self { seed, parts: BTreeMap::new() }
    }

    /// Whether the next request of a team is beyond its share, if its demand has this ratio to the share's
    /// level.
    pub fn is_surplus(&mut self, team: TeamId, demand: f64, level: f64) -> bool {
        if demand <= level * TOLERANCE {
            self.parts.remove(&team);
            return false;
        }
        if self.parts.len() >= MAX_TEAMS && !self.parts.contains_key(&team) {
            return false;
        }
        let first = hash_parts(&[&self.seed.to_le_bytes(), &team.0.to_le_bytes()]) >> 32;
        let part = self.parts.entry(team).or_insert(first as f64 / f64::from(u32::MAX));
        *part += level / demand;
        let is_within = *part >= 1.0;
        if is_within {
            *part -= 1.0;
        }
        !is_within
    }

    /// Forgets teams that `keeps` is false for.
    pub fn retain(&mut self, keeps: impl Fn(TeamId) -> bool) {
        self.parts.retain(|team, _| keeps(*team));
    }
}

fn decay(now: ClockTime, (weight, at): (f64, ClockTime)) -> f64 {
    weight * (-now.since(at).as_secs_f64() / TEAM_SECONDS).exp()
}
