//! Stand-in of the platform's object API and of its list of VMs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{copy_type, document_type};

use crate::object_table::ObjectView;
use crate::platform_handler::PlatformHandler;
use crate::thread_listener::ThreadListener;

copy_type! {
    /// How an outage shows.
    pub enum OutageKind {
        /// The platform works.
        None,
        /// Every call is answered 503 and has no effect.
        Failing,
        /// Every call is dropped without an answer and has no effect.
        DroppingCalls,
        /// Every call takes effect and its answer is dropped.
        DroppingAnswers,
    }
}

/// How the platform behaves.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time before each answer.
    pub latency: Duration,
    /// Writes that it allows a second; more are answered 429.
    pub writes_per_second: u32,
    /// Reads, lists and watches that it allows a second; more are answered 429.
    pub reads_per_second: u32,
    /// Share of writes that take effect and whose answer is dropped, from 0 to 1.
    pub lost_answer_share: f64,
    /// Age of the list of VMs that it serves.
    pub list_lag: Duration,
    /// Seed of the choice of lost answers.
    pub seed: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: Duration::ZERO,
            writes_per_second: 100_000,
            reads_per_second: 100_000,
            lost_answer_share: 0.0,
            list_lag: Duration::ZERO,
            seed: 0,
        }
    }
}

document_type! {
    /// A VM in the platform's list.
    pub struct VmEntry {
        /// Its name.
        pub name: String,
        /// Address of its router's peer listener.
        pub peer_address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
        /// Its region.
        pub region: String,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

copy_type! {
    /// What the platform counted.
    #[derive(Default)]
    pub struct PlatformCounts {
        /// Reads of one object.
        pub gets: u64,
        /// Writes of one object, whether or not they took effect.
        pub puts: u64,
        /// Deletions, whether or not they took effect.
        pub deletes: u64,
        /// Lists of keys.
        pub lists: u64,
        /// Watches.
        pub watches: u64,
        /// Reads of the list of VMs.
        pub vm_lists: u64,
        /// Writes whose condition did not hold.
        pub conflicts: u64,
        /// Calls refused because of the rate.
        pub rate_limited: u64,
        /// Writes that took effect and whose answer was dropped.
        pub lost_answers: u64,
        /// Calls that came during an outage.
        pub outage_calls: u64,
    }
}

impl PlatformCounts {
    /// All calls that the platform took.
    pub fn total(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.lists + self.watches + self.vm_lists
    }
}

/// A running platform.
pub struct PlatformStandin {
    listener: ThreadListener<PlatformHandler>,
}

impl PlatformStandin {
    /// Starts it.
    pub fn start(options: &PlatformOptions) -> io::Result<Self> {
        let handler = PlatformHandler::new(options);
        let listener = ThreadListener::start(options.address, Arc::new(handler))?;
        Ok(Self { listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: OutageKind) {
        self.listener.handler().set_outage(outage);
    }

    /// Changes the time before each answer.
    pub fn set_latency(&self, latency: Duration) {
        self.listener.handler().state().latency = latency;
    }

    /// Lets the next `count` writes take effect and drops their answers.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().state().lost_answers.lose_next(count);
    }

    /// Replaces the list of VMs, which is served once it is as old as the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.listener.handler().add_list(vms);
    }

    /// What it counted so far.
    pub fn counts(&self) -> PlatformCounts {
        self.listener.handler().state().counts
    }

    /// Every object whose key starts with `prefix`.
    pub fn objects(&self, prefix: &str) -> Vec<ObjectView> {
        self.listener.handler().state().table.views(prefix)
    }

    /// Stops it and joins its threads.
    pub fn stop(self) {}
}
