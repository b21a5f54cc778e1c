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

/// Waits until every live router has the revision, and writes which do not.
fn await_in_force(
    client: &OperatorClient,
    answer: &ApplyAnswer,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    let seconds = matches.get_one::<u64>("wait").copied().unwrap_or_default();
    let lacking = poll_lacking(client, answer.revision, seconds * 1000 / POLL_MILLIS)?;
    if is_json(matches) {
        let report = ApplyReport {
            revision: answer.revision,
            digest: answer.digest.clone(),
            unchanged: answer.unchanged,
            lacking: lacking.clone(),
        };
        write_json(&report, output)?;
    } else if answer.unchanged {
        writeln!(output, "revision {} holds this already", answer.revision)?;
    } else {
        writeln!(output, "revision {} is accepted", answer.revision)?;
    }
    if !lacking.is_empty() {
        return Err(CommandFailure::NotInForce { revision: answer.revision, lacking });
    }
    if !is_json(matches) {
        writeln!(output, "in force on every live router")?;
    }
    Ok(())
}

fn poll_lacking(
    client: &OperatorClient,
    revision: u64,
    polls: u64,
) -> Result<Vec<String>, CommandFailure> {
    for _ in 0..polls {
        let status = client.status();
        if status.is_ok_and(|status| list_lacking(&status, revision).is_empty()) {
            return Ok(Vec::new());
        }
        thread::sleep(Duration::from_millis(POLL_MILLIS));
    }
    Ok(list_lacking(&client.status()?, revision))
}

/// VMs of the live routers that are not known to have the revision.
fn list_lacking(status: &FleetStatus, revision: u64) -> Vec<String> {
    let is_lacking =
        |member: &&MemberStatus| is_live(member) && member.revision.is_none_or(|r| r < revision);
    let lacking = status.members.iter().filter(is_lacking).map(|member| member.vm.clone());
    let mut lacking: Vec<String> = lacking.collect();
    if status.revision.is_none_or(|held| held < revision) && !lacking.contains(&status.router) {
        lacking.push(status.router.clone());
    }
    lacking
}

fn is_live(member: &MemberStatus) -> bool {
    matches!(member.state.as_str(), "alive" | "suspect")
}
