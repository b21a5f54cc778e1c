//! Result of a scenario run: the measured values and the failed expectations.

use std::collections::BTreeMap;
use std::fmt::Write;

use miette::{Diagnostic, NamedSource, SourceSpan};

use crate::script::{ScenarioMeasure, ScriptExpectation};

/// Result of a scenario run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScenarioReport {
    /// Name of the scenario file.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// Value of every measure at the end of the run.
    pub values: BTreeMap<ScenarioMeasure, u64>,
    /// Expectations that failed, in the order in which they were checked.
    pub failed: Vec<FailedExpectation>,
}

/// An expectation that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedExpectation {
    /// The measure.
    pub measure: ScenarioMeasure,
    /// Measured value.
    pub value: u64,
    /// The expectation in the script; `None` for a measure of [`ScenarioMeasure::MUST_BE_ZERO`].
    pub expectation: Option<ScriptExpectation>,
}

/// Diagnostic for a failed expectation, with its position in the scenario file.
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
    /// Returns whether every expectation held.
    pub fn passed(&self) -> bool {
        self.failed.is_empty()
    }

    /// Value of a measure at the end of the run.
    pub fn value(&self, measure: ScenarioMeasure) -> u64 {
        self.values.get(&measure).copied().unwrap_or(0)
    }

    /// Diagnostics of the failed expectations; `text` is the content of the scenario file.
    pub fn errors(&self, text: &str) -> Vec<ExpectationError> {
        self.failed.iter().map(|failed| self.to_error(failed, text)).collect()
    }

    /// Lists the measures that are not zero, one per line.
    pub fn summary(&self) -> String {
        let mut lines = String::new();
        for (measure, value) in self.values.iter().filter(|(_, value)| **value != 0) {
            // Writing to a `String` cannot fail.
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
    /// Describes the failure in one sentence.
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
