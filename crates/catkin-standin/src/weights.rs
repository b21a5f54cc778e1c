//! Stand-in for the rate-limited weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::value_type;
use tiny_http::Request;

use crate::answer::{PlainAnswer, strip_query};
use crate::call_rate::CallRate;
use crate::thread_listener::{ThreadHandler, ThreadListener};

value_type! {
    /// Options of a weight store.
    pub struct WeightOptions {
        /// Address to listen on; port 0 selects a free port.
        pub address: SocketAddr,
        /// Maximum loads per second; further loads are answered with 429.
        pub loads_per_second: u32,
        /// Duration of a load.
        pub load_time: Duration,
    }
}

impl Default for WeightOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            loads_per_second: 2,
            load_time: Duration::from_millis(20),
        }
    }
}

value_type! {
    /// Counts of a weight store.
    #[derive(Default)]
    pub struct WeightCounts {
        /// Number of loads served, by model.
        pub loads: BTreeMap<String, u64>,
        /// Number of loads refused by the rate limit.
        pub rate_limited: u64,
    }
}

struct WeightState {
    rate: CallRate,
    counts: WeightCounts,
}

struct WeightHandler {
    load_time: Duration,
    state: Mutex<WeightState>,
}

impl WeightHandler {
    fn state(&self) -> MutexGuard<'_, WeightState> {
        self.state.lock().expect("the weight state lock is never poisoned")
    }

    fn serve_load(&self, model: &str) -> PlainAnswer {
        let mut state = self.state();
        if !state.rate.take(1.0) {
            state.counts.rate_limited += 1;
            return PlainAnswer::empty(429);
        }
        *state.counts.loads.entry(model.to_owned()).or_default() += 1;
        drop(state);
        std::thread::sleep(self.load_time);
        PlainAnswer::with_body(200, format!("weights of {model}").into_bytes())
    }
}

impl ThreadHandler for WeightHandler {
    fn handle(&self, request: Request) {
        let answer = match strip_query(request.url()).strip_prefix("/weights/") {
            Some(model) if !model.is_empty() => self.serve_load(model),
            _ => PlainAnswer::empty(404),
        };
        answer.write_to(request);
    }
}

/// A running weight store; dropping it stops it.
pub struct WeightStandin {
    listener: ThreadListener<WeightHandler>,
}

impl WeightStandin {
    /// Starts a weight store.
    pub fn start(options: &WeightOptions) -> io::Result<Self> {
        let state = WeightState {
            rate: CallRate::new(options.loads_per_second),
            counts: WeightCounts::default(),
        };
        let handler = WeightHandler { load_time: options.load_time, state: Mutex::new(state) };
        let listener = ThreadListener::start(options.address, Arc::new(handler))?;
        Ok(Self { listener })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> WeightCounts {
        self.listener.handler().state().counts.clone()
    }

    /// Stops the store and joins its threads.
    pub fn stop(self) {}
}
