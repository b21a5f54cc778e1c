//! Logging of a router process.

use std::io;

use catkin_settings::LogSettings;
use log::{LevelFilter, SetLoggerError};

/// Starts logging to standard error: a text line per record, or a JSON object if so set.
///
/// An unknown level means `info`. Fails if a logger is already installed.
pub fn start_logging(settings: &LogSettings, vm: &str) -> Result<(), SetLoggerError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let json = settings.json;
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            if json {
                out.finish(format_args!("{}", format_json(&vm, record, &message.to_string())));
            } else {
                out.finish(format_args!("{} {vm} {message}", record.level()));
            }
        })
        .chain(io::stderr())
        .apply()
}

fn format_json(vm: &str, record: &log::Record<'_>, message: &str) -> serde_json::Value {
    serde_json::json!({
        "level": record.level().as_str(),
        "vm": vm,
        "target": record.target(),
        "message": message,
    })
}
