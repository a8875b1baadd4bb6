//! Measures the request path under simulated load:
//! `cargo bench -p toucangrade --bench requests -- [seeds] [seconds]`.

use toucangrade::bench::{Plan, capacity, run};

fn main() {
    let numbers: Vec<u64> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let plan = Plan {
        seeds: numbers.first().copied().unwrap_or(3),
        seconds: numbers.get(1).copied().unwrap_or(10).max(6),
        baselines: !std::env::args().any(|arg| arg == "--only-ours"),
        routing: std::env::args().any(|arg| arg == "--only-routing"),
    };
    println!("{plan:?}, capacity {:.0} quick requests a second", capacity());
    run(plan);
}
