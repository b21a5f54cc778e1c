//! What the operators' listener hands each request to.

use catkin_base::value_type;

use crate::apply::ApplyError;
use crate::documents::{
    ApplyAnswer, ApplyRequest, DrainAnswer, FleetStatus, HistoryAnswer, RefusalAnswer,
    RevisionAnswer, RollbackRequest,
};

/// Answers requests of operators, on the listener's threads.
pub trait OperatorService: Send + Sync + 'static {
    /// What this router knows of the fleet.
    fn status(&self) -> FleetStatus;

    /// The declarations in force on this router.
    fn declarations(&self) -> Result<RevisionAnswer, OperatorError>;

    /// The newest revisions.
    fn history(&self) -> Result<HistoryAnswer, OperatorError>;

    /// Puts declarations in force.
    fn apply(&self, request: ApplyRequest) -> Result<ApplyAnswer, OperatorError>;

    /// Puts an older revision in force again.
    fn rollback(&self, request: RollbackRequest) -> Result<ApplyAnswer, OperatorError>;

    /// Starts to drain this router.
    fn drain(&self) -> Result<DrainAnswer, OperatorError>;

    /// Metrics in the text exposition format.
    fn metrics(&self) -> String;

    /// Whether this router takes calls: it has declarations and does not drain.
    fn is_ready(&self) -> bool;
}

value_type! {
    /// Why a request of an operator was refused.
    #[derive(thiserror::Error)]
    pub enum OperatorError {
        /// The declarations have faults, given by path.
        #[error("the declarations have {} faults", .0.len())]
        Invalid(Vec<String>),
        /// Another revision is in force than the request was made from.
        #[error("revision {revision} is in force, which is not the base")]
        Conflict {
            /// The revision in force.
            revision: u64,
            /// What differs between the base and it, by path.
            changed: Vec<String>,
        },
        /// The revision is not kept.
        #[error("revision {0} is not kept")]
        NotFound(u64),
        /// No declarations are in force on this router.
        #[error("no declarations are in force on this router")]
        NoDeclarations,
        /// The platform does not answer; nothing was changed.
        #[error("the platform does not answer; nothing was changed")]
        Unavailable,
        /// The platform's answer was lost; the change may be in force.
        #[error("the change may be in force: repeat it with the same apply id")]
        Unconfirmed,
    }
}

impl OperatorError {
    /// The HTTP status that carries it.
    pub const fn http_status(&self) -> u16 {
        match self {
            Self::Invalid(_) => 422,
            Self::Conflict { .. } => 409,
            Self::NotFound(_) => 404,
            Self::NoDeclarations | Self::Unavailable => 503,
            Self::Unconfirmed => 504,
        }
    }

    /// The word used in answers.
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
            ApplyError::Invalid(faults) => {
                Self::Invalid(faults.iter().map(ToString::to_string).collect())
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
            OperatorError::Invalid(faults) => (None, faults),
            OperatorError::Conflict { revision, changed } => (Some(revision), changed),
            _ => (None, Vec::new()),
        };
        Self { reason, detail, revision, paths }
    }
}
