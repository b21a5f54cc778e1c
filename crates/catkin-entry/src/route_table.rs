//! Route lookup: finds the route, the team and the service of a request.

use std::collections::BTreeMap;

use catkin_base::hash_parts;
use sha2::{Digest, Sha256};

use crate::record::{DeclarationRecord, RouteRecord, TeamRecord};

/// The current declarations, indexed for lookups.
#[derive(Debug, Clone)]
pub struct RouteTable {
    declarations: DeclarationRecord,
    /// Indices of routes by host in lower case, longest path prefix first.
    hosts: BTreeMap<String, Vec<usize>>,
    /// Index of the team by API key.
    keys: BTreeMap<String, usize>,
    /// Index of the team by the hash of its API key.
    key_hashes: BTreeMap<[u8; 32], usize>,
}

/// Result of looking up a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// A route matches; the team is set if the request has a valid key.
    Found(&'a RouteRecord, Option<&'a TeamRecord>),
    /// No route matches.
    NoRoute,
    /// A route matches but requires a key, and the request has no valid one.
    NoKey,
}

impl RouteTable {
    /// Indexes declarations.
    pub fn new(declarations: DeclarationRecord) -> Self {
        let mut hosts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in declarations.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            let routes = &declarations.routes;
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let teams = declarations.teams.iter().flatten().enumerate();
        let keys = teams.flat_map(|(index, team)| team.keys.iter().map(move |key| (key, index)));
        let keys: BTreeMap<String, usize> = keys.map(|(key, index)| (key.clone(), index)).collect();
        let key_hashes = keys.iter().map(|(key, index)| (hash_key(key), *index)).collect();
        Self { declarations, hosts, keys, key_hashes }
    }

    /// Version of the declarations.
    pub fn version(&self) -> u64 {
        self.declarations.version
    }

    /// The declarations.
    pub fn declarations(&self) -> &DeclarationRecord {
        &self.declarations
    }

    /// Finds the route and team of a request for `target` at `host` with `key`. The longest
    /// matching path prefix wins.
    pub fn find_route(&self, host: &str, target: &str, key: Option<&str>) -> RouteMatch<'_> {
        self.match_route(host, target, key.and_then(|key| self.find_team(key)))
    }

    /// Finds the route and team of a request that another router passed on, with the hash of its key. The
    /// team may have another name there, and the key may be withdrawn here.
    pub fn find_route_of_key_hash(
        &self,
        host: &str,
        target: &str,
        key_hash: &[u8],
    ) -> RouteMatch<'_> {
        let index = key_hash.try_into().ok().and_then(|hash: [u8; 32]| self.key_hashes.get(&hash));
        let mut teams = self.declarations.teams.iter().flatten();
        self.match_route(host, target, index.and_then(|index| teams.nth(*index)))
    }

    /// Finds the route of a request whose key another router has checked. `team` is the name of the
    /// team, empty if the request had no key.
    pub fn find_route_of_team(&self, host: &str, target: &str, team: &str) -> RouteMatch<'_> {
        let mut teams = self.declarations.teams.iter().flatten();
        self.match_route(host, target, teams.find(|known| known.name == team))
    }

    fn match_route<'a>(
        &'a self,
        host: &str,
        target: &str,
        team: Option<&'a TeamRecord>,
    ) -> RouteMatch<'a> {
        let host = strip_port(host).to_ascii_lowercase();
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let mut indices = self.hosts.get(&host).into_iter().flatten();
        let routes = &self.declarations.routes;
        let Some(index) = indices.find(|index| path.starts_with(&routes[**index].prefix)) else {
            return RouteMatch::NoRoute;
        };
        let route = &routes[*index];
        if team.is_none() && !route.public && self.declarations.teams.is_some() {
            return RouteMatch::NoKey;
        }
        RouteMatch::Found(route, team)
    }

    fn find_team(&self, key: &str) -> Option<&TeamRecord> {
        let index = *self.keys.get(key)?;
        self.declarations.teams.as_ref()?.get(index)
    }
}

/// Hashes an API key, to name it to another router.
pub fn hash_key(key: &str) -> [u8; 32] {
    Sha256::digest(key).into()
}

/// Chooses the service of `route` for the request with this seed, in proportion to the weights.
/// Equal seeds get the same service.
pub fn choose_service(route: &RouteRecord, seed: u64) -> Option<&str> {
    let total: u64 = route.services.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return route.services.first().map(|share| share.service.as_str());
    }
    let mut point = hash_parts(&[&seed.to_le_bytes()]) % total;
    for share in &route.services {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(&share.service);
        }
        point -= weight;
    }
    None
}

/// Removes the port from the value of a `Host` field.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
