//! What the HTTP libraries do under idle connections, long heads, cut answers and slow streams.
//!
//! ```text
//! cargo bench -p catkin-caller --bench http_libraries
//! ```

mod minreq_trials;
mod server_trials;

fn main() {
    minreq_trials::run();
    server_trials::run();
}

/// A number in this process's status; memory is in KiB.
fn read_status(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
