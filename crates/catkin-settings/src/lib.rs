//! Reads and checks router settings and the operators' declarations, both JSON with comments.
//!
//! Every error of a file is reported with its line:
//!
//! ```
//! use catkin_settings::parse_router_settings;
//!
//! let report = parse_router_settings("{ \"vm\": \"vm-1\", // a comment\n \"vmm\": 1 }", "router.json")
//!     .unwrap_err();
//! assert!(report.diagnostics[0].message.contains("unknown field `vmm`"));
//! ```
//!
//! Reading order: `declarations` and `router` (the documents), `source` and `locate` (parsing, and
//! the position of a value in a file), `issue`, `issue_list` and `report` (what is reported),
//! `check`, `check_servers` and `check_router` (checks of values), `folder` and `merge`
//! (declarations in several files).

mod check;
mod check_router;
mod check_servers;
mod declarations;
mod folder;
mod issue;
mod issue_list;
mod locate;
mod merge;
mod report;
mod router;
mod source;

pub use check::check_declarations;
pub use check_router::check_router_settings;
pub use declarations::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    ServiceRule, TeamRule, WorkKind,
};
pub use folder::{DeclarationFile, FolderError, read_declaration_files};
pub use issue::{IssueLevel, JsonPath, PathStep, SettingsIssue};
pub use merge::{DeclarationSet, parse_declaration_files, parse_declarations};
pub use report::{SettingsDiagnostic, SettingsReport};
pub use router::{LogSettings, RouterSettings, parse_router_settings};
