//! Learns in operation how fast servers answer.
//!
//! Answers the pattern of servers that are slow though they fail nothing: engines of another kind
//! than the rest of their service, servers that turn slow for a while, and deployments whose
//! engines are faster or slower than those of others. For each service it learns how the time to
//! the first event grows with the prompt tokens that a server has yet to prefill, and for each
//! server by which factor the pace of its answers is slower than that of its service. The time to
//! the first event says little about a server, since it depends on prompts that only other routers
//! know of yet. Lateness that the other servers of a service show at the same moment says nothing of
//! a server, either: it is that of the machine, the network or this process.

use std::collections::BTreeMap;

use catkin_base::{ClockTime, ServerId, copy_type};

/// Prompt tokens that an engine prefills in a millisecond, until the service is known.
const DEFAULT_TOKENS_PER_MILLI: f64 = 60.0;
/// Limits of the learned speed, as factors of the default.
const SPEED_FACTOR_RANGE: (f64, f64) = (0.125, 8.0);
/// Factor within which a learned speed counts as the default one.
const SAME_SPEED_FACTOR: f64 = 1.5;
/// Weight of the default speed: that of some answers with prompts of a few thousand tokens.
const DEFAULT_WEIGHT: f64 = 5e8;
/// Time of an answer without tokens to prefill, in milliseconds, until the service is known.
const DEFAULT_ANSWER_MILLIS: f64 = 30.0;
/// Weight of that time, in answers.
const DEFAULT_ANSWERS: f64 = 2.0;
/// Minimum time of an answer that servers are compared by, in milliseconds.
const MIN_ANSWER_MILLIS: f64 = 4.0;
/// Age up to which the latest answers of other servers are of the same moment, in milliseconds.
const MOMENT_MILLIS: u64 = 200;
/// Factor above the usual pace of the service from which on an answer counts as late.
const LATE_FACTOR: f64 = 1.5;
/// Half-life of the weight of an answer for its service, in milliseconds.
const SERVICE_HALF_LIFE_MILLIS: f64 = 10_000.0;
/// Half-life of the weight of an answer for its server, in milliseconds.
const SERVER_HALF_LIFE_MILLIS: f64 = 3_000.0;
/// Factor by which each answer of a server reduces the weight of its earlier ones. A server with many
/// answers is noticed sooner.
const EARLIER_ANSWERS_FACTOR: f64 = 0.7;
/// Weight of answers from which on a server's own factor is used in full.
const FULL_WEIGHT: f64 = 2.0;
/// Weight of answers below which a server is forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// Maximum ratio that one answer counts with, so that a single late one does not decide.
const MAX_RATIO: f64 = 8.0;
/// Factor from which on a server counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Maximum factor that a server is charged with.
const MAX_FACTOR: f64 = 8.0;
/// Time for which the factor that another router reported counts, in milliseconds.
pub(crate) const PEER_FACTOR_MILLIS: u64 = 1_500;

copy_type! {
    /// An answer that started, as input to the book.
    pub struct StartedSample {
        /// Prompt tokens that the server had yet to prefill, those of the request included.
        pub tokens: u64,
        /// Time from sending the request to the first event or byte of the answer, in milliseconds.
        pub millis: u64,
    }
}

/// Least-squares fit of the answer time over the tokens, with weights that decay.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceFit {
    updated: ClockTime,
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl ServiceFit {
    fn decay(&mut self, now: ClockTime) {
        let factor = decay_factor(now, self.updated, SERVICE_HALF_LIFE_MILLIS);
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.millis,
            &mut self.tokens_squared,
            &mut self.tokens_millis,
        ] {
            *sum *= factor;
        }
        self.updated = now;
    }

    /// Time that an engine takes to prefill a token, in milliseconds.
    fn token_millis(&self) -> f64 {
        let default = 1.0 / DEFAULT_TOKENS_PER_MILLI;
        let weight = self.weight.max(1e-9);
        let variation = self.tokens_squared - self.tokens * self.tokens / weight;
        let covariation = self.tokens_millis - self.tokens * self.millis / weight;
        let fitted =
            (covariation + DEFAULT_WEIGHT * default) / (variation.max(0.0) + DEFAULT_WEIGHT);
        let (least, greatest) = SPEED_FACTOR_RANGE;
        let factor = (fitted / default).clamp(1.0 / greatest, 1.0 / least);
        // The fit of an ordinary service varies from moment to moment by less than this.
        let ordinary = 1.0 / SAME_SPEED_FACTOR..=SAME_SPEED_FACTOR;
        if ordinary.contains(&factor) { default } else { default * factor }
    }

    /// Time of an answer without tokens to prefill, in milliseconds.
    fn base_millis(&self) -> f64 {
        let rest = (self.millis - self.token_millis() * self.tokens).max(0.0);
        let default = DEFAULT_ANSWER_MILLIS * DEFAULT_ANSWERS;
        ((rest + default) / (self.weight + DEFAULT_ANSWERS)).max(MIN_ANSWER_MILLIS)
    }

    fn expected_millis(&self, tokens: u64) -> f64 {
        self.base_millis() + self.token_millis() * tokens as f64
    }
}

