//! Exit codes of the program, and the failures that they stand for.

use std::io;
use std::path::PathBuf;

use catkin_base::copy_type;
use catkin_operator::ClientError;
use catkin_settings::{FolderError, SettingsReport};

copy_type! {
    /// Result of a command, as its exit code reports it.
    pub enum ExitStatus {
        /// The command succeeded.
        Done,
        /// The command was refused or failed.
        Failed,
        /// The command line is invalid.
        Usage,
        /// The revision in force is not the base of the change.
        Conflict,
        /// The revision was accepted, but was not in force on every live router when the wait
        /// ended.
        NotInForce,
    }
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::NotInForce => 4,
        }
    }
}

/// Reason why a command did not succeed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum CommandFailure {
    /// The declarations or settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsReport),
    /// A file or folder cannot be read.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// A router refused the request, or none answered.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// No token is given.
    #[error("no operators' token given: pass --token-file or set the variable {variable}")]
    #[diagnostic(help(
        "routers store only the token's SHA-256 digest, so it cannot be read from them; ask the administrator who set it"
    ))]
    NoToken {
        /// Environment variable that may hold the token.
        variable: &'static str,
    },
    /// The file with the token cannot be read.
    #[error("cannot read the token file {}", path.display())]
    TokenFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No router is given.
    #[error("no router given: pass --router IP:PORT")]
    NoRouter,
    /// Some live routers do not have the revision.
    #[error("revision {revision} is accepted, but not in force on {}", lacking.join(", "))]
    NotInForce {
        /// Number of the revision.
        revision: u64,
        /// VMs of the routers that lack the revision.
        lacking: Vec<String>,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl CommandFailure {
    /// Returns the result of a command that failed this way.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Client(error) if error.is_conflict() => ExitStatus::Conflict,
            Self::NoToken { .. } | Self::NoRouter => ExitStatus::Usage,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
            _ => ExitStatus::Failed,
        }
    }
}
