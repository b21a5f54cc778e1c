//! Stand-in of a model engine.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use catkin_base::value_type;

use crate::async_listener::{AsyncListener, ListenerCommand};
use crate::engine_handler::EngineHandler;
use crate::order_desk::AcceptedOrder;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Models that it has loaded.
    pub models: Vec<String>,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot; more are answered 503 and are not run.
    pub queue_limit: usize,
    /// Time from the start of a run to its first token, beside the prefill.
    pub first_token_delay: Duration,
    /// Prefill time of each uncached token of the prompt.
    pub prefill_per_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Chats whose prefix it keeps.
    pub max_cached_chats: usize,
    /// Age that a cache event reaches before probes show it.
    pub event_lag: Duration,
    /// Share of cache events that are never published, from 0 to 1.
    pub event_gap_share: f64,
    /// Age of the load that probes report.
    pub load_lag: Duration,
    /// Time before the answer to a probe.
    pub probe_latency: Duration,
    /// Content that crashes the engine.
    pub poison: Option<String>,
    /// How long it refuses connections after a crash.
    pub downtime: Duration,
    /// Whether it resumes streams.
    pub resumes: bool,
    /// Whether it refuses orders under an old fencing number.
    pub checks_fence: bool,
    /// Whether it declines new work while it leaves.
    pub declines_when_leaving: bool,
    /// Share of whole answers that are dropped after the run, from 0 to 1.
    pub lost_answer_share: f64,
    /// Seed of event gaps and lost answers.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec!["estimator".to_owned()],
            slots: 16,
            queue_limit: 64,
            first_token_delay: Duration::from_millis(5),
            prefill_per_token: Duration::ZERO,
            token_interval: Duration::from_millis(5),
            max_cached_chats: 1024,
            event_lag: Duration::ZERO,
            event_gap_share: 0.0,
            load_lag: Duration::ZERO,
            probe_latency: Duration::ZERO,
            poison: None,
            downtime: Duration::from_millis(200),
            resumes: true,
            checks_fence: true,
            declines_when_leaving: false,
            lost_answer_share: 0.0,
            seed: 0,
        }
    }
}

value_type! {
    /// What an engine counted, over all its incarnations.
    #[derive(Default)]
    pub struct EngineCounts {
        /// Runs started.
        pub runs: u64,
        /// Runs that reached their last token.
        pub finished: u64,
        /// Runs that ended early because the caller went away or the engine crashed.
        pub cancelled: u64,
        /// Requests answered "not run".
        pub declined: u64,
        /// Streams resumed.
        pub resumed: u64,
        /// Runs for each attempt id.
        pub runs_by_attempt: BTreeMap<String, u64>,
        /// Runs for each content of the last message.
        pub runs_by_content: BTreeMap<String, u64>,
        /// Runs for each request id, where one was sent.
        pub runs_by_request: BTreeMap<String, u64>,
        /// Runs of each chat.
        pub runs_by_chat: BTreeMap<u64, u64>,
        /// Requests that arrived while it was leaving.
        pub work_while_leaving: u64,
        /// Longest time from its leaving to the arrival of a request, in milliseconds.
        pub latest_work_after_leaving_millis: u64,
        /// Most requests running or waiting at once.
        pub most_open: u32,
        /// Tokens of prompts found in the cache.
        pub cached_tokens: u64,
        /// Tokens of prompts not found in the cache.
        pub uncached_tokens: u64,
        /// Tokens generated.
        pub generated_tokens: u64,
        /// Answers dropped after the run.
        pub lost_answers: u64,
        /// Crashes.
        pub crashes: u64,
        /// Crashes caused by the poison.
        pub poison_crashes: u64,
        /// Probes answered.
        pub probes: u64,
        /// Orders taken although a newer one had been taken before.
        pub undone_orders: u64,
        /// Orders refused because of their number.
        pub refused_orders: u64,
    }
}

impl EngineCounts {
    /// Attempts that ran more than once.
    pub fn count_repeated_attempts(&self) -> usize {
        self.runs_by_attempt.values().filter(|runs| **runs > 1).count()
    }
}

/// A running engine.
pub struct EngineStandin {
    listener: AsyncListener<EngineHandler>,
    downtime: Duration,
}

impl EngineStandin {
    /// Starts it.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let downtime = options.downtime;
        let address = options.address;
        let listener =
            AsyncListener::start(address, |commands| EngineHandler::new(options, commands))?;
        Ok(Self { listener, downtime })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Drops every connection, refuses new ones for the downtime and starts anew without cache.
    pub fn crash(&self) {
        self.crash_for(self.downtime);
    }

    /// Crashes and refuses connections for this long.
    pub fn crash_for(&self, downtime: Duration) {
        self.listener.command(ListenerCommand::Crash(downtime));
    }

    /// Starts or stops leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.listener.handler().set_leaving(leaving);
    }

    /// Drops the answers of the next `count` runs that are answered whole.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().lose_next_answers(count);
    }

    /// Takes the next `count` orders and drops the answers.
    pub fn lose_next_order_answers(&self, count: u32) {
        self.listener.handler().lose_next_order_answers(count);
    }

    /// Cuts the next `count` streams after `tokens` tokens.
    pub fn cut_next_streams(&self, count: u32, tokens: u32) {
        self.listener.handler().cut_next_streams(count, tokens);
    }

    /// Requests running or waiting now.
    pub fn open(&self) -> u32 {
        self.listener.handler().open()
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.listener.handler().incarnation()
    }

    /// Orders that it took, in the order in which they took effect.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.listener.handler().accepted_orders()
    }

    /// What it counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.listener.handler().counts()
    }

    /// Stops it and joins its thread.
    pub fn stop(self) {}
}
