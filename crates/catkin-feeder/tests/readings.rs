//! What is read of a process and of its metrics.

use catkin_feeder::{FleetShape, ProcessReading, find_metric};

const STATUS: &str = "Name:\tcatkin-router\nVmHWM:\t   70000 kB\nVmRSS:\t   64000 kB\n";
const STAT: &str = "42 (odd ) name) S 1 42 42 0 -1 4194304 900 0 0 0 120 30 0 0 20 0 12 0 1 2 3";

#[test]
fn process_times_are_found_behind_an_odd_name() {
    let reading = ProcessReading::parse(STATUS, STAT).expect("readable");

    assert_eq!(reading, ProcessReading { resident_kib: 64_000, peak_kib: 70_000, ticks: 150 });
}

#[test]
fn share_of_a_core_follows_from_ticks() {
    let earlier = ProcessReading { resident_kib: 1, peak_kib: 1, ticks: 100 };
    let later = ProcessReading { ticks: 150, ..earlier };

    assert!((later.percent_since(&earlier, 10.0) - 5.0).abs() < 1e-9);
}

#[test]
fn metric_is_found_by_its_whole_name() {
    let text = "# TYPE catkin_revision gauge\ncatkin_revision_old 9\ncatkin_revision 3\n";

    assert_eq!(find_metric(text, "catkin_revision"), Some(3.0));
    assert_eq!(find_metric(text, "catkin"), None);
}

#[test]
fn router_gets_the_share_of_the_mean_router() {
    let shape = FleetShape { routers: 30, servers: 78, teams: 10, models: 19 };

    let place = shape.place_router().expect("a name is found");

    assert_eq!(place.owned.len(), 3);
    assert_eq!(place.pools.len(), 1);
}
