//! Reads the memory, the processor time and the metrics of the measured process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use catkin_base::copy_type;

/// Ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `stat` after the process name.
const USER_TIME_FIELD: usize = 11;
/// Timeout for fetching the router's metrics, in seconds.
const METRICS_TIMEOUT_SECONDS: u64 = 5;

copy_type! {
    /// Memory and processor time of a process.
    pub struct ProcessReading {
        /// Resident memory, in KiB.
        pub resident_kib: u64,
        /// Peak resident memory, in KiB.
        pub peak_kib: u64,
        /// Processor time since the start of the process, user and system, in ticks.
        pub ticks: u64,
    }
}

impl ProcessReading {
    /// Reads the process with this id from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error if the files of the process cannot be read, or `InvalidData` if a value is
    /// missing in them.
    pub fn read(process: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = std::fs::read_to_string(folder.join("status"))?;
        let stat = std::fs::read_to_string(folder.join("stat"))?;
        Self::parse(&status, &stat).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }

    /// Parses the content of a process's `status` and `stat`; `None` if a value is missing.
    pub fn parse(status: &str, stat: &str) -> Option<Self> {
        Some(Self {
            resident_kib: find_kib(status, "VmRSS:")?,
            peak_kib: find_kib(status, "VmHWM:")?,
            ticks: sum_ticks(stat)?,
        })
    }

    /// Processor time used since `earlier`, in percent of one core over `seconds`.
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
    // The process name, in parentheses, may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}

/// Fetches the metrics of a router from its operator listener; `None` on any failure.
pub fn fetch_metrics(address: SocketAddr) -> Option<String> {
    let request = minreq::get(format!("http://{address}/metrics"));
    let response = request.with_timeout(METRICS_TIMEOUT_SECONDS).send().ok()?;
    response.as_str().ok().map(str::to_owned)
}

/// Returns the value of a metric without labels from the text of a metrics page.
pub fn find_metric(text: &str, name: &str) -> Option<f64> {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    value.trim().parse().ok()
}
