//! Writes what a router knows of the fleet, and the history.

use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use catkin_operator::{
    FleetStatus, HistoryAnswer, LeaseStatus, MemberStatus, PlatformStatus, QuarantineStatus,
    RevisionHead, ServerStatus,
};
use clap::ArgMatches;

use crate::failure::CommandFailure;
use crate::run::{is_json, write_json};
use crate::table::TextTable;

/// Characters of a digest that are shown.
const SHORT_DIGEST_CHARS: usize = 12;

/// Latest time since 1970 that can be written as a date: the end of the year 9999.
const LATEST_DATE: Duration = Duration::from_secs(253_402_300_799);

/// Writes the state of the fleet.
pub(crate) fn write_status(
    status: &FleetStatus,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    if is_json(matches) {
        return write_json(status, output);
    }
    let revision = optional(status.revision);
    let draining = if status.draining { ", draining" } else { "" };
    writeln!(output, "{} in {}: revision {revision}{draining}", status.router, status.domain)?;
    writeln!(output, "\n{}", member_table(&status.members).render())?;
    writeln!(output, "{}", server_table(&status.servers).render())?;
    if !status.leases.is_empty() {
        writeln!(output, "{}", lease_table(&status.leases).render())?;
    }
    if !status.quarantine.is_empty() {
        writeln!(output, "{}", quarantine_table(&status.quarantine).render())?;
    }
    write!(output, "{}", render_platform(&status.platform))?;
    Ok(())
}

/// Writes the newest revisions.
pub(crate) fn write_history(
    history: &HistoryAnswer,
    matches: &ArgMatches,
    output: &mut impl Write,
) -> Result<(), CommandFailure> {
    if is_json(matches) {
        return write_json(history, output);
    }
    let heads = ["REVISION", "BASE", "APPLIED", "AUTHOR", "DIGEST", "COMMENT"];
    let mut table = TextTable::new(&heads);
    for head in &history.revisions {
        table.add_row(history_row(head));
    }
    write!(output, "{}", table.render())?;
    Ok(())
}

fn history_row(head: &RevisionHead) -> [String; 6] {
    let applied = Duration::from_millis(head.applied_unix_millis).min(LATEST_DATE);
    [
        head.revision.to_string(),
        head.base.to_string(),
        httpdate::fmt_http_date(UNIX_EPOCH + applied),
        head.author.clone(),
        head.digest.chars().take(SHORT_DIGEST_CHARS).collect(),
        head.comment.clone(),
    ]
}

fn member_table(members: &[MemberStatus]) -> TextTable {
    let mut table = TextTable::new(&["ROUTER", "STATE", "DOMAIN", "REVISION"]);
    for member in members {
        table.add_row([
            member.vm.clone(),
            member.state.clone(),
            member.domain.clone(),
            optional(member.revision),
        ]);
    }
    table
}

fn server_table(servers: &[ServerStatus]) -> TextTable {
    let mut table = TextTable::new(&["SERVER", "STATE", "OWNER", "OPEN", "BOUND", "NO NEW WORK"]);
    for server in servers {
        table.add_row([
            server.name.clone(),
            server.state.clone(),
            server.owner.clone(),
            server.open.to_string(),
            server.bound.to_string(),
            closed_reason(server).to_owned(),
        ]);
    }
    table
}

fn closed_reason(server: &ServerStatus) -> &'static str {
    match (server.leaving, server.held_down) {
        (true, _) => "leaving",
        (false, true) => "held down",
        (false, false) => "",
    }
}

fn lease_table(leases: &[LeaseStatus]) -> TextTable {
    let mut table = TextTable::new(&["LEASE", "HOLDER", "FENCE"]);
    for lease in leases {
        table.add_row([
            lease.name.clone(),
            lease.holder.clone().unwrap_or_else(|| "-".to_owned()),
            lease.fence.to_string(),
        ]);
    }
    table
}

fn quarantine_table(entries: &[QuarantineStatus]) -> TextTable {
    let mut table = TextTable::new(&["QUARANTINED REQUEST", "STRIKES", "LEFT"]);
    for entry in entries {
        let strikes = entry.strikes.to_string();
        table.add_row([entry.digest.clone(), strikes, seconds_text(entry.left_millis)]);
    }
    table
}

fn render_platform(platform: &PlatformStatus) -> String {
    let mut table = TextTable::new(&["PLATFORM CALLS", "COUNT"]);
    for (kind, count) in &platform.calls {
        table.add_row([kind.clone(), count.to_string()]);
    }
    table.add_row(["failed".to_owned(), platform.failed.to_string()]);
    table.add_row(["held back".to_owned(), platform.held_back.to_string()]);
    let health = if platform.healthy { "answers" } else { "does not answer" };
    format!("The platform {health}.\n{}", table.render())
}

fn optional(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

fn seconds_text(millis: u64) -> String {
    format!("{:.1} s", millis as f64 / 1000.0)
}
