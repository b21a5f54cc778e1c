//! Checks of declarations beyond their form: references, pools, bounds and quotas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use catkin_base::{ClassId, DomainId, PoolId, ServerId, TeamId};

use crate::check_router::{check_range, is_hex_digest};
use crate::declarations::{FleetDeclarations, ServerKind, ServerRule, WorkKind};
use crate::fault::{JsonPath, SettingsFault};

const DEADLINE_MILLI_RANGE: RangeInclusive<u64> = 100..=86_400_000;
const EXPECTED_TOKEN_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SLOT_RANGE: RangeInclusive<u64> = 1..=100_000;
const OPEN_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const BOUND_PERCENT_RANGE: RangeInclusive<u64> = 101..=1_000;
const PREFILL_MICRO_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const COST_PERCENT_RANGE: RangeInclusive<u64> = 0..=10_000;
const SHARE_PERCENT_RANGE: RangeInclusive<u64> = 1..=100;
const RETRY_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;
const STRIKE_RANGE: RangeInclusive<u64> = 1..=10;
const HOLD_MILLI_RANGE: RangeInclusive<u64> = 0..=3_600_000;
const LOAD_RANGE: RangeInclusive<u64> = 1..=1_000;

/// Finds every fault in `declarations`.
pub fn check_declarations(declarations: &FleetDeclarations) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    check_classes(declarations, &mut faults);
    check_pools(declarations, &mut faults);
    check_servers(declarations, &mut faults);
    check_teams(declarations, &mut faults);
    check_rules(declarations, &mut faults);
    check_identifiers(declarations, &mut faults);
    check_quotas(declarations, &mut faults);
    faults
}

fn check_classes(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    if !declarations.classes.contains_key(&declarations.default_class) {
        let message = format!("class `{}` is not declared", declarations.default_class);
        faults.push(SettingsFault::error(JsonPath::of_keys(&["default_class"]), message));
    }
    for (name, rule) in &declarations.classes {
        let path = |key| JsonPath::of_keys(&["classes", name, key]);
        faults.extend(check_range(
            || path("deadline_millis"),
            rule.deadline_millis,
            &DEADLINE_MILLI_RANGE,
        ));
        faults.extend(check_range(
            || path("expected_tokens"),
            rule.expected_tokens.into(),
            &EXPECTED_TOKEN_RANGE,
        ));
    }
    check_priorities(declarations, faults);
}

/// Warns of long work that engines run before quick work.
fn check_priorities(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let of_kind = |work| declarations.classes.iter().filter(move |(_, rule)| rule.work == work);
    let Some(slowest_quick) = of_kind(WorkKind::Quick).map(|(_, rule)| rule.priority).max() else {
        return;
    };
    for (name, rule) in of_kind(WorkKind::Long) {
        if rule.priority < slowest_quick {
            let path = JsonPath::of_keys(&["classes", name, "priority"]);
            let message = "engines would run this long work before some quick work";
            faults.push(SettingsFault::warning(path, message));
        }
    }
}

fn check_pools(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let servers = declarations.servers.values();
    let served_models: BTreeSet<&String> =
        servers.clone().flat_map(|server| &server.models).collect();
    let served_services: BTreeSet<&String> =
        servers.filter_map(|server| server.service.as_ref()).collect();
    for (name, rule) in &declarations.models {
        if !served_models.contains(name) {
            let path = JsonPath::of_keys(&["models", name]);
            faults.push(SettingsFault::error(path, "no server serves this model"));
        }
        let mut seen = BTreeSet::new();
        for (index, adapter) in rule.adapters.iter().enumerate() {
            if !seen.insert(adapter) {
                let path = JsonPath::of_keys(&["models", name, "adapters"]).with_index(index);
                faults.push(SettingsFault::error(path, "the adapter is named twice"));
            }
        }
    }
    for (name, rule) in &declarations.services {
        if !served_services.contains(name) {
            let path = JsonPath::of_keys(&["services", name]);
            faults.push(SettingsFault::error(path, "no server serves this service"));
        }
        if rule.look_up_path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            let path = JsonPath::of_keys(&["services", name, "look_up_path"]);
            faults.push(SettingsFault::error(path, "a path starts with `/`"));
        }
        if declarations.models.contains_key(name) {
            let path = JsonPath::of_keys(&["services", name]);
            faults.push(SettingsFault::error(path, "a model has this name too"));
        }
    }
}

