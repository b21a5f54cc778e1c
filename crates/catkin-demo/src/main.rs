//! Runs a complete fleet in one process on loopback, injects faults and checks the guarantees.
//!
//! Reading order: `deployment` (the declarations), `fleet` (stand-ins and routers), `trace` (the
//! planned calls), `caller` (one attempt of a call), `driver` (sends the calls and injects faults),
//! `latency` (the latency that a router adds) and `run_summary` (the result).

mod caller;
mod deployment;
mod driver;
mod fleet;
mod latency;
mod run_summary;
mod trace;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, Result};

use crate::deployment::DemoDeployment;
use crate::driver::run_trace;
use crate::fleet::DemoFleet;
use crate::run_summary::{RunSummary, summarize_run};
use crate::trace::plan_calls;

fn main() -> ExitCode {
    match run(&build_command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<bool> {
    let deployment = match matches.get_one::<String>("deployment").map(String::as_str) {
        Some("glenmore") => DemoDeployment::Glenmore,
        _ => DemoDeployment::Swiss,
    };
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(30);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let calm = matches.get_flag("calm");
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let summary = runtime.into_diagnostic()?.block_on(run_demo(deployment, seconds, seed, calm))?;
    print_summary(&summary)?;
    Ok(summary.has_passed())
}

async fn run_demo(
    deployment: DemoDeployment,
    seconds: u64,
    seed: u64,
    calm: bool,
) -> Result<RunSummary> {
    let length = Duration::from_secs(seconds);
    let shape = deployment.shape();
    println!(
        "{}: {} routers, {} engines, {} plain servers, {seconds} s, seed {seed}",
        shape.name, shape.routers, shape.engines, shape.services
    );
    let calls = plan_calls(&shape, length, seed);
    let mut fleet = DemoFleet::start(shape, seed).await?;
    println!("{} calls planned", calls.len());
    let finished = run_trace(&mut fleet, calls, length, calm).await;
    let mut summary = summarize_run(&fleet, &finished.results, &finished.measurements);
    for router in fleet.routers.iter_mut().filter_map(Option::take) {
        summary.drained_whole &= router.shut_down().await;
    }
    Ok(summary)
}

fn print_summary(summary: &RunSummary) -> Result<()> {
    let value = serde_json::to_value(summary).into_diagnostic()?;
    if let Some(rows) = value.as_object() {
        for (name, row) in rows {
            println!("{name:34} {row}");
        }
    }
    println!("summary {value}");
    Ok(())
}

fn build_command() -> Command {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .value_parser(["swiss", "glenmore"])
        .default_value("swiss")
        .help("Deployment to run");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_parser(value_parser!(u64).range(10..=3_600))
        .default_value("30")
        .help("Length of the run, in seconds");
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the trace, the routers and the stand-ins");
    let calm = Arg::new("calm")
        .long("calm")
        .action(ArgAction::SetTrue)
        .help("Inject no faults, for comparison");
    Command::new("catkin-demo")
        .about("Runs a complete fleet on loopback, injects faults and checks the guarantees")
        .args([deployment, seconds, seed, calm])
}
