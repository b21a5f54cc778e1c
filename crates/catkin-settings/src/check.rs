//! Checks of declared values: references, ranges, identifiers and quotas.
//!
//! The router sends these messages to the operator's client when it rejects declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use catkin_base::{ClassId, DomainId, PoolId, ServerId, TeamId};

use crate::check_servers::{check_pools, check_servers};
use crate::declarations::{FleetDeclarations, LimitRules, PlacementRules, WorkKind};
use crate::issue::SettingsIssue;
use crate::issue_list::IssueList;

pub(crate) const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// From 100 ms to one day.
const DEADLINE_MILLIS_RANGE: RangeInclusive<u64> = 100..=86_400_000;
const EXPECTED_TOKENS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const OPEN_REQUESTS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const BOUND_PERCENT_RANGE: RangeInclusive<u64> = 101..=1_000;
const PREFILL_MICROS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const COST_PERCENT_RANGE: RangeInclusive<u64> = 0..=10_000;
const SHARE_PERCENT_RANGE: RangeInclusive<u64> = 1..=100;
const RETRY_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;
const STRIKES_RANGE: RangeInclusive<u64> = 1..=10;
const HOLD_MILLIS_RANGE: RangeInclusive<u64> = 0..=3_600_000;
const PARALLEL_LOADS_RANGE: RangeInclusive<u64> = 1..=1_000;

/// Returns all issues of `declarations`, including warnings.
pub fn check_declarations(declarations: &FleetDeclarations) -> Vec<SettingsIssue> {
    let mut list = IssueList::default();
    check_classes(declarations, &mut list);
    check_priorities(declarations, &mut list);
    check_pools(declarations, &mut list);
    check_servers(declarations, &mut list);
    check_teams(declarations, &mut list);
    check_placement(&declarations.placement, &mut list);
    check_limits(&declarations.limits, &mut list);
    check_identifiers(declarations, &mut list);
    check_quotas(declarations, &mut list);
    list.into_issues()
}

fn check_classes(declarations: &FleetDeclarations, list: &mut IssueList) {
    if !declarations.classes.contains_key(&declarations.default_class) {
        let message = format!("class `{}` is not declared", declarations.default_class);
        list.add_error(&["default_class"], message);
    }
    for (name, rule) in &declarations.classes {
        let deadline = ["classes", name, "deadline_millis"];
        list.check_range(&deadline, rule.deadline_millis, &DEADLINE_MILLIS_RANGE);
        let tokens = ["classes", name, "expected_tokens"];
        list.check_range(&tokens, rule.expected_tokens, &EXPECTED_TOKENS_RANGE);
    }
}

/// Warns of classes of long work that engines would run before some class of quick work.
fn check_priorities(declarations: &FleetDeclarations, list: &mut IssueList) {
    let of_kind = |work| declarations.classes.iter().filter(move |(_, rule)| rule.work == work);
    let Some(max_quick_priority) = of_kind(WorkKind::Quick).map(|(_, rule)| rule.priority).max()
    else {
        return;
    };
    for (name, rule) in of_kind(WorkKind::Long) {
        if rule.priority < max_quick_priority {
            let message = "engines would run this long work before some quick work";
            list.add_warning(&["classes", name, "priority"], message);
        }
    }
}

fn check_teams(declarations: &FleetDeclarations, list: &mut IssueList) {
    let mut tokens: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, rule) in &declarations.teams {
        list.check_range(&["teams", name, "weight"], rule.weight, &WEIGHT_RANGE);
        list.check_range(&["teams", name, "max_open"], rule.max_open, &OPEN_REQUESTS_RANGE);
        list.check_digest(&["teams", name, "token_digest"], &rule.token_digest);
        if let Some(other) = tokens.insert(&rule.token_digest, name) {
            let message = format!("team `{other}` has this token too");
            list.add_error(&["teams", name, "token_digest"], message);
        }
        for (index, class) in rule.classes.iter().enumerate() {
            if !declarations.classes.contains_key(class) {
                let message = format!("class `{class}` is not declared");
                list.add_element_error(&["teams", name, "classes"], index, message);
            }
        }
    }
}

fn check_placement(rules: &PlacementRules, list: &mut IssueList) {
    let prefill = rules.prefill_micros_per_token;
    let reuse = rules.reuse_weight_percent;
    let skew = rules.skew_weight_percent;
    list.check_range(&["placement", "bound_percent"], rules.bound_percent, &BOUND_PERCENT_RANGE);
    list.check_range(&["placement", "prefill_micros_per_token"], prefill, &PREFILL_MICROS_RANGE);
    list.check_range(&["placement", "reuse_weight_percent"], reuse, &COST_PERCENT_RANGE);
    list.check_range(&["placement", "skew_weight_percent"], skew, &COST_PERCENT_RANGE);
    let long_share = ["placement", "long_share_percent"];
    list.check_range(&long_share, rules.long_share_percent, &SHARE_PERCENT_RANGE);
}

fn check_limits(rules: &LimitRules, list: &mut IssueList) {
    list.check_range(&["limits", "retry_percent"], rules.retry_percent, &RETRY_PERCENT_RANGE);
    list.check_range(&["limits", "crash_strikes"], rules.crash_strikes, &STRIKES_RANGE);
    list.check_range(&["limits", "quarantine_millis"], rules.quarantine_millis, &HOLD_MILLIS_RANGE);
    list.check_range(&["limits", "hold_down_millis"], rules.hold_down_millis, &HOLD_MILLIS_RANGE);
    list.check_range(&["limits", "loads_at_once"], rules.loads_at_once, &PARALLEL_LOADS_RANGE);
}

fn check_identifiers(declarations: &FleetDeclarations, list: &mut IssueList) {
    let classes = declarations.classes.keys().map(String::as_str);
    let servers = declarations.servers.keys().map(String::as_str);
    let teams = declarations.teams.keys().map(String::as_str);
    let pools = declarations.models.keys().chain(declarations.services.keys());
    let domains = declarations.servers.values().map(|rule| rule.domain.as_str());
    let domains: BTreeSet<&str> = domains.collect();
    check_collisions("classes", classes, ClassId::from_name, list);
    check_collisions("servers", servers, ServerId::from_name, list);
    check_collisions("teams", teams, TeamId::from_name, list);
    check_collisions("models", pools.map(String::as_str), PoolId::from_name, list);
    check_collisions("servers", domains.into_iter(), DomainId::from_name, list);
}

/// Reports empty names, and different names from which the same identifier is derived.
fn check_collisions<'a, I: Ord>(
    table: &str,
    names: impl Iterator<Item = &'a str>,
    identify: impl Fn(&str) -> I,
    list: &mut IssueList,
) {
    let mut seen: BTreeMap<I, &str> = BTreeMap::new();
    for name in names {
        list.check_name(&[table, name], name);
        if let Some(other) = seen.insert(identify(name), name)
            && other != name
        {
            let message = format!("has the same identifier as `{other}`; rename one of them");
            list.add_error(&[table, name], message);
        }
    }
}

/// Warns if all teams together may have more requests open than the servers have slots.
fn check_quotas(declarations: &FleetDeclarations, list: &mut IssueList) {
    let slots: u64 = declarations.servers.values().map(|rule| u64::from(rule.slots)).sum();
    let quota: u64 = declarations.teams.values().map(|rule| u64::from(rule.max_open)).sum();
    if quota > slots {
        let message = format!("teams may open {quota} requests, but servers have {slots} slots");
        list.add_warning(&["teams"], message);
    }
}
