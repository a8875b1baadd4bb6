//! Measures the replicated log: commits, restart and replication cost.
//!
//! `cargo run --release -p toucangrade --example agreement -- DIRECTORY`

use std::path::PathBuf;

use toucangrade::measure;

fn main() -> std::io::Result<()> {
    let Some(root) = std::env::args().nth(1).map(PathBuf::from) else {
        return Err(std::io::Error::other("usage: agreement DIRECTORY"));
    };
    println!("commits: three instances in one process, 200-byte commands");
    for round in 0..2 {
        for (writers, count) in [(1, 2_000), (16, 8_000), (256, 40_000)] {
            for group in [false, true] {
                let path = root.join(format!("commits-{round}-{writers}-{group}"));
                let commits = measure::commits(&path, count, 200, writers, group)?;
                println!(
                    "round {round}, {writers} writers, group commit {group}: {:.0}/s, median {} us, \
                     p99 {} us",
                    commits.per_second, commits.median, commits.p99
                );
                std::fs::remove_dir_all(&path)?;
            }
        }
    }
    println!("restart: 200-byte entries, snapshots of 1 MB every 10,000 entries");
    for count in [1_000, 10_000, 100_000, 400_000] {
        for interval in [None, Some(10_000)] {
            let path = root.join(format!("restart-{count}-{}", interval.unwrap_or(0)));
            let restart = measure::restart(&path, count, 200, interval, 1_000_000)?;
            println!(
                "{count} entries, snapshots {}: {:.1} ms, {} bytes on disk",
                interval.is_some(),
                restart.micros as f64 / 1_000.0,
                restart.bytes
            );
            std::fs::remove_dir_all(&path)?;
        }
    }
    println!("one follower, without disk and network, for each entry");
    for size in [50, 200, 1_000] {
        for batch in [1, 16, 256] {
            let cost = measure::follower_cost(100_000, size, batch)?;
            println!(
                "{size} bytes, {batch} at a time: {:.0} bytes sent, {:.1} received, leader {:.0} ns, \
                 follower {:.0} ns",
                cost.sent, cost.received, cost.leader, cost.follower
            );
        }
    }
    Ok(())
}
