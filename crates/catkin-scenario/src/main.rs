//! Command line tool that runs scenario files and reports the expectations that failed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use catkin_scenario::{ScenarioReport, parse_script, run_script};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, Report, WrapErr};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let mut passed = true;
    for path in matches.get_many::<PathBuf>("files").into_iter().flatten() {
        match run_file(path, &matches) {
            Ok(file_passed) => passed &= file_passed,
            Err(error) => {
                eprintln!("{error:?}");
                passed = false;
            }
        }
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn command() -> Command {
    Command::new("catkin-scenario")
        .about("Runs scenario files against routers on a paused clock")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true)
                .help("Scenario files to run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Use this seed instead of the one in the file"),
        )
        .arg(
            Arg::new("verbose")
                .short('v')
                .long("verbose")
                .action(ArgAction::SetTrue)
                .help("Print all measures that are not zero, and the routers' logs"),
        )
}

fn run_file(path: &Path, matches: &ArgMatches) -> miette::Result<bool> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the scenario file {name}"))?;
    let mut script = parse_script(&name, &text).map_err(|error| Report::new(*error))?;
    if let Some(&seed) = matches.get_one::<u64>("seed") {
        script.setup.seed = seed;
    }
    let verbose = matches.get_flag("verbose");
    if verbose {
        start_logs();
    }
    let report = run_script(&script);
    print_report(&report, &text, verbose);
    Ok(report.passed())
}

fn print_report(report: &ScenarioReport, text: &str, verbose: bool) {
    let verdict = if report.passed() { "passed" } else { "FAILED" };
    println!("{verdict} {} seed {}", report.name, report.seed);
    if verbose || !report.passed() {
        print!("{}", report.summary());
    }
    for error in report.errors(text) {
        eprintln!("{:?}", Report::new(error));
    }
}

fn start_logs() {
    let logs = fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .chain(std::io::stderr());
    // Fails from the second file on, when the logger is already set.
    let _ = logs.apply();
}
