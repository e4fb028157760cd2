//! Benchmark of commit latency and throughput.

use std::path;
use std::time;

use crate::bench_group;
use crate::quantiles;

const SECONDS: u64 = 5;
const COMMAND_BYTES: usize = 256;

/// Prints a line for each group size and number of proposals in flight.
pub(crate) fn measure(folder: &path::Path) {
    println!("voters  in flight  commits/s  p50 ms  p99 ms  ({COMMAND_BYTES} B commands)");
    for voters in [1, 3, 5] {
        for in_flight in [1, 4, 16, 64, 256, 1_024] {
            measure_one(folder, voters, in_flight);
        }
    }
}

fn measure_one(folder: &path::Path, voters: usize, in_flight: usize) {
    let group = bench_group::BenchGroup::bootstrap(folder, voters, 0, |builder| builder);
    let leader = group.handle(group.leader(None));
    let (sender, answers) = crossbeam_channel::unbounded();
    let propose = || {
        let sender = sender.clone();
        let started = time::Instant::now();
        leader.propose_with(vec![0; COMMAND_BYTES], move |result| {
            let _ = sender.send(result.map(|_| started.elapsed()));
        });
    };
    for _ in 0..in_flight {
        propose();
    }
    let started = time::Instant::now();
    let mut times = Vec::new();
    let mut refused = 0_usize;
    while started.elapsed() < time::Duration::from_secs(SECONDS) {
        match answers.recv().expect("answer") {
            Ok(time) => times.push(time),
            Err(_) => refused += 1,
        }
        propose();
    }
    let commits = u32::try_from(times.len()).unwrap_or(u32::MAX);
    let rate = f64::from(commits) / started.elapsed().as_secs_f64();
    let quantiles = quantiles::Quantiles::new(times);
    let (p50, p99) = (quantiles.millis(50), quantiles.millis(99));
    println!("{voters:6}  {in_flight:9}  {rate:9.0}  {p50:6.2}  {p99:6.2}  refused {refused}");
}
