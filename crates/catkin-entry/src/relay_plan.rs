//! Decides which routers a router sends its reports to.
//!
//! In a small fleet every router reports to every other one. In a large fleet a router reports to
//! the routers of its own failure domain. One router of each domain, its relay, sends the load
//! totals of its domain to the relays of the other domains, and the load totals of the other
//! domains to its own domain. The number of reports that a router receives then grows with its
//! domain only, and the traffic between domains does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use catkin_base::{ClockTime, DomainId, VmId, copy_type, hash_parts};

use crate::load_table::ALIVE_MILLIS;

/// Maximum number of routers of a fleet in which every router reports to every other one.
pub const MAX_SMALL_FLEET: usize = 12;
/// Number of routers of a large fleet that read the store consistently, spread over the domains.
const CONSISTENT_READERS: usize = 4;
/// Number of routers of a small fleet whose watches are short. Two, so that one may be paused.
const SHORT_WATCHERS: usize = 2;
/// Routers of another domain that each report is sent to while the domain's relay is unknown.
const RELAY_CANDIDATES: usize = 3;

copy_type! {
    /// What other routers know of a router.
    pub struct FleetMember {
        /// The router.
        pub vm: VmId,
        /// Its failure domain; `None` until known.
        pub domain: Option<DomainId>,
        /// Whether it counts as alive.
        pub alive: bool,
        /// Its relative capacity for relaying: link bandwidth times CPU share.
        pub strength: u32,
    }
}

/// Routers that a router sends its reports to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportPlan {
    /// Routers that receive this router's own report: the same-domain peers, or all routers of a
    /// small fleet.
    pub direct_peers: Vec<VmId>,
    /// Whether this router is the relay of its domain.
    pub is_relay: bool,
    /// Remote-domain peers that receive the load totals of this domain: the relays where they are
    /// known, else candidates.
    pub remote_peers: Vec<VmId>,
    /// Number of other domains.
    pub other_domain_count: usize,
    /// Whether this router reads the store consistently, that is without stale reads. The others
    /// learn of changes from such routers.
    pub consistent_reads: bool,
    /// Whether this router's watches of the store are short, so that it soon notices a connection
    /// that went silent. The others learn from such routers what they miss.
    pub short_watches: bool,
}

/// Relays of other domains from which reports were received.
#[derive(Debug, Clone, Default)]
pub struct RelayBook {
    relays: BTreeMap<DomainId, (VmId, ClockTime)>,
    attempts: usize,
}

impl RelayBook {
    /// Records that `vm` is the relay of `domain`.
    pub fn record_relay(&mut self, now: ClockTime, domain: DomainId, vm: VmId) {
        self.relays.insert(domain, (vm, now));
    }

    /// Decides which of `others` the router `local` sends its reports to.
    pub fn plan_reports(
        &mut self,
        now: ClockTime,
        local: FleetMember,
        others: &[FleetMember],
    ) -> ReportPlan {
        if others.len() < MAX_SMALL_FLEET {
            let direct_peers = others.iter().map(|member| member.vm).collect();
            let alive = others.iter().filter(|member| member.alive);
            let ahead = alive.filter(|member| relay_order(member) < relay_order(&local)).count();
            return ReportPlan {
                direct_peers,
                consistent_reads: true,
                short_watches: ahead < SHORT_WATCHERS,
                ..ReportPlan::default()
            };
        }
        let is_direct =
            |member: &&FleetMember| member.domain.is_none() || member.domain == local.domain;
        let direct = || others.iter().filter(is_direct);
        let alive = direct().filter(|member| member.alive && member.domain.is_some());
        let ahead = alive.filter(|member| relay_order(member) < relay_order(&local)).count();
        let is_relay = ahead == 0;
        let groups = group_domains(&local, others);
        let other_domain_count = groups.len();
        let remote_peers =
            if is_relay { self.choose_remote_peers(now, groups) } else { Vec::new() };
        let direct_peers = direct().map(|member| member.vm).collect();
        let consistent_reads = ahead < CONSISTENT_READERS.div_ceil(other_domain_count + 1);
        ReportPlan {
            direct_peers,
            is_relay,
            remote_peers,
            other_domain_count,
            consistent_reads,
            short_watches: consistent_reads,
        }
    }

    fn choose_remote_peers(
        &mut self,
        now: ClockTime,
        domains: BTreeMap<DomainId, Vec<FleetMember>>,
    ) -> Vec<VmId> {
        self.attempts = self.attempts.wrapping_add(1);
        let mut remote_peers = Vec::new();
        for (domain, mut members) in domains {
            let known = self.relays.get(&domain);
            let relay = known.filter(|(_, received)| now.millis_since(*received) < ALIVE_MILLIS);
            if let Some((vm, _)) = relay {
                remote_peers.push(*vm);
                continue;
            }
            // Each attempt sends to the next few routers in the order in which they become relays.
            members.sort_by_key(relay_order);
            let start = self.attempts * RELAY_CANDIDATES % members.len();
            let candidates =
                members.iter().cycle().skip(start).take(RELAY_CANDIDATES.min(members.len()));
            remote_peers.extend(candidates.map(|member| member.vm));
        }
        remote_peers
    }
}

/// Returns the routers of the other domains, by domain.
fn group_domains(
    local: &FleetMember,
    others: &[FleetMember],
) -> BTreeMap<DomainId, Vec<FleetMember>> {
    let mut domains: BTreeMap<DomainId, Vec<FleetMember>> = BTreeMap::new();
    for member in others {
        if let Some(domain) = member.domain.filter(|domain| Some(*domain) != local.domain) {
            domains.entry(domain).or_default().push(*member);
        }
    }
    domains
}

/// Rank of a router in the order in which routers become relays or consistent readers: those with
/// the highest capacity first.
pub(crate) fn relay_order(member: &FleetMember) -> (Reverse<u32>, u64, VmId) {
    let vm = member.vm;
    (Reverse(member.strength), hash_parts(&[b"duty", &vm.0.to_le_bytes()]), vm)
}
