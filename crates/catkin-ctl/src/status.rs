//! Commands `status` and `history`: write the state of the fleet and the newest revisions.

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

/// Number of characters of a digest in the history.
const SHORT_DIGEST_CHARS: usize = 12;

/// Latest time since the Unix epoch that can be formatted as an HTTP date: the end of the year
/// 9999.
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
    let revision = format_optional(status.revision);
    let draining = if status.draining { ", draining" } else { "" };
    writeln!(output, "{} in {}: revision {revision}{draining}", status.router, status.domain)?;
    writeln!(output, "\n{}", build_member_table(&status.members).render())?;
    writeln!(output, "{}", build_server_table(&status.servers).render())?;
    if !status.leases.is_empty() {
        writeln!(output, "{}", build_lease_table(&status.leases).render())?;
    }
    if !status.quarantine.is_empty() {
        writeln!(output, "{}", build_quarantine_table(&status.quarantine).render())?;
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
    let columns = ["REVISION", "BASE", "APPLIED", "AUTHOR", "DIGEST", "COMMENT"];
    let mut table = TextTable::new(&columns);
    for head in &history.revisions {
        table.add_row(build_history_row(head));
    }
    write!(output, "{}", table.render())?;
    Ok(())
}

fn build_history_row(head: &RevisionHead) -> [String; 6] {
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

fn build_member_table(members: &[MemberStatus]) -> TextTable {
    let mut table = TextTable::new(&["ROUTER", "STATE", "DOMAIN", "REVISION"]);
    for member in members {
        table.add_row([
            member.vm.clone(),
            member.state.clone(),
            member.domain.clone(),
            format_optional(member.revision),
        ]);
    }
    table
}

fn build_server_table(servers: &[ServerStatus]) -> TextTable {
    let mut table = TextTable::new(&["SERVER", "STATE", "OWNER", "OPEN", "BOUND", "NO NEW WORK"]);
    for server in servers {
        table.add_row([
            server.name.clone(),
            server.state.clone(),
            server.owner.clone(),
            server.open.to_string(),
            server.bound.to_string(),
            format_closed_reason(server).to_owned(),
        ]);
    }
    table
}

fn format_closed_reason(server: &ServerStatus) -> &'static str {
    match (server.leaving, server.held_down) {
        (true, _) => "leaving",
        (false, true) => "held down",
        (false, false) => "",
    }
}

fn build_lease_table(leases: &[LeaseStatus]) -> TextTable {
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

fn build_quarantine_table(entries: &[QuarantineStatus]) -> TextTable {
    let mut table = TextTable::new(&["QUARANTINED REQUEST", "STRIKES", "LEFT"]);
    for entry in entries {
        let strikes = entry.strikes.to_string();
        table.add_row([entry.digest.clone(), strikes, format_seconds(entry.left_millis)]);
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

fn format_optional(number: Option<u64>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

fn format_seconds(millis: u64) -> String {
    format!("{:.1} s", millis as f64 / 1000.0)
}
