//! Checks of models, plain services and the backend servers that serve them.
//!
//! The router sends these messages to the operator's client when it rejects declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::check::WEIGHT_RANGE;
use crate::declarations::{FleetDeclarations, ServerKind, ServerRule};
use crate::issue_list::IssueList;

const SLOT_RANGE: RangeInclusive<u64> = 1..=100_000;

/// Checks models and plain services.
pub(crate) fn check_pools(declarations: &FleetDeclarations, list: &mut IssueList) {
    let servers = declarations.servers.values();
    let served_models: BTreeSet<&String> =
        servers.clone().flat_map(|server| &server.models).collect();
    let served_services: BTreeSet<&String> =
        servers.filter_map(|server| server.service.as_ref()).collect();
    for (name, rule) in &declarations.models {
        if !served_models.contains(name) {
            list.add_error(&["models", name], "no server serves this model");
        }
        for index in find_repeated_indices(&rule.adapters) {
            let keys = ["models", name, "adapters"];
            list.add_element_error(&keys, index, "the adapter is named twice");
        }
    }
    for (name, rule) in &declarations.services {
        if !served_services.contains(name) {
            list.add_error(&["services", name], "no server serves this service");
        }
        if rule.look_up_path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            list.add_error(&["services", name, "look_up_path"], "a path starts with `/`");
        }
        if declarations.models.contains_key(name) {
            list.add_error(&["services", name], "a model has this name too");
        }
    }
}

/// Checks backend servers.
pub(crate) fn check_servers(declarations: &FleetDeclarations, list: &mut IssueList) {
    let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    let mut regions: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, rule) in &declarations.servers {
        check_references(declarations, name, rule, list);
        check_kind(name, rule, list);
        list.check_range(&["servers", name, "weight"], rule.weight, &WEIGHT_RANGE);
        list.check_range(&["servers", name, "slots"], rule.slots, &SLOT_RANGE);
        list.check_name(&["servers", name, "domain"], &rule.domain);
        if let Some(other) = addresses.insert(rule.address, name) {
            let message = format!("server `{other}` has this address too");
            list.add_error(&["servers", name, "address"], message);
        }
        if rule.address.port() == 0 || rule.address.ip().is_unspecified() {
            list.add_error(&["servers", name, "address"], "cannot be reached");
        }
        let region = *regions.entry(&rule.domain).or_insert(&rule.region);
        if region != rule.region {
            let message = format!("another server puts domain `{}` in `{region}`", rule.domain);
            list.add_error(&["servers", name, "region"], message);
        }
    }
}

fn check_references(
    declarations: &FleetDeclarations,
    name: &str,
    rule: &ServerRule,
    list: &mut IssueList,
) {
    let keys = ["servers", name, "models"];
    for (index, model) in rule.models.iter().enumerate() {
        if !declarations.models.contains_key(model) {
            list.add_element_error(&keys, index, format!("model `{model}` is not declared"));
        }
    }
    for index in find_repeated_indices(&rule.models) {
        list.add_element_error(&keys, index, "the model is named twice");
    }
    if let Some(service) = &rule.service
        && !declarations.services.contains_key(service)
    {
        let message = format!("service `{service}` is not declared");
        list.add_error(&["servers", name, "service"], message);
    }
}

/// Checks that a server belongs to a pool, and that the pool is of the server's kind.
fn check_kind(name: &str, rule: &ServerRule, list: &mut IssueList) {
    let server = ["servers", name];
    match rule.kind {
        ServerKind::Engine if rule.models.is_empty() => {
            list.add_error(&server, "the server is in no pool: an engine names its models");
        }
        ServerKind::Service if rule.service.is_none() => {
            let message = "the server is in no pool: a plain service is named in `service`";
            list.add_error(&server, message);
        }
        ServerKind::Engine if rule.service.is_some() => {
            list.add_error(&["servers", name, "service"], "an engine serves models only");
        }
        ServerKind::Service if !rule.models.is_empty() => {
            list.add_error(&["servers", name, "models"], "a plain service has no models");
        }
        ServerKind::Engine | ServerKind::Service => {}
    }
}

/// Returns the indices of names that also occur earlier in the list.
fn find_repeated_indices(names: &[String]) -> impl Iterator<Item = usize> {
    let is_repeated = |index: &usize| names[..*index].contains(&names[*index]);
    (0..names.len()).filter(is_repeated)
}
