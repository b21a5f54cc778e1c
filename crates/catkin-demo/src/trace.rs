//! Plans the calls of one run: turns of chats, with short and long answers, and records.

use std::time::Duration;

use catkin_base::value_type;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::deployment::DeploymentShape;
use crate::fleet::POISON;

/// Mean calls per second outside the surge.
const CALLS_PER_SECOND: f64 = 20.0;
/// Weight of the surging team's additional calls during the surge, relative to the number of teams.
const SURGE_WEIGHT: f64 = 6.0;
/// Fraction of calls that the first two teams send.
const LARGE_TEAM_FRACTION: f64 = 0.5;
/// Fraction of calls that create a record.
const RECORD_FRACTION: f64 = 0.08;
/// Fraction of chat calls with a long answer.
const LONG_FRACTION: f64 = 0.2;
/// Fraction of chat calls that continue an open chat, if there is one.
const RETURN_FRACTION: f64 = 0.75;
/// Maximum number of turns of a chat.
const MAX_TURNS: u32 = 8;
/// Number of tokens of a short answer.
const QUICK_TOKENS: u32 = 60;
/// Number of tokens of a long answer.
const LONG_TOKENS: u32 = 300;
/// Number of words that each turn adds to a chat's prompt.
const WORDS_PER_TURN: usize = 400;

value_type! {
    /// One call of the trace.
    pub(crate) struct PlannedCall {
        /// Time at which the call is sent, since the start of the run.
        pub(crate) at: Duration,
        pub(crate) team: &'static str,
        pub(crate) work: PlannedWork,
    }

    /// Work that a call requests.
    pub(crate) enum PlannedWork {
        /// A turn of a chat.
        Turn {
            chat: String,
            turn: u32,
            long: bool,
            /// Number of tokens requested.
            tokens: u32,
            /// Whether its content crashes engines.
            poison: bool,
        },
        /// A record that must be created exactly once.
        Record { key: String },
    }
}

impl PlannedWork {
    /// Returns the number of tokens requested.
    pub(crate) fn tokens(&self) -> u32 {
        match self {
            Self::Turn { tokens, .. } => *tokens,
            Self::Record { .. } => 0,
        }
    }
}

/// Builds the contents of a chat's messages up to a turn, oldest first.
pub(crate) fn build_chat_contents(chat: &str, turn: u32, poison: bool) -> Vec<String> {
    let mut contents: Vec<String> = (0..=turn).map(|turn| build_turn_content(chat, turn)).collect();
    if poison && let Some(last) = contents.last_mut() {
        last.push_str(POISON);
    }
    contents
}

fn build_turn_content(chat: &str, turn: u32) -> String {
    let mut content = format!("{chat} turn {turn}:");
    for word in 0..WORDS_PER_TURN {
        content.push_str(&format!(" line{word}"));
    }
    content
}

/// Plans the calls of a run of this length, ordered by time.
pub(crate) fn plan_calls(shape: &DeploymentShape, length: Duration, seed: u64) -> Vec<PlannedCall> {
    let mut planner = TracePlanner {
        random: StdRng::seed_from_u64(seed),
        teams: shape.teams.clone(),
        open_chats: Vec::new(),
        next_chat: 0,
        next_key: 0,
    };
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let surging = is_surge(at, length);
        let rate = if surging { CALLS_PER_SECOND * 2.0 } else { CALLS_PER_SECOND };
        at += Duration::from_secs_f64(planner.draw_gap(rate));
        calls.push(planner.plan_call(at, surging));
    }
    calls.push(plan_poison_call(shape, length / 2));
    calls.sort_by_key(|call| call.at);
    calls
}

/// Returns whether `at` is in the surge of one team, which lasts the third fifth of the run.
fn is_surge(at: Duration, length: Duration) -> bool {
    at >= length * 2 / 5 && at < length * 3 / 5
}

fn plan_poison_call(shape: &DeploymentShape, at: Duration) -> PlannedCall {
    let work = PlannedWork::Turn {
        chat: "crashing".to_owned(),
        turn: 0,
        long: false,
        tokens: QUICK_TOKENS,
        poison: true,
    };
    PlannedCall { at, team: shape.teams[0], work }
}

struct TracePlanner {
    random: StdRng,
    teams: Vec<&'static str>,
    open_chats: Vec<OpenChat>,
    next_chat: u64,
    next_key: u64,
}

struct OpenChat {
    name: String,
    team: &'static str,
    turns: u32,
    free_at: Duration,
}

impl TracePlanner {
    fn draw_gap(&mut self, rate: f64) -> f64 {
        let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
        -unit.ln() / rate
    }

    fn plan_call(&mut self, at: Duration, surging: bool) -> PlannedCall {
        if self.random.random_bool(RECORD_FRACTION) {
            self.next_key += 1;
            let key = format!("record-{}", self.next_key);
            return PlannedCall {
                at,
                team: self.draw_team(false),
                work: PlannedWork::Record { key },
            };
        }
        let chat = self.draw_chat(at, surging);
        let long = self.random.random_bool(LONG_FRACTION);
        let chat = &mut self.open_chats[chat];
        let turn = chat.turns;
        chat.turns += 1;
        chat.free_at = at + Duration::from_secs(if long { 5 } else { 2 });
        let tokens = if long { LONG_TOKENS } else { QUICK_TOKENS };
        let work = PlannedWork::Turn { chat: chat.name.clone(), turn, long, tokens, poison: false };
        PlannedCall { at, team: chat.team, work }
    }

    fn draw_chat(&mut self, at: Duration, surging: bool) -> usize {
        let team = self.draw_team(surging);
        let free =
            |chat: &OpenChat| chat.team == team && chat.turns < MAX_TURNS && chat.free_at <= at;
        let free: Vec<usize> =
            (0..self.open_chats.len()).filter(|index| free(&self.open_chats[*index])).collect();
        if !free.is_empty() && self.random.random_bool(RETURN_FRACTION) {
            return free[self.random.random_range(0..free.len())];
        }
        self.next_chat += 1;
        let name = format!("{team}-{}", self.next_chat);
        self.open_chats.push(OpenChat { name, team, turns: 0, free_at: at });
        self.open_chats.len() - 1
    }

    fn draw_team(&mut self, surging: bool) -> &'static str {
        let surge_fraction = SURGE_WEIGHT / (SURGE_WEIGHT + self.teams.len() as f64);
        if surging && self.random.random_bool(surge_fraction) {
            return self.teams[0];
        }
        let large = self.random.random_bool(LARGE_TEAM_FRACTION);
        let index = if large { 0..2 } else { 2..self.teams.len() };
        self.teams[self.random.random_range(index)]
    }
}
