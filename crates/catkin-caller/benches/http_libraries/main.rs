//! Trials of HTTP libraries with idle connections, long heads, truncated answers and slow streams.
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

/// Reads a number from the status of this process. Memory is in KiB; 0 if it cannot be read.
fn read_status_value(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