fn check_servers(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    let mut regions: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, rule) in &declarations.servers {
        let path = |key| JsonPath::of_keys(&["servers", name, key]);
        check_server_pools(declarations, name, rule, faults);
        faults.extend(check_range(|| path("weight"), rule.weight.into(), &WEIGHT_RANGE));
        faults.extend(check_range(|| path("slots"), rule.slots.into(), &SLOT_RANGE));
        if let Some(other) = addresses.insert(rule.address, name) {
            let message = format!("server `{other}` has this address too");
            faults.push(SettingsFault::error(path("address"), message));
        }
        if rule.address.port() == 0 || rule.address.ip().is_unspecified() {
            faults.push(SettingsFault::error(path("address"), "cannot be reached"));
        }
        if rule.domain.trim().is_empty() {
            faults.push(SettingsFault::error(path("domain"), "the name is empty"));
        }
        let region = *regions.entry(&rule.domain).or_insert(&rule.region);
        if region != rule.region {
            let message = format!("another server puts domain `{}` in `{region}`", rule.domain);
            faults.push(SettingsFault::error(path("region"), message));
        }
    }
}

fn check_server_pools(
    declarations: &FleetDeclarations,
    name: &str,
    rule: &ServerRule,
    faults: &mut Vec<SettingsFault>,
) {
    let path = |key| JsonPath::of_keys(&["servers", name, key]);
    let mut seen = BTreeSet::new();
    for (index, model) in rule.models.iter().enumerate() {
        if !declarations.models.contains_key(model) {
            let message = format!("model `{model}` is not declared");
            faults.push(SettingsFault::error(path("models").with_index(index), message));
        } else if !seen.insert(model) {
            let message = "the model is named twice";
            faults.push(SettingsFault::error(path("models").with_index(index), message));
        }
    }
    if let Some(service) = &rule.service
        && !declarations.services.contains_key(service)
    {
        let message = format!("service `{service}` is not declared");
        faults.push(SettingsFault::error(path("service"), message));
    }
    match rule.kind {
        ServerKind::Engine if rule.models.is_empty() => {
            let message = "the server is in no pool: an engine names its models";
            faults.push(SettingsFault::error(JsonPath::of_keys(&["servers", name]), message));
        }
        ServerKind::Service if rule.service.is_none() => {
            let message = "the server is in no pool: a plain service is named in `service`";
            faults.push(SettingsFault::error(JsonPath::of_keys(&["servers", name]), message));
        }
        ServerKind::Engine if rule.service.is_some() => {
            faults.push(SettingsFault::error(path("service"), "an engine serves models only"));
        }
        ServerKind::Service if !rule.models.is_empty() => {
            faults.push(SettingsFault::error(path("models"), "a plain service has no models"));
        }
        ServerKind::Engine | ServerKind::Service => {}
    }
}

fn check_teams(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let mut tokens: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, rule) in &declarations.teams {
        let path = |key| JsonPath::of_keys(&["teams", name, key]);
        faults.extend(check_range(|| path("weight"), rule.weight.into(), &WEIGHT_RANGE));
        faults.extend(check_range(|| path("max_open"), rule.max_open.into(), &OPEN_RANGE));
        if !is_hex_digest(&rule.token_digest) {
            let message = "must be 64 lower-case hexadecimal characters";
            faults.push(SettingsFault::error(path("token_digest"), message));
        }
        if let Some(other) = tokens.insert(&rule.token_digest, name) {
            let message = format!("team `{other}` has this token too");
            faults.push(SettingsFault::error(path("token_digest"), message));
        }
        for (index, class) in rule.classes.iter().enumerate() {
            if !declarations.classes.contains_key(class) {
                let message = format!("class `{class}` is not declared");
                faults.push(SettingsFault::error(path("classes").with_index(index), message));
            }
        }
    }
}