/// Mean pace of the answers of a service.
#[derive(Debug, Clone, Default)]
struct ServicePace {
    updated: ClockTime,
    weight: f64,
    /// Sum of the logarithms of the measured times. Their mean is less affected by single late
    /// answers than that of the times.
    log_millis: f64,
    /// When each server last answered, and the logarithm of its time.
    latest: BTreeMap<ServerId, (ClockTime, f64)>,
}

impl ServicePace {
    fn decay(&mut self, now: ClockTime) {
        let factor = decay_factor(now, self.updated, SERVICE_HALF_LIFE_MILLIS);
        self.weight *= factor;
        self.log_millis *= factor;
        self.updated = now;
    }

    /// Records an answer. Returns the logarithm of its ratio to the mean, less the lateness that the other
    /// servers show at this moment.
    fn record(&mut self, now: ClockTime, server: ServerId, log_millis: f64) -> f64 {
        self.decay(now);
        self.weight += 1.0;
        self.log_millis += log_millis;
        let mean = self.log_millis / self.weight;
        let others = self.latest.iter().filter(|(other, (answered, _))| {
            **other != server && now.millis_since(*answered) <= MOMENT_MILLIS
        });
        let lateness = find_median(others.map(|(_, (_, log_millis))| log_millis - mean));
        let shared = lateness.filter(|lateness| *lateness >= LATE_FACTOR.ln()).unwrap_or(0.0);
        self.latest.insert(server, (now, log_millis));
        let own = log_millis - mean;
        if own > 0.0 { (own - shared).max(0.0) } else { own }
    }
}

/// Pace of the answers of one server, relative to that of its service.
#[derive(Debug, Clone, Copy, Default)]
struct ServerPace {
    updated: ClockTime,
    weight: f64,
    /// Sum of the logarithms of the ratios to the mean of the service.
    log_ratios: f64,
    /// Factor that other routers reported, and until when it counts.
    peer_factor: f64,
    peer_until: ClockTime,
}

impl ServerPace {
    fn decay(&mut self, now: ClockTime) {
        let factor = decay_factor(now, self.updated, SERVER_HALF_LIFE_MILLIS);
        self.weight *= factor;
        self.log_ratios *= factor;
        self.updated = now;
    }

    /// Factor by which the server takes longer than its service, as this router measured it. With
    /// few recent answers it tends to 1, so that the server is tried again.
    fn local_factor(&self, now: ClockTime) -> f64 {
        let mut pace = *self;
        pace.decay(now);
        if pace.weight <= 0.0 {
            return 1.0;
        }
        let factor = (pace.log_ratios / pace.weight).exp().clamp(1.0, MAX_FACTOR);
        let certainty = (pace.weight / FULL_WEIGHT).min(1.0);
        let factor = 1.0 + (factor - 1.0) * certainty;
        if factor < SLOW_FACTOR { 1.0 } else { factor }
    }
}

/// What is known of the speed of services and servers.
#[derive(Debug, Clone, Default)]
pub struct SpeedBook {
    services: BTreeMap<String, ServiceFit>,
    paces: BTreeMap<String, ServicePace>,
    servers: BTreeMap<ServerId, ServerPace>,
}

impl SpeedBook {
    /// Records that a server of `service` started an answer.
    pub fn record_start(&mut self, now: ClockTime, service: &str, sample: StartedSample) {
        let fit = entry_of(&mut self.services, service);
        fit.decay(now);
        let tokens = sample.tokens as f64;
        // A very late answer would distort the fit.
        let latest = fit.expected_millis(sample.tokens) * MAX_RATIO;
        let millis = (sample.millis as f64).clamp(MIN_ANSWER_MILLIS, latest);
        fit.weight += 1.0;
        fit.tokens += tokens;
        fit.millis += millis;
        fit.tokens_squared += tokens * tokens;
        fit.tokens_millis += tokens * millis;
    }

