//! The deployments that the demo can run, scaled down to one machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use catkin_base::{copy_type, digest_hex, value_type};
use catkin_settings::{
    ClassRule, FleetDeclarations, LimitRules, ModelRule, PlacementRules, ServerKind, ServerRule,
    ServiceRule, TeamRule, WorkKind,
};

/// Model that every engine serves.
pub(crate) const MODEL: &str = "estimator";
/// Class of requests with short answers.
pub(crate) const QUICK_CLASS: &str = "quick";
/// Class of requests with long answers.
pub(crate) const LONG_CLASS: &str = "long";
/// Maximum number of requests that one engine runs at once.
pub(crate) const ENGINE_SLOTS: u32 = 16;
/// Maximum number of calls that one plain service runs at once.
pub(crate) const SERVICE_SLOTS: u32 = 32;
/// Path on which a plain service answers look-ups.
const LOOK_UP_PATH: &str = "/lookup";

copy_type! {
    /// A deployment that the demo can run.
    pub(crate) enum DemoDeployment {
        /// Quote assistant for die casters in four failure domains.
        Swiss,
        /// Billing for small firms in three failure domains.
        Glenmore,
    }
}

value_type! {
    /// Size and settings of a deployment.
    pub(crate) struct DeploymentShape {
        pub(crate) name: &'static str,
        pub(crate) region: &'static str,
        pub(crate) domains: Vec<&'static str>,
        pub(crate) routers: usize,
        pub(crate) engines: usize,
        pub(crate) services: usize,
        /// Name of the plain service, whose calls must not be repeated.
        pub(crate) service: &'static str,
        pub(crate) teams: Vec<&'static str>,
        pub(crate) reuse_weight_percent: u32,
        pub(crate) skew_weight_percent: u32,
        pub(crate) bound_percent: u32,
    }
}

impl DemoDeployment {
    pub(crate) fn shape(self) -> DeploymentShape {
        match self {
            Self::Swiss => DeploymentShape {
                name: "swiss",
                region: "ch",
                domains: vec!["aarau", "biel", "chur", "davos"],
                routers: 4,
                engines: 10,
                services: 4,
                service: "quotes",
                teams: vec![
                    "alpguss", "bernform", "casting", "drucker", "eisen", "form", "guss", "hof",
                    "inn", "jura",
                ],
                reuse_weight_percent: 200,
                skew_weight_percent: 50,
                bound_percent: 150,
            },
            Self::Glenmore => DeploymentShape {
                name: "glenmore",
                region: "ie",
                domains: vec!["dublin", "cork", "galway"],
                routers: 3,
                engines: 12,
                services: 3,
                service: "ledger",
                teams: vec![
                    "arklow", "bray", "cavan", "dingle", "ennis", "fermoy", "gorey", "howth",
                    "inch", "kells",
                ],
                reuse_weight_percent: 100,
                skew_weight_percent: 200,
                bound_percent: 125,
            },
        }
    }
}

impl DeploymentShape {
    pub(crate) fn domain(&self, index: usize) -> &'static str {
        self.domains[index % self.domains.len()]
    }

    /// Returns the bearer token of a team.
    pub(crate) fn token(team: &str) -> String {
        format!("token-of-{team}")
    }
}

/// Builds the declarations of a deployment with servers at these addresses.
pub(crate) fn declare_fleet(
    shape: &DeploymentShape,
    engines: &[SocketAddr],
    services: &[SocketAddr],
) -> FleetDeclarations {
    let engines = engines.iter().enumerate().map(|(index, address)| {
        (format!("engine-{index}"), declare_engine(shape, index, *address))
    });
    let services = services.iter().enumerate().map(|(index, address)| {
        (format!("{}-{index}", shape.service), declare_service(shape, index, *address))
    });
    FleetDeclarations {
        deployment: shape.name.to_owned(),
        classes: declare_classes(),
        default_class: QUICK_CLASS.to_owned(),
        models: BTreeMap::from([(MODEL.to_owned(), declare_model())]),
        services: BTreeMap::from([(shape.service.to_owned(), declare_plain_service())]),
        servers: engines.chain(services).collect(),
        teams: shape.teams.iter().map(|team| declare_team(team)).collect(),
        placement: PlacementRules {
            bound_percent: shape.bound_percent,
            prefill_micros_per_token: 200,
            reuse_weight_percent: shape.reuse_weight_percent,
            skew_weight_percent: shape.skew_weight_percent,
            long_share_percent: 75,
        },
        limits: LimitRules {
            retry_percent: 10,
            crash_strikes: 2,
            quarantine_millis: 60_000,
            hold_down_millis: 2_000,
            loads_at_once: 2,
        },
    }
}

fn declare_classes() -> BTreeMap<String, ClassRule> {
    let quick = ClassRule {
        work: WorkKind::Quick,
        deadline_millis: 10_000,
        priority: 1,
        expected_tokens: 16,
    };
    let long = ClassRule {
        work: WorkKind::Long,
        deadline_millis: 60_000,
        priority: 5,
        expected_tokens: 64,
    };
    BTreeMap::from([(QUICK_CLASS.to_owned(), quick), (LONG_CLASS.to_owned(), long)])
}

fn declare_model() -> ModelRule {
    ModelRule { adapters: Vec::new(), version: 1 }
}

fn declare_plain_service() -> ServiceRule {
    ServiceRule { idempotent: false, look_up_path: Some(LOOK_UP_PATH.to_owned()) }
}

fn declare_engine(shape: &DeploymentShape, index: usize, address: SocketAddr) -> ServerRule {
    ServerRule {
        kind: ServerKind::Engine,
        address,
        domain: shape.domain(index).to_owned(),
        region: shape.region.to_owned(),
        models: vec![MODEL.to_owned()],
        service: None,
        weight: 1,
        slots: ENGINE_SLOTS,
        checks_fencing: false,
        resumes: true,
    }
}

fn declare_service(shape: &DeploymentShape, index: usize, address: SocketAddr) -> ServerRule {
    ServerRule {
        kind: ServerKind::Service,
        models: Vec::new(),
        service: Some(shape.service.to_owned()),
        slots: SERVICE_SLOTS,
        resumes: false,
        ..declare_engine(shape, index, address)
    }
}

fn declare_team(team: &str) -> (String, TeamRule) {
    let rule = TeamRule {
        token_digest: digest_hex(DeploymentShape::token(team).as_bytes()),
        weight: 1,
        max_open: 400,
        classes: Vec::new(),
    };
    (team.to_owned(), rule)
}
