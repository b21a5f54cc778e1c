//! Logs of a router process.

use std::io;

use catkin_settings::LogSettings;
use log::{LevelFilter, SetLoggerError};

/// Starts the process's log on standard error.
pub fn start_logging(settings: &LogSettings, vm: &str) -> Result<(), SetLoggerError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let json = settings.json;
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            if json {
                out.finish(format_args!("{}", json_line(&vm, record, &message.to_string())));
            } else {
                out.finish(format_args!("{} {vm} {message}", record.level()));
            }
        })
        .chain(io::stderr())
        .apply()
}

fn json_line(vm: &str, record: &log::Record<'_>, message: &str) -> serde_json::Value {
    serde_json::json!({
        "level": record.level().as_str(),
        "vm": vm,
        "target": record.target(),
        "message": message,
    })
}
