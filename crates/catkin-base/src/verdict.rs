//! What is known of whether a request ran.

use crate::copy_type;

copy_type! {
    /// Whether a request may have run on a backend server.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum RunVerdict {
        /// No byte of it reached a server, or the server said that it was not run.
        #[serde(rename = "no")]
        NotRun,
        /// It was sent and nothing tells whether it ran.
        #[serde(rename = "maybe")]
        MayHaveRun,
        /// A server ran it, in whole or in part.
        #[serde(rename = "yes")]
        HasRun,
    }
}

impl RunVerdict {
    /// The word used in refusals: `no`, `maybe` or `yes`.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::MayHaveRun => "maybe",
            Self::HasRun => "yes",
        }
    }

    /// The verdict on a request after two attempts.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// Whether another attempt is safe: always if it was not run, else only if idempotent.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        self == Self::NotRun || idempotent
    }
}
