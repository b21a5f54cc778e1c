//! Checks of a router's settings beyond their form.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::fault::{JsonPath, SettingsFault};
use crate::router::RouterSettings;

/// Hexadecimal characters of a 32-byte key or SHA-256 digest.
pub(crate) const HEX_DIGEST_CHARS: usize = 64;

const CONNECTION_RANGE: RangeInclusive<u64> = 1..=65_536;
const BODY_BYTE_RANGE: RangeInclusive<u64> = 1_024..=64 << 20;
const DRAIN_MILLI_RANGE: RangeInclusive<u64> = 0..=3_600_000;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Finds every fault in a router's settings.
pub fn check_router_settings(settings: &RouterSettings) -> Vec<SettingsFault> {
    let mut faults = Vec::new();
    check_names(settings, &mut faults);
    check_secrets(settings, &mut faults);
    check_addresses(settings, &mut faults);
    check_bounds(settings, &mut faults);
    faults
}

/// Whether `text` is a 32-byte value in lower-case hexadecimal.
pub(crate) fn is_hex_digest(text: &str) -> bool {
    text.len() == HEX_DIGEST_CHARS
        && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

/// A fault if `value` lies outside `range`; the path is built for a fault only.
pub(crate) fn check_range(
    path: impl FnOnce() -> JsonPath,
    value: u64,
    range: &RangeInclusive<u64>,
) -> Option<SettingsFault> {
    if range.contains(&value) {
        return None;
    }
    let message = format!("{value} is not between {} and {}", range.start(), range.end());
    Some(SettingsFault::error(path(), message))
}

fn check_names(settings: &RouterSettings, faults: &mut Vec<SettingsFault>) {
    let names = [("vm", &settings.vm), ("domain", &settings.domain), ("region", &settings.region)];
    let empty = names.iter().filter(|(_, name)| name.trim().is_empty());
    faults.extend(
        empty.map(|(key, _)| SettingsFault::error(JsonPath::of_keys(&[key]), "the name is empty")),
    );
}

fn check_secrets(settings: &RouterSettings, faults: &mut Vec<SettingsFault>) {
    let secrets = [
        ("peer_key", &settings.peer_key),
        ("operator_token_digest", &settings.operator_token_digest),
    ];
    for (key, secret) in secrets {
        if !is_hex_digest(secret) {
            let message = "must be 64 lower-case hexadecimal characters";
            faults.push(SettingsFault::error(JsonPath::of_keys(&[key]), message));
        }
    }
}

fn check_addresses(settings: &RouterSettings, faults: &mut Vec<SettingsFault>) {
    let listeners = listener_addresses(settings);
    for (position, (key, address)) in listeners.iter().enumerate() {
        let path = JsonPath::of_keys(&[key]);
        if let Some((other, _)) = listeners[..position].iter().find(|(_, seen)| seen == address) {
            let message = format!("{address} is the address of `{other}` too");
            faults.push(SettingsFault::error(path.clone(), message));
        }
    }
    let peer = settings.peer_address;
    if peer.ip().is_unspecified() {
        let message = "other routers need an address that they can reach";
        faults.push(SettingsFault::error(JsonPath::of_keys(&["peer_address"]), message));
    }
    if !peer.is_ipv4() {
        let message = "addresses between routers are IPv4";
        faults.push(SettingsFault::error(JsonPath::of_keys(&["peer_address"]), message));
    }
    for (index, seed) in settings.seeds.iter().enumerate() {
        if seed.port() == 0 || seed.ip().is_unspecified() {
            let path = JsonPath::of_keys(&["seeds"]).with_index(index);
            faults.push(SettingsFault::error(path, format!("{seed} cannot be reached")));
        }
    }
}

fn listener_addresses(settings: &RouterSettings) -> Vec<(&'static str, SocketAddr)> {
    let listeners = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
        ("platform_address", settings.platform_address),
    ];
    listeners.into_iter().filter(|(_, address)| address.port() != 0).collect()
}

fn check_bounds(settings: &RouterSettings, faults: &mut Vec<SettingsFault>) {
    let bounds = [
        ("max_connections", settings.max_connections as u64, CONNECTION_RANGE),
        ("max_body_bytes", settings.max_body_bytes as u64, BODY_BYTE_RANGE),
        ("drain_millis", settings.drain_millis, DRAIN_MILLI_RANGE),
    ];
    for (key, value, range) in &bounds {
        faults.extend(check_range(|| JsonPath::of_keys(&[key]), *value, range));
    }
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        let message = format!("must be one of {}", LOG_LEVELS.join(", "));
        faults.push(SettingsFault::error(JsonPath::of_keys(&["log", "level"]), message));
    }
}
