//! Diagnostics shown to operators, with an excerpt of the file.

use std::iter;
use std::ops::Range;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};

use crate::issue::IssueLevel;

/// An issue with its position in a file.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{message}")]
pub struct SettingsDiagnostic {
    /// Description of the issue, preceded by the path of the value unless the syntax is invalid.
    pub message: String,
    /// Name of the file.
    pub file: String,
    /// One-based line in the file.
    pub line: usize,
    /// An error makes the file unusable, a warning does not.
    pub severity: Severity,
    source_code: NamedSource<Arc<str>>,
    span: SourceSpan,
}

/// Implemented by hand because the derive macro supports only one severity for a type.
impl Diagnostic for SettingsDiagnostic {
    fn severity(&self) -> Option<Severity> {
        Some(self.severity)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(iter::once(LabeledSpan::new_with_span(None, self.span))))
    }
}

impl SettingsDiagnostic {
    pub(crate) fn new(
        file: &str,
        text: &Arc<str>,
        range: Range<usize>,
        level: IssueLevel,
        message: String,
    ) -> Self {
        let line = text.as_bytes()[..range.start].iter().filter(|byte| **byte == b'\n').count() + 1;
        let severity = match level {
            IssueLevel::Error => Severity::Error,
            IssueLevel::Warning => Severity::Warning,
        };
        Self {
            message,
            file: file.to_owned(),
            line,
            severity,
            source_code: NamedSource::new(file, Arc::clone(text)),
            span: (range.start, range.len()).into(),
        }
    }
}

/// All diagnostics of a document, in the order in which the checks found them.
#[derive(Debug, Clone, thiserror::Error, Diagnostic)]
#[error("{} found", count_problems(diagnostics.len()))]
pub struct SettingsReport {
    /// The diagnostics, including warnings.
    #[related]
    pub diagnostics: Vec<SettingsDiagnostic>,
}

fn count_problems(count: usize) -> String {
    match count {
        1 => "1 problem".to_owned(),
        _ => format!("{count} problems"),
    }
}
