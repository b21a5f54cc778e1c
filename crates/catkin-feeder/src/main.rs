//! Command line tool that measures one real router under the load of a large fleet.

use std::path::PathBuf;
use std::time::Duration;

use catkin_feeder::{FleetShape, RunOptions, run_feeder};
use clap::{Arg, ArgMatches, Command, value_parser};
use miette::IntoDiagnostic;

fn main() -> miette::Result<()> {
    let options = read_options(&build_command().get_matches());
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(run_feeder(options))?;
    Ok(())
}

fn read_options(matches: &ArgMatches) -> RunOptions {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    RunOptions {
        shape: FleetShape {
            routers: count("routers"),
            servers: count("servers"),
            teams: count("teams"),
            models: count("models"),
        },
        window: Duration::from_secs(number("seconds")),
        seed: number("seed"),
        settings_out: matches.get_one::<PathBuf>("settings-out").cloned().unwrap_or_default(),
    }
}

fn number_argument(
    name: &'static str,
    min: u64,
    max: u64,
    default: &'static str,
    help: &'static str,
) -> Arg {
    let parser = value_parser!(u64).range(min..=max);
    Arg::new(name).long(name).value_parser(parser).default_value(default).help(help)
}

fn build_command() -> Command {
    let settings = Arg::new("settings-out")
        .long("settings-out")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("File to which the settings of the measured router are written");
    Command::new("catkin-feeder")
        .about("Measures one real router under the membership and the load of a large fleet")
        .arg(number_argument(
            "routers",
            2,
            1_000,
            "330",
            "Number of routers, the measured one included",
        ))
        .arg(number_argument("servers", 1, 3_000, "860", "Number of backend servers"))
        .arg(number_argument("teams", 1, 100_000, "31000", "Number of teams"))
        .arg(number_argument("models", 1, 100, "19", "Number of models"))
        .arg(number_argument(
            "seconds",
            5,
            3_600,
            "20",
            "Length of each measurement window, in seconds",
        ))
        .arg(number_argument("seed", 0, u64::MAX, "1", "Seed of the random draws of the load"))
        .arg(settings)
}
