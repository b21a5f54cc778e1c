//! Decides without a network whether a router that stops takes a request of another one.

use catkin_base::ClockTime;
use catkin_entry::HelpOffer;
use catkin_peer::messages::StoppingHelp;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// The offer, received at 1 s, of a router that takes requests for two seconds and exits after seven.
fn offer() -> HelpOffer {
    let stated = StoppingHelp { port: 80, takes_millis: 2_000, exit_millis: 7_000 };
    HelpOffer::decode(at(1_000), stated).unwrap()
}

/// Guards against callers of routers that are cut off while the other routers are stopped one after the other, found
/// by soak seed 7544.
#[test]
fn a_router_that_stops_takes_a_request_that_ends_before_it_exits() {
    assert!(offer().allows(at(1_500), at(5_500)));
}

#[test]
fn a_request_that_may_last_until_the_exit_is_not_passed_on() {
    assert!(!offer().allows(at(1_500), at(7_900)));
}

#[test]
fn a_router_that_may_have_closed_its_listener_gets_no_request() {
    assert!(!offer().allows(at(2_900), at(4_000)));
}

#[test]
fn an_offer_without_a_port_is_none() {
    let stated = StoppingHelp { port: 0, takes_millis: 2_000, exit_millis: 7_000 };

    assert_eq!(HelpOffer::decode(at(0), stated), None);
    assert_eq!(HelpOffer::decode(at(0), StoppingHelp { port: 70_000, ..stated }), None);
}
