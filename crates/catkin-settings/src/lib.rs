//! Process settings and the operators' declarations, in JSON with comments.

mod declarations;
mod router;

pub use declarations::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    ServiceRule, TeamRule, WorkKind,
};
pub use router::{LogSettings, RouterSettings};
