//! Parsing of `/proc` files and metrics, and the choice of the measured router's name.
//!
//! Wrong values here would go unnoticed into the figures of a measurement: a process name with
//! spaces or parentheses shifts the fields of `stat`, and a metric name may be a prefix of another.

use catkin_feeder::{FleetShape, ProcessReading, find_metric};

const STATUS: &str = "Name:\tcatkin-router\nVmHWM:\t   70000 kB\nVmRSS:\t   64000 kB\n";
const STAT: &str = "42 (odd ) name) S 1 42 42 0 -1 4194304 900 0 0 0 120 30 0 0 20 0 12 0 1 2 3";

#[test]
fn process_times_are_parsed_after_a_name_with_parentheses() {
    let reading = ProcessReading::parse(STATUS, STAT).expect("readable");

    assert_eq!(reading, ProcessReading { resident_kib: 64_000, peak_kib: 70_000, ticks: 150 });
}

#[test]
fn core_percent_is_computed_from_ticks() {
    let earlier = ProcessReading { resident_kib: 1, peak_kib: 1, ticks: 100 };
    let later = ProcessReading { ticks: 150, ..earlier };

    assert!((later.percent_since(&earlier, 10.0) - 5.0).abs() < 1e-9);
}

#[test]
fn metric_is_found_only_by_its_full_name() {
    let text = "# TYPE catkin_revision gauge\ncatkin_revision_old 9\ncatkin_revision 3\n";

    assert_eq!(find_metric(text, "catkin_revision"), Some(3.0));
    assert_eq!(find_metric(text, "catkin"), None);
}

#[test]
fn measured_router_owns_the_mean_number_of_servers() {
    let shape = FleetShape { routers: 30, servers: 78, teams: 10, models: 19 };

    let assignment = shape.find_assignment().expect("a name is found");

    assert_eq!(assignment.owned.len(), 3);
    assert_eq!(assignment.pools.len(), 1);
}
