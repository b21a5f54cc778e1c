//! Stand-in of the rate-limited weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkin_base::value_type;
use tiny_http::Request;

use crate::answer::{PlainAnswer, path_of};
use crate::call_rate::CallRate;
use crate::thread_listener::{ThreadHandler, ThreadListener};

value_type! {
    /// How the weight store behaves.
    pub struct WeightOptions {
        /// Where it listens.
        pub address: SocketAddr,
        /// Loads that it allows a second; more are answered 429.
        pub loads_per_second: u32,
        /// Time that a load takes.
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
    /// What the weight store counted.
    #[derive(Default)]
    pub struct WeightCounts {
        /// Loads served for each model.
        pub loads: BTreeMap<String, u64>,
        /// Loads refused because of the rate.
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

    fn load(&self, model: &str) -> PlainAnswer {
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
        let answer = match path_of(request.url()).strip_prefix("/weights/") {
            Some(model) if !model.is_empty() => self.load(model),
            _ => PlainAnswer::empty(404),
        };
        answer.write_to(request);
    }
}

/// A running weight store.
pub struct WeightStandin {
    listener: ThreadListener<WeightHandler>,
}

impl WeightStandin {
    /// Starts it.
    pub fn start(options: &WeightOptions) -> io::Result<Self> {
        let state = WeightState {
            rate: CallRate::new(options.loads_per_second),
            counts: WeightCounts::default(),
        };
        let handler = WeightHandler { load_time: options.load_time, state: Mutex::new(state) };
        let listener = ThreadListener::start(options.address, Arc::new(handler))?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// What it counted so far.
    pub fn counts(&self) -> WeightCounts {
        self.listener.handler().state().counts.clone()
    }

    /// Stops it and joins its threads.
    pub fn stop(self) {}
}
