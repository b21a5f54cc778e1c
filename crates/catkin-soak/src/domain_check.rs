//! Checks that evacuated failure domains get no requests and cold servers few.

use crate::check::{SoakBounds, SoakViolation, count_within};
use crate::ledger::{ArrivalRecord, DOMAINS, FaultTarget, SoakLedger};

/// Multiple of what it takes that a cold server may get, and requests beyond that.
pub(crate) const COLD_OVERSHOOT: f64 = 1.5;
pub(crate) const COLD_SLACK: f64 = 5.0;

/// Finds requests of routers in touch to servers of a failure domain whose evacuation was to be obeyed by
/// then.
pub(crate) fn check_evacuations(ledger: &SoakLedger, bounds: &SoakBounds) -> Vec<SoakViolation> {
    let find_evacuation = |arrival: &ArrivalRecord| {
        ledger.evacuations.iter().find(|evacuation| {
            evacuation.domain == arrival.address_index % DOMAINS
                && arrival.at > evacuation.from + bounds.evacuation
                && arrival.at < evacuation.until
        })
    };
    let counted = ledger.arrivals.iter().filter(|arrival| !arrival.misdirected);
    let found = counted.filter_map(|arrival| {
        let evacuation = find_evacuation(arrival)?;
        is_in_touch(ledger, bounds, arrival).then(|| {
            SoakViolation::IgnoredEvacuation(
                arrival.id.clone(),
                arrival.server.clone(),
                arrival.router,
                arrival.at,
                arrival.at - evacuation.from,
            )
        })
    });
    found.collect()
}

/// Whether the router that sent a request, the store and the paths between them and to the server had
/// no fault shortly before.
fn is_in_touch(ledger: &SoakLedger, bounds: &SoakBounds, arrival: &ArrivalRecord) -> bool {
    let router = arrival.router;
    let targets = [
        FaultTarget::Router(router),
        FaultTarget::StoreLink(router),
        FaultTarget::ServerPaths(router),
        FaultTarget::ServerLink(arrival.address_index),
        FaultTarget::Store,
        FaultTarget::Machine,
    ];
    let from = arrival.at.saturating_sub(bounds.contact);
    let restarted = ledger.start_count(router, arrival.at) != ledger.start_count(router, from);
    !restarted && !ledger.is_affected(&targets, from, arrival.at)
}

/// Finds for each time in which a server was cold the first window with too many requests of all routers.
/// Those that a fault of the server's link may have held are not counted.
pub(crate) fn check_cold_servers(ledger: &SoakLedger, bounds: &SoakBounds) -> Vec<SoakViolation> {
    let found = ledger.cold_periods.iter().filter_map(|cold| {
        let is_counted = |arrival: &&ArrivalRecord| {
            let targets = [FaultTarget::ServerLink(arrival.address_index), FaultTarget::Machine];
            let from = arrival.at.saturating_sub(bounds.cold_window);
            arrival.server == cold.server
                && (cold.from..cold.until).contains(&arrival.at)
                && !arrival.misdirected
                && !ledger.is_affected(&targets, from, arrival.at)
        };
        let counted = ledger.arrivals.iter().filter(is_counted);
        let times: Vec<u64> = counted.map(|arrival| arrival.at).collect();
        let per_second = f64::from(cold.per_thousand_seconds) / 1_000.0;
        let allowed = (per_second * COLD_OVERSHOOT + COLD_SLACK) as usize;
        let excess = times.iter().find_map(|from| {
            let count = count_within(&times, *from, bounds.cold_window);
            (count > allowed).then_some((count, *from))
        });
        let (count, from) = excess?;
        Some(SoakViolation::ColdExceeded(cold.server.clone(), count, from, allowed))
    });
    found.collect()
}
