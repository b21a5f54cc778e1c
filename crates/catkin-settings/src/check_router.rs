//! Checks of the values in a router's settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::issue::SettingsIssue;
use crate::issue_list::IssueList;
use crate::router::RouterSettings;

const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=65_536;
const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 << 20;
const DRAIN_MILLIS_RANGE: RangeInclusive<u64> = 0..=3_600_000;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Returns all issues of a router's settings.
pub fn check_router_settings(settings: &RouterSettings) -> Vec<SettingsIssue> {
    let mut list = IssueList::default();
    list.check_name(&["vm"], &settings.vm);
    list.check_name(&["domain"], &settings.domain);
    list.check_name(&["region"], &settings.region);
    list.check_digest(&["peer_key"], &settings.peer_key);
    list.check_digest(&["operator_token_digest"], &settings.operator_token_digest);
    check_listeners(settings, &mut list);
    check_peer_addresses(settings, &mut list);
    check_bounds(settings, &mut list);
    list.into_issues()
}

fn check_listeners(settings: &RouterSettings, list: &mut IssueList) {
    let addresses = list_fixed_addresses(settings);
    for (position, (key, address)) in addresses.iter().enumerate() {
        let earlier = &addresses[..position];
        if let Some((other, _)) = earlier.iter().find(|(_, seen)| seen == address) {
            list.add_error(&[key], format!("{address} is already used by `{other}`"));
        }
    }
}

/// Returns the addresses with a fixed port. Port 0 lets the operating system choose one.
fn list_fixed_addresses(settings: &RouterSettings) -> Vec<(&'static str, SocketAddr)> {
    let addresses = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
        ("platform_address", settings.platform_address),
    ];
    addresses.into_iter().filter(|(_, address)| address.port() != 0).collect()
}

fn check_peer_addresses(settings: &RouterSettings, list: &mut IssueList) {
    let peer = settings.peer_address;
    if peer.ip().is_unspecified() {
        list.add_error(&["peer_address"], "must be an address that other routers can reach");
    }
    if !peer.is_ipv4() {
        list.add_error(&["peer_address"], "must be an IPv4 address");
    }
    for (index, seed) in settings.seeds.iter().enumerate() {
        if seed.port() == 0 || seed.ip().is_unspecified() {
            list.add_element_error(
                &["seeds"],
                index,
                format!("{seed} cannot be reached: it needs an IP address and a port"),
            );
        }
    }
}

fn check_bounds(settings: &RouterSettings, list: &mut IssueList) {
    list.check_range(&["max_connections"], settings.max_connections as u64, &CONNECTIONS_RANGE);
    list.check_range(&["max_body_bytes"], settings.max_body_bytes as u64, &BODY_BYTES_RANGE);
    list.check_range(&["drain_millis"], settings.drain_millis, &DRAIN_MILLIS_RANGE);
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        list.add_error(&["log", "level"], format!("must be one of {}", LOG_LEVELS.join(", ")));
    }
}
