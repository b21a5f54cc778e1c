//! Guards against example files that the current code rejects, or that no longer describe the
//! deployments.

use std::path::{Path, PathBuf};

use catkin_settings::{
    FleetDeclarations, ServerKind, parse_declaration_files, parse_router_settings,
    read_declaration_files,
};

fn examples_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn read_example(deployment: &str) -> FleetDeclarations {
    let folder = examples_folder().join(deployment).join("declarations");
    let files = read_declaration_files(&folder).expect("the example is readable");
    let set = parse_declaration_files(&files).expect("the example is valid");
    set.declarations
}

fn count_servers(declarations: &FleetDeclarations, kind: ServerKind) -> usize {
    declarations.servers.values().filter(|server| server.kind == kind).count()
}

fn count_domains(declarations: &FleetDeclarations) -> usize {
    let domains = declarations.servers.values().map(|server| server.domain.as_str());
    domains.collect::<std::collections::BTreeSet<_>>().len()
}

#[test]
fn swiss_example_matches_the_deployment_and_weighs_cache_reuse_more() {
    let declarations = read_example("swiss");

    assert_eq!(count_servers(&declarations, ServerKind::Engine), 10);
    assert_eq!(count_servers(&declarations, ServerKind::Service), 4);
    assert_eq!((count_domains(&declarations), declarations.teams.len()), (4, 10));
    let placement = declarations.placement;
    assert!(placement.reuse_weight_percent > placement.skew_weight_percent);
}

#[test]
fn glenmore_example_matches_the_deployment_and_weighs_low_skew_more() {
    let declarations = read_example("glenmore");

    assert_eq!(count_servers(&declarations, ServerKind::Engine), 12);
    assert_eq!(count_servers(&declarations, ServerKind::Service), 3);
    assert_eq!((count_domains(&declarations), declarations.teams.len()), (3, 10));
    let placement = declarations.placement;
    assert!(placement.skew_weight_percent > placement.reuse_weight_percent);
}

#[test]
fn router_settings_of_both_examples_are_valid() {
    for deployment in ["swiss", "glenmore"] {
        let path = examples_folder().join(deployment).join("router.json");
        let text = std::fs::read_to_string(&path).expect("the example is readable");

        let settings = parse_router_settings(&text, "router.json");

        assert!(settings.is_ok(), "{deployment}: {:?}", settings.err());
    }
}
