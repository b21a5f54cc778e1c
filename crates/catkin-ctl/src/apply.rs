//! Commands `apply` and `rollback`: put declarations in force and wait for every live router.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::Duration;

use catkin_base::{digest_hex, document_type};
use catkin_operator::{
    ApplyAnswer, ApplyRequest, FleetStatus, MemberStatus, OperatorClient, RollbackRequest,
};
use clap::ArgMatches;

use crate::check::read_declarations;
use crate::client_options::{build_client, choose_author};
use crate::failure::CommandFailure;
use crate::run::{is_json, write_json};

/// Pause between two reads of the fleet's state, in milliseconds.
const POLL_INTERVAL_MILLIS: u64 = 250;

document_type! {
    /// Result of an apply or a rollback, as JSON.
    struct ApplyReport {
        revision: u64,
        digest: String,
        unchanged: bool,
        lacking: Vec<String>,
        newest: u64,
    }
}

/// Puts the declarations at `path` in force.
pub(crate) fn apply_path(
    path: &Path,
    matches: &ArgMatches,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> Result<(), CommandFailure> {
    let declarations = read_declarations(path, errors)?.declarations;
    let client = build_client(matches)?;
    let base = matches.get_one::<u64>("base").copied();
    let content = serde_json::to_string(&declarations).map_err(std::io::Error::from)?;
    let request = ApplyRequest {
        declarations,
        base,
        apply_id: derive_apply_id(base, &content),
        author: choose_author(matches),
        comment: read_comment(matches),
    };
    let answer = client.apply(&request)?;
    await_in_force(&client, &answer, matches, output)
}

/// Puts the declarations of an older revision in force again.
pub(crate) fn roll_back(
    matches: &ArgMatches,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> Result<(), CommandFailure> {
    let client = build_client(matches)?;
    let revision = *matches.get_one::<u64>("revision").expect("clap requires it");
    let base = match matches.get_one::<u64>("base") {
        Some(base) => Some(*base),
        None => client.status()?.revision,
    };
    writeln!(
        errors,
        "rolling back from revision {} to the declarations of revision {revision}",
        base.unwrap_or(0)
    )?;
    let request = RollbackRequest {
        revision,
        base,
        apply_id: derive_apply_id(base, &format!("rollback {revision}")),
        author: choose_author(matches),
        comment: read_comment(matches),
    };
    let answer = client.rollback(&request)?;
    await_in_force(&client, &answer, matches, output)
}

/// Derives the apply id from base and content, so that a repeated command counts as one change.
fn derive_apply_id(base: Option<u64>, content: &str) -> String {
    digest_hex(format!("{base:?} {content}").as_bytes())
}

fn read_comment(matches: &ArgMatches) -> String {
    matches.get_one::<String>("comment").cloned().unwrap_or_default()
}

/// Progress of a revision across the live routers.
struct RevisionProgress {
    /// VMs of the live routers that have not reported the revision or a newer one.
    lacking: Vec<String>,
    /// Newest revision that a router reported.
    newest: u64,
}

/// Waits until every live router has the revision, and writes the result. Fails with the routers
/// that lack the revision at the end of the wait.
fn await_in_force(
    client: &OperatorClient,
    answer: &ApplyAnswer,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let seconds = matches.get_one::<u64>("wait").copied().unwrap_or_default();
    let progress = poll_progress(client, answer.revision, seconds * 1000 / POLL_INTERVAL_MILLIS)?;
    if is_json(matches) {
        write_json(&build_report(answer, &progress), output)?;
    } else {
        write_progress(answer, &progress, output)?;
    }
    if progress.lacking.is_empty() {
        return Ok(());
    }
    Err(CommandFailure::NotInForce { revision: answer.revision, lacking: progress.lacking })
}

fn build_report(answer: &ApplyAnswer, progress: &RevisionProgress) -> ApplyReport {
    ApplyReport {
        revision: answer.revision,
        digest: answer.digest.clone(),
        unchanged: answer.unchanged,
        lacking: progress.lacking.clone(),
        newest: progress.newest,
    }
}

fn write_progress(
    answer: &ApplyAnswer,
    progress: &RevisionProgress,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let revision = answer.revision;
    let result = if answer.unchanged { "already has these declarations" } else { "is accepted" };
    writeln!(output, "revision {revision} {result}")?;
    if progress.newest > revision {
        writeln!(output, "revision {} has replaced it since", progress.newest)?;
    } else if progress.lacking.is_empty() {
        writeln!(output, "in force on every live router")?;
    }
    Ok(())
}

/// Reads the state of the fleet up to `polls` times, until every live router has the revision, and
/// then once more.
fn poll_progress(
    client: &OperatorClient,
    revision: u64,
    polls: u64,
) -> Result<RevisionProgress, CommandFailure> {
    for _ in 0..polls {
        if let Ok(status) = client.status() {
            let progress = compute_progress(&status, revision);
            if progress.lacking.is_empty() {
                return Ok(progress);
            }
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MILLIS));
    }
    Ok(compute_progress(&client.status()?, revision))
}

fn compute_progress(status: &FleetStatus, revision: u64) -> RevisionProgress {
    let is_lacking =
        |member: &&MemberStatus| is_live(member) && member.revision.is_none_or(|r| r < revision);
    let lacking = status.members.iter().filter(is_lacking).map(|member| member.vm.clone());
    let mut lacking: Vec<String> = lacking.collect();
    if status.revision.is_none_or(|current| current < revision) && !lacking.contains(&status.router)
    {
        lacking.push(status.router.clone());
    }
    let reported = status.members.iter().filter_map(|member| member.revision);
    let newest = reported.chain(status.revision).max().unwrap_or(revision);
    RevisionProgress { lacking, newest }
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
