//! What is read of the measured process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use catkin_base::copy_type;

/// Ticks of the processor times in `/proc`, a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of the user time among the fields behind the process's name.
const USER_TIME_FIELD: usize = 11;
/// Wait for the router's metrics, in seconds.
const METRICS_TIMEOUT_SECONDS: u64 = 5;

copy_type! {
    /// Memory and processor time of a process.
    pub struct ProcessReading {
        /// Resident memory, in KiB.
        pub resident_kib: u64,
        /// Most resident memory so far, in KiB.
        pub peak_kib: u64,
        /// Processor time so far, user and system, in ticks.
        pub ticks: u64,
    }
}

impl ProcessReading {
    /// Reads a process by its id.
    pub fn read(process: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = std::fs::read_to_string(folder.join("status"))?;
        let stat = std::fs::read_to_string(folder.join("stat"))?;
        Self::parse(&status, &stat).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }

    /// Reads the texts of a process's `status` and `stat`.
    pub fn parse(status: &str, stat: &str) -> Option<Self> {
        Some(Self {
            resident_kib: find_kib(status, "VmRSS:")?,
            peak_kib: find_kib(status, "VmHWM:")?,
            ticks: sum_ticks(stat)?,
        })
    }

    /// Share of one core used since `earlier`, in percent.
    pub fn percent_since(&self, earlier: &ProcessReading, seconds: f64) -> f64 {
        let ticks = self.ticks.saturating_sub(earlier.ticks);
        100.0 * ticks as f64 / TICKS_PER_SECOND / seconds
    }
}

fn find_kib(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

fn sum_ticks(stat: &str) -> Option<u64> {
    // The process's name may hold spaces and brackets.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}

/// Fetches the metrics of a router from its operators' listener.
pub fn fetch_metrics(address: SocketAddr) -> Option<String> {
    let request = minreq::get(format!("http://{address}/metrics"));
    let response = request.with_timeout(METRICS_TIMEOUT_SECONDS).send().ok()?;
    response.as_str().ok().map(str::to_owned)
}

/// Value of a metric without labels.
pub fn find_metric(text: &str, name: &str) -> Option<f64> {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    value.trim().parse().ok()
}
