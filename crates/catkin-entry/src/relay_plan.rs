//! Whom a router tells what it knows.
//!
//! In a small fleet everybody tells everybody. In a large one, a router tells the routers of its own
//! failure domain. One router of each domain, its relay, tells the relays of the other domains the
//! sums of its own, and its own domain the sums of the others, so that what a router hears grows with
//! its domain and what crosses domains does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, VmId, copy_type, hash_parts};

use crate::load_table::ALIVE_MILLIS;

/// Most routers that tell each other everything.
pub const MAX_SMALL_FLEET: usize = 12;
/// Routers of a large fleet that follow the store closely, spread over the domains.
const CLOSE_READERS: usize = 4;
/// Routers of another domain that are told at once while its relay is unknown.
const TRIED_RELAYS: usize = 3;

copy_type! {
    /// A router, as others know it.
    pub struct FleetMember {
        /// The router.
        pub vm: VmId,
        /// Its failure domain; `None` until it is heard.
        pub domain: Option<DomainId>,
        /// Whether it was heard lately.
        pub alive: bool,
        /// How much it can do for others.
        pub strength: u32,
    }
}

/// Whom a router tells what.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportPlan {
    /// Routers that get this router's own report.
    pub direct_peers: Vec<VmId>,
    /// Whether this router is its domain's relay.
    pub is_relay: bool,
    /// Routers of other domains that get the sums of this one: their relays, if these are known.
    pub remote_peers: Vec<VmId>,
    /// Number of other domains.
    pub other_domain_count: usize,
    /// Whether this router follows the store closely; the others learn from such routers.
    pub reads_fresh: bool,
}

/// Relays of other domains, as far as they told of themselves.
#[derive(Debug, Clone, Default)]
pub struct RelayBook {
    heard: BTreeMap<DomainId, (VmId, ClockTime)>,
    tries: usize,
}

impl RelayBook {
    /// Notes that a router relays for its domain.
    pub fn record_relay(&mut self, now: ClockTime, domain: DomainId, vm: VmId) {
        self.heard.insert(domain, (vm, now));
    }

    /// Decides whom the router `own` tells what.
    pub fn plan_reports(
        &mut self,
        now: ClockTime,
        own: FleetMember,
        others: &[FleetMember],
    ) -> ReportPlan {
        if others.len() < MAX_SMALL_FLEET {
            let direct_peers = others.iter().map(|member| member.vm).collect();
            return ReportPlan { direct_peers, reads_fresh: true, ..ReportPlan::default() };
        }
        let is_direct =
            |member: &&FleetMember| member.domain.is_none() || member.domain == own.domain;
        let direct = || others.iter().filter(is_direct);
        let alive = direct().filter(|member| member.alive && member.domain.is_some());
        let ahead = alive.filter(|member| order_of(member) < order_of(&own)).count();
        let is_relay = ahead == 0;
        let groups = group_domains(&own, others);
        let other_domain_count = groups.len();
        let remote_peers =
            if is_relay { self.choose_remote_peers(now, groups) } else { Vec::new() };
        let direct_peers = direct().map(|member| member.vm).collect();
        let reads_fresh = ahead < CLOSE_READERS.div_ceil(other_domain_count + 1);
        ReportPlan { direct_peers, is_relay, remote_peers, other_domain_count, reads_fresh }
    }

    fn choose_remote_peers(
        &mut self,
        now: ClockTime,
        domains: BTreeMap<DomainId, Vec<FleetMember>>,
    ) -> Vec<VmId> {
        self.tries = self.tries.wrapping_add(1);
        let mut remote_peers = Vec::new();
        for (domain, mut members) in domains {
            let heard = self.heard.get(&domain);
            let relay = heard.filter(|(_, at)| now.millis_since(*at) < ALIVE_MILLIS);
            if let Some((vm, _)) = relay {
                remote_peers.push(*vm);
                continue;
            }
            // The first few in the order in which they take the duty, then the next few.
            members.sort_by_key(order_of);
            let start = self.tries * TRIED_RELAYS % members.len();
            let tried = members.iter().cycle().skip(start).take(TRIED_RELAYS.min(members.len()));
            remote_peers.extend(tried.map(|member| member.vm));
        }
        remote_peers
    }
}

/// Routers of the other domains.
fn group_domains(
    own: &FleetMember,
    others: &[FleetMember],
) -> BTreeMap<DomainId, Vec<FleetMember>> {
    let mut domains: BTreeMap<DomainId, Vec<FleetMember>> = BTreeMap::new();
    for member in others {
        if let Some(domain) = member.domain.filter(|domain| Some(*domain) != own.domain) {
            domains.entry(domain).or_default().push(*member);
        }
    }
    domains
}

/// Place of a router in the order in which routers take duties: strong ones first.
fn order_of(member: &FleetMember) -> (Reverse<u32>, u64, VmId) {
    let vm = member.vm;
    (Reverse(member.strength), hash_parts(&[b"duty", &vm.0.to_le_bytes()]), vm)
}
