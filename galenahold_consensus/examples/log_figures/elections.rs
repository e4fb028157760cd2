//! Benchmark of failover: the time from the loss of a leader to the first commit under a new one.

use std::path;
use std::thread;
use std::time;

use crate::bench_group;
use crate::quantiles;

const ROUNDS: usize = 40;
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
const TIMEOUTS_MS: [u64; 3] = [150, 300, 500];

/// Prints a line for each group size and election timeout.
pub(crate) fn measure(folder: &path::Path) {
    println!("voters  election timeout ms  p50 ms  p95 ms  max ms  ({ROUNDS} losses)");
    for voters in [3, 5] {
        for timeout_ms in TIMEOUTS_MS {
            measure_one(folder, voters, timeout_ms);
        }
    }
}

fn measure_one(folder: &path::Path, voters: usize, timeout_ms: u64) {
    let timeout = time::Duration::from_millis(timeout_ms);
    let group = bench_group::BenchGroup::bootstrap(folder, voters, 0, |builder| {
        builder.election_timeout(timeout)
    });
    let times = (0..ROUNDS).map(|_| fail_over(&group, timeout)).collect();
    let quantiles = quantiles::Quantiles::new(times);
    let (p50, p95) = (quantiles.millis(50), quantiles.millis(95));
    let max = quantiles.millis(100);
    println!("{voters:6}  {timeout_ms:19}  {p50:6.0}  {p95:6.0}  {max:6.0}");
}

fn fail_over(group: &bench_group::BenchGroup, timeout: time::Duration) -> time::Duration {
    let old_leader = group.leader(None);
    let committed = group
        .handle(old_leader)
        .propose(b"before".to_vec(), TIMEOUT);
    committed.expect("the old leader commits");
    let started = time::Instant::now();
    group.network.set_isolated(Some(group.name(old_leader)));
    loop {
        let leader = group.handle(group.leader(Some(old_leader)));
        if leader.propose(b"after".to_vec(), TIMEOUT).is_ok() {
            break;
        }
    }
    let elapsed = started.elapsed();
    group.network.set_isolated(None);
    thread::sleep(timeout * 2);
    elapsed
}
