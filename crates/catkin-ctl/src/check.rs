//! Command `check`: validates declarations or router settings without a router.

use std::fs;
use std::io::Write;
use std::path::Path;

use catkin_base::document_type;
use catkin_settings::{
    DeclarationSet, FolderError, SettingsDiagnostic, SettingsReport, parse_declaration_files,
    parse_router_settings, read_declaration_files,
};
use clap::ArgMatches;
use miette::Severity;

use crate::failure::CommandFailure;
use crate::run::{is_json, write_json, write_report};

document_type! {
    /// One problem of a file, as JSON.
    struct ProblemEntry {
        file: String,
        line: usize,
        severity: String,
        message: String,
    }
}

/// Checks the declarations or router settings at `path`, and writes the problems.
pub(crate) fn check_path(
    path: &Path,
    matches: &ArgMatches,
    output: &mut impl Write,
    errors: &mut impl Write,
) -> Result<(), CommandFailure> {
    let kind = matches.get_one::<String>("kind").map(String::as_str);
    let checked = match kind {
        Some("router") => check_router_file(path)?,
        _ => parse_declaration_files(&read_declaration_files(path)?).map(|set| set.warnings),
    };
    if is_json(matches) {
        let diagnostics = match &checked {
            Ok(warnings) => warnings,
            Err(report) => &report.diagnostics,
        };
        let entries: Vec<ProblemEntry> = diagnostics.iter().map(build_problem_entry).collect();
        write_json(&entries, output)?;
        checked.map(|_| ())?;
        return Ok(());
    }
    let warnings = checked?;
    write_warnings(&warnings, errors)?;
    writeln!(output, "{} is valid; warnings: {}", path.display(), warnings.len())?;
    Ok(())
}

/// Reads the declarations at `path`, and writes warnings. Fails if they are invalid.
pub(crate) fn read_declarations(
    path: &Path,
    errors: &mut impl Write,
) -> Result<DeclarationSet, CommandFailure> {
    let set = parse_declaration_files(&read_declaration_files(path)?)?;
    write_warnings(&set.warnings, errors)?;
    Ok(set)
}

fn check_router_file(
    path: &Path,
) -> Result<Result<Vec<SettingsDiagnostic>, SettingsReport>, CommandFailure> {
    let text = fs::read_to_string(path)
        .map_err(|source| FolderError::Unreadable { path: path.to_owned(), source })?;
    let parsed = parse_router_settings(&text, &path.display().to_string());
    Ok(parsed.map(|_| Vec::new()))
}

fn write_warnings(warnings: &[SettingsDiagnostic], errors: &mut impl Write) -> std::io::Result<()> {
    warnings.iter().try_for_each(|warning| write_report(warning, errors))
}

fn build_problem_entry(problem: &SettingsDiagnostic) -> ProblemEntry {
    let severity = match problem.severity {
        Severity::Error => "error",
        Severity::Warning | Severity::Advice => "warning",
    };
    ProblemEntry {
        file: problem.file.clone(),
        line: problem.line,
        severity: severity.to_owned(),
        message: problem.message.clone(),
    }
}
