//! Whether a request may have run on a backend server.

use crate::copy_type;

copy_type! {
    /// Whether a request may have run on a backend server.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum RunVerdict {
        /// No byte of the request was sent, or the server declared that it did not run it.
        #[serde(rename = "no")]
        NotRun,
        /// The request was sent, and it is unknown whether it ran.
        #[serde(rename = "maybe")]
        MayHaveRun,
        /// A server ran the request, completely or in part.
        #[serde(rename = "yes")]
        HasRun,
    }
}

impl RunVerdict {
    /// Returns the word for the verdict in refusals: `no`, `maybe` or `yes`.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::MayHaveRun => "maybe",
            Self::HasRun => "yes",
        }
    }

    /// Returns the verdict on a request after two attempts, which is the stronger of both.
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns whether another attempt is safe: always if the request was not run, otherwise only
    /// if it is idempotent.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        self == Self::NotRun || idempotent
    }
}
