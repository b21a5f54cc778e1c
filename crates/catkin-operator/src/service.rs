//! Interface between the operators' listener and the router.

use catkin_base::value_type;

use crate::apply::ApplyError;
use crate::documents::{
    ApplyAnswer, ApplyRequest, DrainAnswer, FleetStatus, HistoryAnswer, RefusalAnswer,
    RevisionAnswer, RollbackRequest,
};

/// Answers requests of operators. The listener calls these methods on its worker threads; they may
/// block.
pub trait OperatorService: Send + Sync + 'static {
    /// Returns the state of the fleet as this router sees it.
    fn status(&self) -> FleetStatus;

    /// Returns the declarations in force on this router.
    fn declarations(&self) -> Result<RevisionAnswer, OperatorError>;

    /// Reads the heads of the newest revisions.
    fn history(&self) -> Result<HistoryAnswer, OperatorError>;

    /// Puts declarations in force.
    fn apply(&self, request: ApplyRequest) -> Result<ApplyAnswer, OperatorError>;

    /// Puts the declarations of an older revision in force again.
    fn rollback(&self, request: RollbackRequest) -> Result<ApplyAnswer, OperatorError>;

    /// Starts to drain this router.
    fn drain(&self) -> Result<DrainAnswer, OperatorError>;

    /// Returns the metrics in the Prometheus text exposition format.
    fn metrics(&self) -> String;

    /// Returns whether this router accepts calls: it has joined the fleet, has declarations and is
    /// not draining.
    fn is_ready(&self) -> bool;
}

value_type! {
    /// Reason why a request of an operator was refused.
    #[derive(thiserror::Error)]
    pub enum OperatorError {
        /// The declarations are invalid; each error is described with its path.
        #[error("the declarations have {} faults", .0.len())]
        Invalid(Vec<String>),
        /// The revision in force is not the base of the change.
        #[error("revision {revision} is in force, which is not the base")]
        Conflict {
            /// Number of the revision in force.
            revision: u64,
            /// Paths that differ between the base and the revision in force.
            changed: Vec<String>,
        },
        /// The revision of a rollback is not in the history, or its chunks cannot be read.
        #[error("revision {0} is not kept")]
        NotFound(u64),
        /// No declarations are in force on this router.
        #[error("no declarations are in force on this router")]
        NoDeclarations,
        /// A platform call failed; the revision in force was not changed.
        #[error("the platform does not answer; nothing was changed")]
        Unavailable,
        /// The platform did not confirm the write; the change may be in force.
        #[error("the change may be in force: repeat it with the same apply id")]
        Unconfirmed,
    }
}

impl OperatorError {
    /// Returns the HTTP status of the answer.
    pub const fn http_status(&self) -> u16 {
        match self {
            Self::Invalid(_) => 422,
            Self::Conflict { .. } => 409,
            Self::NotFound(_) => 404,
            Self::NoDeclarations | Self::Unavailable => 503,
            Self::Unconfirmed => 504,
        }
    }

    /// Returns the word in the answer's field `reason`.
    pub const fn as_word(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid",
            Self::Conflict { .. } => "conflict",
            Self::NotFound(_) => "not-found",
            Self::NoDeclarations => "no-declarations",
            Self::Unavailable => "unavailable",
            Self::Unconfirmed => "unsettled",
        }
    }
}

impl From<ApplyError> for OperatorError {
    fn from(error: ApplyError) -> Self {
        match error {
            ApplyError::Invalid(errors) => {
                Self::Invalid(errors.iter().map(ToString::to_string).collect())
            }
            ApplyError::Conflict { revision, changed } => Self::Conflict { revision, changed },
            ApplyError::UnknownRevision(revision) => Self::NotFound(revision),
            ApplyError::Unavailable(_) => Self::Unavailable,
            ApplyError::Unconfirmed => Self::Unconfirmed,
        }
    }
}

impl From<OperatorError> for RefusalAnswer {
    fn from(error: OperatorError) -> Self {
        let reason = error.as_word().to_owned();
        let detail = error.to_string();
        let (revision, paths) = match error {
            OperatorError::Invalid(errors) => (None, errors),
            OperatorError::Conflict { revision, changed } => (Some(revision), changed),
            _ => (None, Vec::new()),
        };
        Self { reason, detail, revision, paths }
    }
}
