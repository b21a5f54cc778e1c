//! Puts declarations in force and waits for every live router.

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
use crate::connect::{connect_client, read_author};
use crate::failure::CommandFailure;
use crate::run::{is_json, write_json};

/// Time between two looks at the fleet.
const POLL_MILLIS: u64 = 250;

document_type! {
    /// Result of an apply, for programs.
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
    let client = connect_client(matches)?;
    let base = matches.get_one::<u64>("base").copied();
    let content = serde_json::to_string(&declarations).map_err(std::io::Error::from)?;
    let request = ApplyRequest {
        declarations,
        base,
        apply_id: apply_id_of(base, &content),
        author: read_author(matches),
        comment: read_comment(matches),
    };
    let answer = client.apply(&request)?;
    await_in_force(&client, &answer, matches, output)
}

/// Puts an older revision in force again.
pub(crate) fn roll_back(
    matches: &ArgMatches,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> Result<(), CommandFailure> {
    let client = connect_client(matches)?;
    let revision = *matches.get_one::<u64>("revision").expect("clap requires it");
    let base = match matches.get_one::<u64>("base") {
        Some(base) => Some(*base),
        None => client.status()?.revision,
    };
    writeln!(errors, "going back to revision {revision} from {}", base.unwrap_or(0))?;
    let request = RollbackRequest {
        revision,
        base,
        apply_id: apply_id_of(base, &format!("rollback {revision}")),
        author: read_author(matches),
        comment: read_comment(matches),
    };
    let answer = client.rollback(&request)?;
    await_in_force(&client, &answer, matches, output)
}

/// The same change on the same base has the same identifier, so that a command may be repeated.
fn apply_id_of(base: Option<u64>, content: &str) -> String {
    digest_hex(format!("{base:?} {content}").as_bytes())
}

fn read_comment(matches: &ArgMatches) -> String {
    matches.get_one::<String>("comment").cloned().unwrap_or_default()
}

/// How far a revision has come.
struct RevisionReach {
    /// VMs of the live routers that are not known to have it.
    lacking: Vec<String>,
    /// The newest revision known.
    newest: u64,
}

/// Waits until every live router has the revision, and writes which do not.
fn await_in_force(
    client: &OperatorClient,
    answer: &ApplyAnswer,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let seconds = matches.get_one::<u64>("wait").copied().unwrap_or_default();
    let reach = poll_reach(client, answer.revision, seconds * 1000 / POLL_MILLIS)?;
    if is_json(matches) {
        write_json(&report_of(answer, &reach), output)?;
    } else {
        write_reach(answer, &reach, output)?;
    }
    if reach.lacking.is_empty() {
        return Ok(());
    }
    Err(CommandFailure::NotInForce { revision: answer.revision, lacking: reach.lacking })
}

fn report_of(answer: &ApplyAnswer, reach: &RevisionReach) -> ApplyReport {
    ApplyReport {
        revision: answer.revision,
        digest: answer.digest.clone(),
        unchanged: answer.unchanged,
        lacking: reach.lacking.clone(),
        newest: reach.newest,
    }
}

fn write_reach(
    answer: &ApplyAnswer,
    reach: &RevisionReach,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let revision = answer.revision;
    let result = if answer.unchanged { "holds this already" } else { "is accepted" };
    writeln!(output, "revision {revision} {result}")?;
    if reach.newest > revision {
        writeln!(output, "revision {} has replaced it since", reach.newest)?;
    } else if reach.lacking.is_empty() {
        writeln!(output, "in force on every live router")?;
    }
    Ok(())
}

fn poll_reach(
    client: &OperatorClient,
    revision: u64,
    polls: u64,
) -> Result<RevisionReach, CommandFailure> {
    for _ in 0..polls {
        if let Ok(status) = client.status() {
            let reach = reach_of(&status, revision);
            if reach.lacking.is_empty() {
                return Ok(reach);
            }
        }
        thread::sleep(Duration::from_millis(POLL_MILLIS));
    }
    Ok(reach_of(&client.status()?, revision))
}

fn reach_of(status: &FleetStatus, revision: u64) -> RevisionReach {
    let is_lacking =
        |member: &&MemberStatus| is_live(member) && member.revision.is_none_or(|r| r < revision);
    let lacking = status.members.iter().filter(is_lacking).map(|member| member.vm.clone());
    let mut lacking: Vec<String> = lacking.collect();
    if status.revision.is_none_or(|held| held < revision) && !lacking.contains(&status.router) {
        lacking.push(status.router.clone());
    }
    let known = status.members.iter().filter_map(|member| member.revision);
    let newest = known.chain(status.revision).max().unwrap_or(revision);
    RevisionReach { lacking, newest }
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
