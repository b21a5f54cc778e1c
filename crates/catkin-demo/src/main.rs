//! A whole fleet in one process, on loopback, with its own count of promises kept.

mod caller;
mod deployment;
mod driver;
mod latency;
mod tally;
mod trace;
mod world;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, Result};

use crate::deployment::DemoDeployment;
use crate::driver::drive;
use crate::tally::{RunSummary, sum_up};
use crate::trace::plan_calls;
use crate::world::DemoWorld;

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
    Ok(summary.keeps_promises())
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
    let mut world = DemoWorld::start(shape, seed).await?;
    println!("{} calls planned", calls.len());
    let finished = drive(&mut world, calls, length, calm).await;
    let mut summary = sum_up(&world, &finished.results, &finished.measure);
    for router in world.routers.iter_mut().filter_map(Option::take) {
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
        .help("Which deployment to run");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .value_parser(value_parser!(u64).range(10..=3_600))
        .default_value("30")
        .help("Length of the run");
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the trace and the stand-ins");
    let calm = Arg::new("calm")
        .long("calm")
        .action(ArgAction::SetTrue)
        .help("Let nothing fail, to compare with");
    Command::new("catkin-demo")
        .about("Runs a whole fleet on loopback while things fail, and counts what it promised")
        .args([deployment, seconds, seed, calm])
}
