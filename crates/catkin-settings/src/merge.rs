//! Merges declarations from several files and checks the result.

use std::collections::BTreeMap;

use catkin_base::document_type;

use crate::check::check_declarations;
use crate::declarations::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerRule, ServiceRule,
    TeamRule,
};
use crate::folder::DeclarationFile;
use crate::issue::{IssueLevel, JsonPath, SettingsIssue};
use crate::report::{SettingsDiagnostic, SettingsReport};
use crate::source::SourceFile;

/// Maximum number of semantic issues that are located in the files and reported.
const MAX_SHOWN_ISSUES: usize = 200;

document_type! {
    /// Declarations of one file. Any key may be missing, because another file may have it.
    #[derive(Default)]
    struct PartialDeclarations {
        #[serde(default)]
        deployment: Option<String>,
        #[serde(default)]
        classes: BTreeMap<String, ClassRule>,
        #[serde(default)]
        default_class: Option<String>,
        #[serde(default)]
        models: BTreeMap<String, ModelRule>,
        #[serde(default)]
        services: BTreeMap<String, ServiceRule>,
        #[serde(default)]
        servers: BTreeMap<String, ServerRule>,
        #[serde(default)]
        teams: BTreeMap<String, TeamRule>,
        #[serde(default)]
        placement: Option<PlacementRules>,
        #[serde(default)]
        limits: Option<LimitRules>,
    }
}

/// Declarations without errors, and the warnings about them.
#[derive(Debug, Clone)]
pub struct DeclarationSet {
    /// The merged declarations.
    pub declarations: FleetDeclarations,
    /// Warnings, each with its position in a file.
    pub warnings: Vec<SettingsDiagnostic>,
}

/// Reads declarations from one text.
///
/// Fails with all errors and warnings, each with its position. `file_name` is used in diagnostics
/// only.
pub fn parse_declarations(text: &str, file_name: &str) -> Result<DeclarationSet, SettingsReport> {
    let file = DeclarationFile { name: file_name.to_owned(), text: text.to_owned() };
    parse_declaration_files(&[file])
}

/// Reads and merges declarations from several files.
///
/// Fails with all errors and warnings, each with its file and position.
pub fn parse_declaration_files(
    files: &[DeclarationFile],
) -> Result<DeclarationSet, SettingsReport> {
    let sources: Vec<SourceFile> =
        files.iter().map(|file| SourceFile::new(&file.name, &file.text)).collect();
    let mut partials = Vec::new();
    let mut diagnostics = Vec::new();
    for source in &sources {
        match source.read::<PartialDeclarations>() {
            Ok(partial) => partials.push(partial),
            Err(errors) => diagnostics.extend(errors),
        }
    }
    if !diagnostics.is_empty() {
        return Err(SettingsReport { diagnostics });
    }
    let declarations = merge_declarations(partials, &sources)?;
    let issues = check_declarations(&declarations);
    let has_errors = issues.iter().any(|issue| issue.level == IssueLevel::Error);
    let diagnostics = locate_issues(&issues, &sources);
    if has_errors {
        return Err(SettingsReport { diagnostics });
    }
    Ok(DeclarationSet { declarations, warnings: diagnostics })
}

fn locate_issues(issues: &[SettingsIssue], sources: &[SourceFile]) -> Vec<SettingsDiagnostic> {
    let shown = issues.iter().take(MAX_SHOWN_ISSUES);
    shown.filter_map(|issue| Some(find_source(issue, sources)?.locate_issue(issue))).collect()
}

/// Returns the file that contains the longest prefix of the issue's path.
fn find_source<'a>(issue: &SettingsIssue, sources: &'a [SourceFile]) -> Option<&'a SourceFile> {
    let mut path = issue.path.clone();
    while !path.steps.is_empty() {
        if let Some(source) = sources.iter().find(|source| source.contains(&path)) {
            return Some(source);
        }
        path.steps.pop();
    }
    sources.first()
}

/// Merges partial declarations and collects diagnostics of duplicate and missing keys.
struct DeclarationMerger<'a> {
    sources: &'a [SourceFile],
    diagnostics: Vec<SettingsDiagnostic>,
}

fn merge_declarations(
    partials: Vec<PartialDeclarations>,
    sources: &[SourceFile],
) -> Result<FleetDeclarations, SettingsReport> {
    let mut merger = DeclarationMerger { sources, diagnostics: Vec::new() };
    let mut merged = PartialDeclarations::default();
    for (index, partial) in partials.into_iter().enumerate() {
        merger.set_once(index, "deployment", &mut merged.deployment, partial.deployment);
        merger.set_once(index, "default_class", &mut merged.default_class, partial.default_class);
        merger.set_once(index, "placement", &mut merged.placement, partial.placement);
        merger.set_once(index, "limits", &mut merged.limits, partial.limits);
        merger.add_all(index, "classes", &mut merged.classes, partial.classes);
        merger.add_all(index, "models", &mut merged.models, partial.models);
        merger.add_all(index, "services", &mut merged.services, partial.services);
        merger.add_all(index, "servers", &mut merged.servers, partial.servers);
        merger.add_all(index, "teams", &mut merged.teams, partial.teams);
    }
    merger.finish(merged)
}

impl DeclarationMerger<'_> {
    fn set_once<T>(&mut self, index: usize, key: &str, target: &mut Option<T>, value: Option<T>) {
        let Some(value) = value else { return };
        if target.is_some() {
            self.report_duplicate(index, JsonPath::from_keys(&[key]));
        }
        *target = Some(value);
    }

    fn add_all<T>(
        &mut self,
        index: usize,
        key: &str,
        target: &mut BTreeMap<String, T>,
        values: BTreeMap<String, T>,
    ) {
        for (name, value) in values {
            if target.contains_key(&name) {
                self.report_duplicate(index, JsonPath::from_keys(&[key, &name]));
            }
            target.insert(name, value);
        }
    }

    fn report_duplicate(&mut self, index: usize, path: JsonPath) {
        let issue = SettingsIssue::error(path, "already declared in another file");
        self.diagnostics.push(self.sources[index].locate_issue(&issue));
    }

    fn require<T>(&mut self, key: &str, value: Option<T>) -> Option<T> {
        if value.is_none()
            && let Some(source) = self.sources.first()
        {
            let issue = SettingsIssue::error(JsonPath::from_keys(&[key]), "not declared");
            self.diagnostics.push(source.locate_issue(&issue));
        }
        value
    }

    fn finish(mut self, merged: PartialDeclarations) -> Result<FleetDeclarations, SettingsReport> {
        let deployment = self.require("deployment", merged.deployment);
        let default_class = self.require("default_class", merged.default_class);
        let placement = self.require("placement", merged.placement);
        let limits = self.require("limits", merged.limits);
        let required = (deployment, default_class, placement, limits);
        let (Some(deployment), Some(default_class), Some(placement), Some(limits)) = required
        else {
            return Err(SettingsReport { diagnostics: self.diagnostics });
        };
        if !self.diagnostics.is_empty() {
            return Err(SettingsReport { diagnostics: self.diagnostics });
        }
        Ok(FleetDeclarations {
            deployment,
            classes: merged.classes,
            default_class,
            models: merged.models,
            services: merged.services,
            servers: merged.servers,
            teams: merged.teams,
            placement,
            limits,
        })
    }
}