    /// Records the pace of an answer of `server`: the time between two events of a stream, or
    /// the time of a whole answer of a service without streams, in milliseconds.
    pub fn record_pace(&mut self, now: ClockTime, service: &str, server: ServerId, millis: f64) {
        let log_millis = millis.max(MIN_ANSWER_MILLIS).ln();
        let log_ratio = entry_of(&mut self.paces, service).record(now, server, log_millis);
        let most = MAX_RATIO.ln();
        let pace = self.servers.entry(server).or_default();
        pace.decay(now);
        pace.weight = pace.weight * EARLIER_ANSWERS_FACTOR + 1.0;
        pace.log_ratios = pace.log_ratios * EARLIER_ANSWERS_FACTOR + log_ratio.clamp(-most, most);
    }

    /// Records the factor of a slow server that another router measured.
    pub fn record_peer_factor(&mut self, now: ClockTime, server: ServerId, factor: f64) {
        let pace = self.servers.entry(server).or_default();
        pace.peer_factor = factor.clamp(1.0, MAX_FACTOR);
        pace.peer_until = now.plus_millis(PEER_FACTOR_MILLIS);
    }

    /// Returns the prompt tokens that an engine of `service` prefills in a millisecond.
    pub fn tokens_per_milli(&self, service: &str) -> f64 {
        self.services.get(service).map_or(DEFAULT_TOKENS_PER_MILLI, |fit| 1.0 / fit.token_millis())
    }

    /// Returns the expected time to the first event of an answer of `service`, in milliseconds, for
    /// a server that has `tokens` to prefill.
    pub fn expected_millis(&self, service: &str, tokens: u64) -> f64 {
        self.services.get(service).copied().unwrap_or_default().expected_millis(tokens)
    }

    /// Returns the factor by which `server` takes longer than its service; 1 unless it is slow.
    pub fn slow_factor(&self, now: ClockTime, server: ServerId) -> f64 {
        let Some(pace) = self.servers.get(&server) else { return 1.0 };
        let local = pace.local_factor(now);
        let reported = if now < pace.peer_until { pace.peer_factor } else { 1.0 };
        local.max(reported)
    }

    /// Returns the measured pace of `server` relative to its service, also if it is not slow; `None` with
    /// few recent answers.
    pub fn measured_pace(&self, now: ClockTime, server: ServerId) -> Option<f64> {
        let mut pace = *self.servers.get(&server)?;
        pace.decay(now);
        (pace.weight >= FULL_WEIGHT).then(|| (pace.log_ratios / pace.weight).exp())
    }

    /// Slow servers that this router measured itself, with their factors, for its reports to other
    /// routers.
    pub fn local_slow(&self, now: ClockTime) -> impl Iterator<Item = (ServerId, f64)> {
        let factor =
            move |(server, pace): (&ServerId, &ServerPace)| (*server, pace.local_factor(now));
        self.servers.iter().map(factor).filter(|(_, factor)| *factor > 1.0)
    }

    /// Removes what is known of a server that restarted or left.
    pub fn remove_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
        for pace in self.paces.values_mut() {
            pace.latest.remove(&server);
        }
    }

    /// Removes servers without recent answers or reports.
    pub fn remove_expired(&mut self, now: ClockTime) {
        for pace in self.paces.values_mut() {
            pace.latest.retain(|_, (answered, _)| now.millis_since(*answered) <= MOMENT_MILLIS);
        }
        self.servers.retain(|_, pace| {
            pace.decay(now);
            pace.weight >= MIN_WEIGHT || now < pace.peer_until
        });
    }
}

fn find_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

fn entry_of<'a, T: Default>(map: &'a mut BTreeMap<String, T>, service: &str) -> &'a mut T {
    if !map.contains_key(service) {
        map.insert(service.to_owned(), T::default());
    }
    map.get_mut(service).expect("the entry was inserted above")
}

fn decay_factor(now: ClockTime, since: ClockTime, half_life_millis: f64) -> f64 {
    0.5f64.powf(now.millis_since(since) as f64 / half_life_millis)
}
