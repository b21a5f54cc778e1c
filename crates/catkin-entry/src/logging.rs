//! Log on standard output, which never blocks the process.

use std::io;
use std::sync::{Mutex, PoisonError};

use log::{LevelFilter, Record, SetLoggerError};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use tokio::time::Instant;

/// Maximum length of a line, in bytes. A pipe accepts a write of this length in whole or not at
/// all.
const MAX_LINE_BYTES: usize = 4_000;

/// Limit on the number of log lines per second.
#[derive(Debug)]
pub struct LineBudget {
    per_second: u32,
    second: u64,
    taken: u32,
    dropped: u64,
}

impl LineBudget {
    /// Creates a budget of `per_second` lines per second.
    pub fn new(per_second: u32) -> Self {
        Self { per_second, second: 0, taken: 0, dropped: 0 }
    }

    /// Takes one line in the given second since the start. Urgent lines (warnings and errors) may
    /// use twice the budget. Returns the number of lines dropped before, each counted once, or
    /// `None` if this line must be dropped.
    pub fn take(&mut self, second: u64, urgent: bool) -> Option<u64> {
        if second != self.second {
            self.second = second;
            self.taken = 0;
        }
        let limit = if urgent { self.per_second.saturating_mul(2) } else { self.per_second };
        if self.taken >= limit {
            self.dropped += 1;
            return None;
        }
        self.taken += 1;
        Some(std::mem::take(&mut self.dropped))
    }

    /// Counts a line that was allowed but could not be written, and the `before` lines that it
    /// would have reported as dropped.
    pub fn count_lost(&mut self, before: u64) {
        self.dropped += before + 1;
    }
}

/// Starts the log of the process on standard output. Fails if a log was started before.
pub fn start_logging(vm: &str, lines_per_second: u32) -> Result<(), SetLoggerError> {
    if let Err(error) = set_nonblocking() {
        eprintln!("standard output cannot be set to non-blocking; log writes may block: {error}");
    }
    let started = Instant::now();
    let budget = Mutex::new(LineBudget::new(lines_per_second));
    let vm = vm.to_owned();
    let output = fern::Output::call(move |record: &Record<'_>| {
        let millis = started.elapsed().as_millis() as u64;
        let urgent = record.level() <= log::Level::Warn;
        let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(dropped) = budget.take(millis / 1_000, urgent) else { return };
        let mut line = format!("{millis} {} {vm} {}", record.level(), record.args());
        if dropped > 0 {
            line.push_str(&format!(" lines_dropped_before={dropped}"));
        }
        if !write_line(escape_controls(line)) {
            budget.count_lost(dropped);
        }
    });
    fern::Dispatch::new().level(LevelFilter::Info).chain(output).apply()
}

fn set_nonblocking() -> io::Result<()> {
    let output = io::stdout();
    let flags = fcntl_getfl(&output)?;
    fcntl_setfl(&output, flags | OFlags::NONBLOCK)?;
    Ok(())
}

/// Escapes control characters, so that a name of another writer neither ends a line nor begins one.
fn escape_controls(line: String) -> String {
    if !line.contains(char::is_control) {
        return line;
    }
    let escape = |character: char| match character.is_control() {
        true => character.escape_default().to_string(),
        false => character.to_string(),
    };
    line.chars().map(escape).collect()
}

/// Writes a whole line or nothing. Returns false if the line was lost.
fn write_line(mut line: String) -> bool {
    if line.len() > MAX_LINE_BYTES {
        let cut = line.floor_char_boundary(MAX_LINE_BYTES);
        line.truncate(cut);
    }
    line.push('\n');
    matches!(rustix::io::write(io::stdout(), line.as_bytes()), Ok(count) if count == line.len())
}
