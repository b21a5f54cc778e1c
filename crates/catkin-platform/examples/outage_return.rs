//! Prints the rate of a fleet's calls to the platform during an outage and after its end.

#[path = "../tests/common/fleet.rs"]
mod fleet;

use fleet::{OUTAGE_END_MILLIS, OUTAGE_START_MILLIS, ROUTERS, run_fleet};

fn main() {
    let start = OUTAGE_START_MILLIS as usize / 1000;
    let end = OUTAGE_END_MILLIS as usize / 1000;
    println!("{ROUTERS} routers, outage from second {start} to {end}");
    println!(
        "seed  probes/s mean  probes/s max  calls in seconds 1, 2, 5, 10, 20 after its end  max"
    );
    for seed in 0..4 {
        let trace = run_fleet(seed);
        let calls = &trace.calls;
        let outage = &calls[end - 100..end];
        let mean = outage.iter().sum::<usize>() as f64 / outage.len() as f64;
        let max = outage.iter().max().copied().unwrap_or_default();
        let after = [0, 1, 4, 9, 19].map(|second| calls[end + second]);
        let peak = calls[end..].iter().max().copied().unwrap_or_default();
        let healthy = trace.healthy_at_end;
        println!("{seed:>4}{mean:>15.1}{max:>14}  {after:?}  {peak}  {healthy}");
    }
}
