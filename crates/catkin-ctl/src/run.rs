//! Dispatches to the command given on the command line, and writes its output.

use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;

use catkin_operator::ClientError;
use clap::{ArgMatches, error::ErrorKind};
use clap_complete::Shell;
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;

use crate::apply::{apply_path, roll_back};
use crate::check::check_path;
use crate::cli::{PROGRAM, build_command};
use crate::client_options::{build_client, list_routers};
use crate::diff::diff_path;
use crate::failure::{CommandFailure, ExitStatus};
use crate::status::{write_history, write_status};

/// Runs one command. `arguments` begin with the name of the program. Results go to `output`,
/// warnings and failures to `errors`.
pub fn run_command<A: Into<OsString> + Clone>(
    arguments: impl IntoIterator<Item = A>,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> ExitStatus {
    let matches = match build_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return write_usage(&error, output, errors),
    };
    match dispatch_command(&matches, output, errors) {
        Ok(()) => ExitStatus::Done,
        Err(failure) => {
            // If standard error is closed, the failure can only be reported by the exit code.
            let _ = write_failure(&failure, errors);
            failure.exit_status()
        }
    }
}

/// Writes requested help or the version to `output`, and errors of the command line to `errors`.
fn write_usage(
    error: &clap::Error,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> ExitStatus {
    let requested = matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion);
    let written = if requested { write!(output, "{error}") } else { write!(errors, "{error}") };
    match (requested, written) {
        (true, Ok(())) => ExitStatus::Done,
        (true, Err(_)) => ExitStatus::Failed,
        (false, _) => ExitStatus::Usage,
    }
}

fn dispatch_command(
    matches: &ArgMatches,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> Result<(), CommandFailure> {
    let Some((name, matches)) = matches.subcommand() else { return Ok(()) };
    let path = || matches.get_one::<PathBuf>("path").expect("clap requires it");
    match name {
        "check" => check_path(path(), matches, output, errors),
        "diff" => diff_path(path(), matches, output),
        "apply" => apply_path(path(), matches, output, errors),
        "rollback" => roll_back(matches, output, errors),
        "status" => write_status(&build_client(matches)?.status()?, matches, output),
        "history" => write_history(&build_client(matches)?.history()?, matches, output),
        "show" => show_declarations(matches, output),
        "drain" => drain_router(matches, output),
        _ => write_completions(matches, output),
    }
}

fn show_declarations(matches: &ArgMatches, output: &mut impl Write) -> Result<(), CommandFailure> {
    let in_force = build_client(matches)?.declarations()?;
    if is_json(matches) {
        return write_json(&in_force, output);
    }
    writeln!(output, "// revision {}, digest {}", in_force.revision, in_force.digest)?;
    write_json(&in_force.declarations, output)
}

fn drain_router(matches: &ArgMatches, output: &mut impl Write) -> Result<(), CommandFailure> {
    let client = build_client(matches)?;
    let router = list_routers(matches).into_iter().next().ok_or(CommandFailure::NoRouter)?;
    let answer = client.drain(router)?;
    if is_json(matches) {
        return write_json(&answer, output);
    }
    writeln!(output, "{router} is draining; {} requests are open on it", answer.open)?;
    Ok(())
}

fn write_completions(matches: &ArgMatches, output: &mut impl Write) -> Result<(), CommandFailure> {
    let shell = *matches.get_one::<Shell>("shell").expect("clap requires it");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut build_command(), PROGRAM, &mut script);
    output.write_all(&script)?;
    Ok(())
}

/// Returns whether the output shall be JSON.
pub(crate) fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

/// Writes a document as indented JSON.
pub(crate) fn write_json<T: Serialize>(
    document: &T,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let text = serde_json::to_string_pretty(document).map_err(std::io::Error::from)?;
    writeln!(output, "{text}")?;
    Ok(())
}

/// Writes a report as text, with the source lines around each problem.
pub(crate) fn write_report(
    report: &dyn Diagnostic,
    errors: &mut impl Write,
) -> std::io::Result<()> {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    if handler.render_report(&mut text, report).is_err() {
        text = report.to_string();
    }
    writeln!(errors, "{text}")
}

/// Writes a failure, followed by the paths of a refusal.
fn write_failure(failure: &CommandFailure, errors: &mut impl Write) -> std::io::Result<()> {
    write_report(failure, errors)?;
    if let CommandFailure::Client(ClientError::Refused { paths, .. }) = failure {
        for path in paths {
            writeln!(errors, "  {path}")?;
        }
    }
    Ok(())
}
