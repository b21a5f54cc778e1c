//! Stand-in for a model engine.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use catkin_base::value_type;

use crate::async_listener::{AsyncListener, ListenerCommand};
use crate::engine_handler::EngineHandler;
use crate::order_receiver::AcceptedOrder;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Names of the loaded models.
    pub models: Vec<String>,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are answered with 503 and are
    /// not run.
    pub queue_limit: usize,
    /// Time from the start of a run to its first token, in addition to the prefill.
    pub first_token_delay: Duration,
    /// Prefill time per uncached token of the prompt.
    pub prefill_per_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Maximum number of chats whose prefix is cached.
    pub max_cached_chats: usize,
    /// Minimum age of the cache events that probes report.
    pub event_lag: Duration,
    /// Fraction of cache events that are never published, from 0 to 1.
    pub event_gap_share: f64,
    /// Age of the load that probes report.
    pub load_lag: Duration,
    /// Delay before the answer to a probe.
    pub probe_latency: Duration,
    /// Content that crashes the engine; absent if none does.
    pub poison: Option<String>,
    /// Time for which the engine refuses connections after a crash.
    pub downtime: Duration,
    /// Whether the engine resumes streams.
    pub resumes: bool,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether the engine declines new requests while it is leaving.
    pub declines_when_leaving: bool,
    /// Fraction of answers without a stream that are lost after the run, from 0 to 1.
    pub lost_answer_share: f64,
    /// Seed of incarnations, event gaps and lost answers.
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
            checks_fencing: true,
            declines_when_leaving: false,
            lost_answer_share: 0.0,
            seed: 0,
        }
    }
}

value_type! {
    /// Counts of an engine over all its incarnations.
    #[derive(Default)]
    pub struct EngineCounts {
        /// Number of runs started.
        pub runs: u64,
        /// Number of runs that reached their last token.
        pub finished: u64,
        /// Number of runs that ended early because the caller disconnected, the stream was cut or
        /// the engine crashed.
        pub cancelled: u64,
        /// Number of requests that were declined with "not run".
        pub declined: u64,
        /// Number of resumed runs.
        pub resumed: u64,
        /// Number of runs by attempt id.
        pub runs_by_attempt: BTreeMap<String, u64>,
        /// Number of runs by content of the last message.
        pub runs_by_content: BTreeMap<String, u64>,
        /// Number of runs by request id, for requests that have one.
        pub runs_by_request: BTreeMap<String, u64>,
        /// Number of runs by chat id, for requests that have one.
        pub runs_by_chat: BTreeMap<u64, u64>,
        /// Number of requests that arrived while the engine was leaving.
        pub work_while_leaving: u64,
        /// Longest time from the start of leaving to the arrival of a request, in milliseconds.
        pub latest_work_after_leaving_millis: u64,
        /// Maximum number of requests that ran or waited at once.
        pub most_open: u32,
        /// Number of prompt tokens found in the cache.
        pub cached_tokens: u64,
        /// Number of prompt tokens not found in the cache.
        pub uncached_tokens: u64,
        /// Number of tokens generated.
        pub generated_tokens: u64,
        /// Number of answers lost after the run.
        pub lost_answers: u64,
        /// Number of crashes.
        pub crashes: u64,
        /// Number of crashes caused by the content `poison` of the options.
        pub poison_crashes: u64,
        /// Number of probes answered.
        pub probes: u64,
        /// Number of orders accepted after an order with a higher fencing token.
        pub undone_orders: u64,
        /// Number of orders refused because of their fencing token.
        pub refused_orders: u64,
    }
}

impl EngineCounts {
    /// Returns the number of attempt ids that ran more than once.
    pub fn count_repeated_attempts(&self) -> usize {
        self.runs_by_attempt.values().filter(|runs| **runs > 1).count()
    }
}

/// A running engine; dropping it stops it.
pub struct EngineStandin {
    listener: AsyncListener<EngineHandler>,
    downtime: Duration,
}

impl EngineStandin {
    /// Starts an engine.
    pub fn start(options: EngineOptions) -> io::Result<Self> {
        let downtime = options.downtime;
        let address = options.address;
        let listener =
            AsyncListener::start(address, |commands| EngineHandler::new(options, commands))?;
        Ok(Self { listener, downtime })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Simulates a crash: closes every connection, refuses new ones for the downtime of the options
    /// and then starts a new incarnation with an empty cache.
    pub fn crash(&self) {
        self.crash_for(self.downtime);
    }

    /// Simulates a crash with this downtime.
    pub fn crash_for(&self, downtime: Duration) {
        self.listener.send_command(ListenerCommand::Crash(downtime));
    }

    /// Starts or stops leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.listener.handler().set_leaving(leaving);
    }

    /// Loses the answers of the next `count` runs that are not streamed.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().lose_next_answers(count);
    }

    /// Drops the answers to the next `count` orders, which still take effect.
    pub fn lose_next_order_answers(&self, count: u32) {
        self.listener.handler().lose_next_order_answers(count);
    }

    /// Cuts the next `count` streams after `tokens` tokens.
    pub fn cut_next_streams(&self, count: u32, tokens: u32) {
        self.listener.handler().cut_next_streams(count, tokens);
    }

    /// Returns the number of requests that run or wait now.
    pub fn open(&self) -> u32 {
        self.listener.handler().open()
    }

    /// Returns the incarnation; each crash draws a new one.
    pub fn incarnation(&self) -> u64 {
        self.listener.handler().incarnation()
    }

    /// Returns the accepted orders, in the order in which they took effect.
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        self.listener.handler().accepted_orders()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> EngineCounts {
        self.listener.handler().counts()
    }

    /// Stops the engine and joins its thread.
    pub fn stop(self) {}
}
