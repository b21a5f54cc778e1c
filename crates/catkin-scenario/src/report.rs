//! What a run of a scenario measured and which expectations failed.

use std::collections::BTreeMap;
use std::fmt::Write;

use miette::{Diagnostic, NamedSource, SourceSpan};

use crate::script::{ScenarioMeasure, ScriptExpectation};

/// What a run of a scenario measured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioReport {
    /// Name of the file.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// Every measure.
    pub values: BTreeMap<ScenarioMeasure, u64>,
    /// What failed.
    pub failed: Vec<FailedExpectation>,
}

/// An expectation that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedExpectation {
    /// What was measured.
    pub measure: ScenarioMeasure,
    /// Its value.
    pub value: u64,
    /// The expectation; `None` if it is one that holds in every scenario.
    pub expectation: Option<ScriptExpectation>,
}

/// A failed expectation as it is shown.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(help("replay it with: catkin-scenario --seed {seed} {name}"))]
pub struct ExpectationError {
    message: String,
    seed: u64,
    name: String,
    #[source_code]
    source_code: NamedSource<String>,
    #[label("expected here")]
    span: Option<SourceSpan>,
}

impl ScenarioReport {
    /// Whether every expectation held.
    pub fn passed(&self) -> bool {
        self.failed.is_empty()
    }

    /// The value of a measure.
    pub fn value(&self, measure: ScenarioMeasure) -> u64 {
        self.values.get(&measure).copied().unwrap_or(0)
    }

    /// The failures as they are shown; `text` is the file's content.
    pub fn errors(&self, text: &str) -> Vec<ExpectationError> {
        self.failed.iter().map(|failed| self.to_error(failed, text)).collect()
    }

    /// One line for each measure that is not zero.
    pub fn summary(&self) -> String {
        let mut lines = String::new();
        for (measure, value) in self.values.iter().filter(|(_, value)| **value != 0) {
            // Writing to a string does not fail.
            let _ = writeln!(lines, "  {:<18} {value}", measure.as_word());
        }
        lines
    }

    fn to_error(&self, failed: &FailedExpectation, text: &str) -> ExpectationError {
        ExpectationError {
            message: failed.describe(),
            seed: self.seed,
            name: self.name.clone(),
            source_code: NamedSource::new(&self.name, text.to_owned()),
            span: failed.expectation.as_ref().map(|expectation| expectation.span),
        }
    }
}

impl FailedExpectation {
    /// One sentence for a person.
    pub fn describe(&self) -> String {
        let word = self.measure.as_word();
        match &self.expectation {
            Some(expectation) => {
                let (sign, limit) = (expectation.compare.as_sign(), expectation.limit);
                format!("expected {word} {sign} {limit}, it is {}", self.value)
            }
            None => format!("{word} must be 0 in every scenario, it is {}", self.value),
        }
    }
}
