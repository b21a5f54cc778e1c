//! Exit codes and the failures that lead to them.

use std::io;
use std::path::PathBuf;

use catkin_base::copy_type;
use catkin_operator::ClientError;
use catkin_settings::{FolderError, SettingsReport};

copy_type! {
    /// How a command ended.
    pub enum ExitVerdict {
        /// It did what was asked.
        Done,
        /// It was refused or failed.
        Failed,
        /// The command line is wrong.
        Usage,
        /// Another revision is in force than the base.
        Conflict,
        /// The revision is accepted but not in force on every live router in time.
        NotInForce,
    }
}

impl ExitVerdict {
    /// The process's exit code.
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

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum CommandFailure {
    /// The declarations or settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsReport),
    /// A file cannot be read.
    #[error(transparent)]
    Folder(#[from] FolderError),
    /// A router refused or none answered.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The token cannot be had.
    #[error("no token: give --token-file or set {variable}")]
    #[diagnostic(help("routers know only the token's SHA-256 digest; ask whoever set it"))]
    NoToken {
        /// The environment variable.
        variable: &'static str,
    },
    /// The token's file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    TokenFile {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// No router is named.
    #[error("no router: give --router IP:PORT")]
    NoRouter,
    /// Some live routers do not have the revision.
    #[error("revision {revision} is accepted, but not in force on {}", lacking.join(", "))]
    NotInForce {
        /// The revision.
        revision: u64,
        /// VMs of the routers that lack it.
        lacking: Vec<String>,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl CommandFailure {
    /// The verdict that the failure leads to.
    pub(crate) fn verdict(&self) -> ExitVerdict {
        match self {
            Self::Client(error) if error.is_conflict() => ExitVerdict::Conflict,
            Self::NoToken { .. } | Self::NoRouter => ExitVerdict::Usage,
            Self::NotInForce { .. } => ExitVerdict::NotInForce,
            _ => ExitVerdict::Failed,
        }
    }
}
