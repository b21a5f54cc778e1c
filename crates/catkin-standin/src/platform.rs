//! Stand-in for the platform's object API and its list of VMs.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use catkin_base::{copy_type, document_type};

use crate::object_table::ObjectView;
use crate::platform_handler::PlatformHandler;
use crate::thread_listener::ThreadListener;

copy_type! {
    /// Kind of a simulated outage.
    pub enum OutageKind {
        /// No outage: the platform works.
        None,
        /// Every call is answered with 503 and has no effect.
        Failing,
        /// Every connection is closed without an answer; calls have no effect.
        DroppingCalls,
        /// Every connection is closed without an answer; calls take effect.
        DroppingAnswers,
    }
}

/// Options of a platform.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Delay before each call is served.
    pub latency: Duration,
    /// Maximum writes per second; further writes are answered with 429.
    pub writes_per_second: u32,
    /// Maximum reads, lists and watches per second; further ones are answered with 429.
    pub reads_per_second: u32,
    /// Fraction of writes that take effect and whose answer is lost, from 0 to 1.
    pub lost_answer_share: f64,
    /// Minimum age of the list of VMs that the platform serves.
    pub list_lag: Duration,
    /// Seed of the random choice of lost answers.
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
        /// Name of the VM.
        pub name: String,
        /// Address of the peer listener of the VM's router.
        pub peer_address: SocketAddr,
        /// Failure domain of the VM.
        pub domain: String,
        /// Region of the VM.
        pub region: String,
        /// Whether the VM is leaving.
        pub leaving: bool,
    }
}

copy_type! {
    /// Counts of a platform.
    #[derive(Default)]
    pub struct PlatformCounts {
        /// Number of reads of one object.
        pub gets: u64,
        /// Number of writes of one object, whether or not they took effect.
        pub puts: u64,
        /// Number of deletions, whether or not they took effect.
        pub deletes: u64,
        /// Number of reads of a list of keys.
        pub lists: u64,
        /// Number of watches.
        pub watches: u64,
        /// Number of reads of the list of VMs.
        pub vm_lists: u64,
        /// Number of writes and deletions whose precondition was not met.
        pub conflicts: u64,
        /// Number of calls refused by the rate limits.
        pub rate_limited: u64,
        /// Number of writes that took effect and whose answer was lost.
        pub lost_answers: u64,
        /// Number of calls that arrived during an outage.
        pub outage_calls: u64,
    }
}

impl PlatformCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.lists + self.watches + self.vm_lists
    }
}

/// A running platform; dropping it stops it.
pub struct PlatformStandin {
    listener: ThreadListener<PlatformHandler>,
}

impl PlatformStandin {
    /// Starts a platform.
    pub fn start(options: &PlatformOptions) -> io::Result<Self> {
        let handler = PlatformHandler::new(options);
        let listener = ThreadListener::start(options.address, Arc::new(handler))?;
        Ok(Self { listener })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: OutageKind) {
        self.listener.handler().set_outage(outage);
    }

    /// Changes the delay before each call is served.
    pub fn set_latency(&self, latency: Duration) {
        self.listener.handler().state().latency = latency;
    }

    /// Loses the answers of the next `count` writes, which still take effect.
    pub fn lose_next_answers(&self, count: u32) {
        self.listener.handler().state().lost_answers.lose_next(count);
    }

    /// Replaces the list of VMs; the new list is served once it is as old as the list lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.listener.handler().add_snapshot(vms);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> PlatformCounts {
        self.listener.handler().state().counts
    }

    /// Returns a copy of every object whose key starts with `prefix`.
    pub fn objects(&self, prefix: &str) -> Vec<ObjectView> {
        self.listener.handler().state().table.copy_objects(prefix)
    }

    /// Stops the platform and joins its threads.
    pub fn stop(self) {}
}
