//! Runs one router until SIGINT or SIGTERM.
//!
//! Exit codes: 0 if all open calls ended, 1 if some were cut off, 2 on an error.

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkin_router::{RouterProcess, start_logging};
use catkin_settings::{RouterSettings, parse_router_settings};
use clap::{Arg, Command, value_parser};
use miette::{IntoDiagnostic, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

/// Maximum wait for pending platform calls when the process ends.
const WATCH_GRACE_TIME: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

/// Parses the arguments and runs the router; returns whether no call was cut off.
fn run() -> miette::Result<bool> {
    let matches = build_command().get_matches();
    let path = matches.get_one::<String>("settings").expect("the argument is required");
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    let settings = parse_router_settings(&text, path)?;
    if matches.get_flag("check") {
        println!("{path} is valid");
        return Ok(true);
    }
    start_logging(&settings.log, &settings.vm).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.into_diagnostic()?;
    let complete = runtime.block_on(serve(&settings));
    // A watch call that waits on the platform blocks its thread until it ends; nothing else is lost
    // by not waiting for it.
    runtime.shutdown_timeout(WATCH_GRACE_TIME);
    complete
}

/// Runs the router until a stop signal; returns whether no call was cut off.
async fn serve(settings: &RouterSettings) -> miette::Result<bool> {
    let start_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let incarnation = start_unix.as_micros() as u64;
    let seed = rand::random();
    let process = RouterProcess::start(settings, incarnation, start_unix, seed).await;
    let process = process.into_diagnostic()?;
    log::info!(
        "router: listening for callers, operators and peers. callers={} operators={} peers={}",
        process.caller_address(),
        process.operator_address(),
        process.peer_address()
    );
    wait_for_stop().await.into_diagnostic()?;
    Ok(process.shut_down().await)
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_stop() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

fn build_command() -> Command {
    let settings = Arg::new("settings")
        .help("Settings file of this router, JSON with comments")
        .value_parser(value_parser!(String))
        .required(true);
    let check = Arg::new("check")
        .long("check")
        .help("Check the settings and exit")
        .action(clap::ArgAction::SetTrue);
    Command::new("catkin-router").about("Runs one router").arg(settings).arg(check)
}
