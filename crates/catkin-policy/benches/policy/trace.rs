//! Generator of synthetic requests, whose chats return with further turns.

use catkin_base::{ChatId, ClassId, ClockTime, PoolId, RequestId, TeamId};
use rand::Rng;
use rand::rngs::SmallRng;

use super::deployment::{Deployment, LONG_CLASS, QUICK_CLASS};

/// Fraction of requests that are of the quick class.
const QUICK_FRACTION: f64 = 0.6;
/// Mean number of tokens that a quick and a long request generate.
const QUICK_TOKENS: f64 = 100.0;
const LONG_TOKENS: f64 = 660.0;
/// Time to generate one token.
const TOKEN_MICROS: f64 = 25_000.0;
/// Time within which a request must start.
const QUICK_DEADLINE_MILLIS: u32 = 20_000;
const LONG_DEADLINE_MILLIS: u32 = 180_000;
/// Exponents of the power laws of popularity: the chat or team of rank `k` has weight `k^-skew`.
const CHAT_SKEW: f64 = 0.7;
const TEAM_SKEW: f64 = 1.0;
/// Number of teams that send more during a surge, and the fraction of requests that they send then.
const SURGE_TEAMS: usize = 3;
const SURGE_FRACTION: f64 = 0.6;

/// A generated request.
#[derive(Debug, Clone, Copy)]
pub struct TraceRequest {
    pub request: RequestId,
    pub chat: ChatId,
    pub team: TeamId,
    pub class: ClassId,
    pub pool: PoolId,
    pub prompt_tokens: u32,
    pub generate_micros: u64,
    pub deadline_millis: u32,
    /// Whether the chat had a request before.
    pub returning: bool,
}

/// Generates requests with random chats, classes, lengths and gaps.
#[derive(Debug)]
pub struct TraceGenerator {
    random: SmallRng,
    chats: Vec<ChatState>,
    /// Cumulative popularity of the chats.
    popularity: Vec<f64>,
    /// Indexes of the chats of each team that surges.
    surge_team_chats: Vec<Vec<u32>>,
    requests: u64,
    /// Requests per second.
    mean_rate: f64,
}

#[derive(Debug, Clone, Copy)]
struct ChatState {
    team: usize,
    pool: usize,
    turns: u32,
}

impl TraceGenerator {
    /// Draws the team and the pool of each chat.
    pub fn new(deployment: &Deployment, mut random: SmallRng) -> Self {
        let teams = accumulate((0..deployment.teams).map(|team| compute_weight(team, TEAM_SKEW)));
        let pools =
            accumulate((0..deployment.pools).map(|pool| count_pool_servers(deployment, pool)));
        let chats: Vec<ChatState> = (0..deployment.chats)
            .map(|_| ChatState {
                team: draw_index(&mut random, &teams),
                pool: draw_index(&mut random, &pools),
                turns: 0,
            })
            .collect();
        let mut surge_team_chats = vec![Vec::new(); SURGE_TEAMS];
        for (index, chat) in chats.iter().enumerate().filter(|(_, chat)| chat.team < SURGE_TEAMS) {
            surge_team_chats[chat.team].push(index as u32);
        }
        let popularity = accumulate((0..chats.len()).map(|chat| compute_weight(chat, CHAT_SKEW)));
        let mean_rate = deployment.requests_per_second;
        Self { random, chats, popularity, surge_team_chats, requests: 0, mean_rate }
    }

    /// Draws the time until the next request, in microseconds, at `factor` times the mean rate.
    pub fn next_gap(&mut self, factor: f64) -> u64 {
        draw_exponential(&mut self.random, 1_000_000.0 / (self.mean_rate * factor)) as u64
    }

    /// Generates the next request. During a surge, `SURGE_TEAMS` teams send most requests.
    pub fn next_request(&mut self, surge: bool) -> TraceRequest {
        let index = self.draw_chat(surge);
        let quick = self.random.random::<f64>() < QUICK_FRACTION;
        let mean_tokens = if quick { QUICK_TOKENS } else { LONG_TOKENS };
        let tokens = mean_tokens * (0.5 + draw_exponential(&mut self.random, 0.5));
        let chat = &mut self.chats[index];
        chat.turns += 1;
        self.requests += 1;
        TraceRequest {
            request: RequestId(self.requests),
            chat: ChatId(index as u64 + 1),
            team: TeamId(chat.team as u64 + 1),
            class: if quick { QUICK_CLASS } else { LONG_CLASS },
            pool: PoolId(chat.pool as u64),
            prompt_tokens: 500 + 250 * chat.turns.min(20),
            generate_micros: (tokens * TOKEN_MICROS) as u64,
            deadline_millis: if quick { QUICK_DEADLINE_MILLIS } else { LONG_DEADLINE_MILLIS },
            returning: chat.turns > 1,
        }
    }

    fn draw_chat(&mut self, surge: bool) -> usize {
        if surge && self.random.random::<f64>() < SURGE_FRACTION {
            let team = self.random.random_range(0..SURGE_TEAMS);
            let chats = &self.surge_team_chats[team];
            return chats[self.random.random_range(0..chats.len())] as usize;
        }
        draw_index(&mut self.random, &self.popularity)
    }
}

/// Time by which a request that arrived at `at` must start.
pub fn start_deadline(request: &TraceRequest, at: ClockTime) -> ClockTime {
    at.plus_millis(u64::from(request.deadline_millis))
}

/// Draws from the exponential distribution of the given mean.
pub fn draw_exponential(random: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

fn count_pool_servers(deployment: &Deployment, pool: usize) -> f64 {
    let pool = PoolId(pool as u64);
    deployment.servers.iter().filter(|spec| spec.pools.contains(&pool)).count() as f64
}

/// Weight of the chat or team of a rank that counts from zero.
fn compute_weight(rank: usize, skew: f64) -> f64 {
    ((rank + 1) as f64).powf(-skew)
}

/// Running totals of weights, for `draw_index`.
fn accumulate(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let totals = weights.scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    totals.collect()
}

/// Draws an index with a probability proportional to its weight.
fn draw_index(random: &mut SmallRng, cumulative: &[f64]) -> usize {
    let total = cumulative.last().copied().unwrap_or(0.0);
    let point = random.random::<f64>() * total;
    cumulative.partition_point(|sum| *sum <= point).min(cumulative.len() - 1)
}