fn check_rules(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let placement = &declarations.placement;
    let limits = &declarations.limits;
    let bounds: [(&str, &str, u64, RangeInclusive<u64>); 10] = [
        ("placement", "bound_percent", placement.bound_percent.into(), BOUND_PERCENT_RANGE),
        (
            "placement",
            "prefill_micros_per_token",
            placement.prefill_micros_per_token.into(),
            PREFILL_MICRO_RANGE,
        ),
        (
            "placement",
            "reuse_weight_percent",
            placement.reuse_weight_percent.into(),
            COST_PERCENT_RANGE,
        ),
        (
            "placement",
            "skew_weight_percent",
            placement.skew_weight_percent.into(),
            COST_PERCENT_RANGE,
        ),
        (
            "placement",
            "long_share_percent",
            placement.long_share_percent.into(),
            SHARE_PERCENT_RANGE,
        ),
        ("limits", "retry_percent", limits.retry_percent.into(), RETRY_PERCENT_RANGE),
        ("limits", "crash_strikes", limits.crash_strikes.into(), STRIKE_RANGE),
        ("limits", "quarantine_millis", limits.quarantine_millis, HOLD_MILLI_RANGE),
        ("limits", "hold_down_millis", limits.hold_down_millis, HOLD_MILLI_RANGE),
        ("limits", "loads_at_once", limits.loads_at_once.into(), LOAD_RANGE),
    ];
    for (table, key, value, range) in &bounds {
        faults.extend(check_range(|| JsonPath::of_keys(&[table, key]), *value, range));
    }
}

fn check_identifiers(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let classes = declarations.classes.keys().map(String::as_str);
    let servers = declarations.servers.keys().map(String::as_str);
    let teams = declarations.teams.keys().map(String::as_str);
    let pools = declarations.models.keys().chain(declarations.services.keys());
    let domains = declarations.servers.values().map(|rule| rule.domain.as_str());
    let domains: BTreeSet<&str> = domains.collect();
    check_collisions("classes", classes, ClassId::from_name, faults);
    check_collisions("servers", servers, ServerId::from_name, faults);
    check_collisions("teams", teams, TeamId::from_name, faults);
    check_collisions("models", pools.map(String::as_str), PoolId::from_name, faults);
    check_collisions("servers", domains.into_iter(), DomainId::from_name, faults);
}

/// Reports empty names and names whose identifiers are the same.
fn check_collisions<'a, I: Ord>(
    table: &str,
    names: impl Iterator<Item = &'a str>,
    identify: impl Fn(&str) -> I,
    faults: &mut Vec<SettingsFault>,
) {
    let mut seen: BTreeMap<I, &str> = BTreeMap::new();
    for name in names {
        let path = || JsonPath::of_keys(&[table, name]);
        if name.trim().is_empty() {
            faults.push(SettingsFault::error(path(), "the name is empty"));
        }
        if let Some(other) = seen.insert(identify(name), name)
            && other != name
        {
            let message = format!("has the same identifier as `{other}`; rename one of them");
            faults.push(SettingsFault::error(path(), message));
        }
    }
}

/// Warns if the teams together may have more requests open than the servers have slots.
fn check_quotas(declarations: &FleetDeclarations, faults: &mut Vec<SettingsFault>) {
    let slots: u64 = declarations.servers.values().map(|rule| u64::from(rule.slots)).sum();
    let quota: u64 = declarations.teams.values().map(|rule| u64::from(rule.max_open)).sum();
    if quota > slots {
        let message = format!("teams may open {quota} requests, but servers have {slots} slots");
        faults.push(SettingsFault::warning(JsonPath::of_keys(&["teams"]), message));
    }
}
