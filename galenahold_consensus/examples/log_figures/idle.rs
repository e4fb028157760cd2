//! Benchmark of the CPU time and traffic of an idle group, which only sends heartbeats.

use std::fs;
use std::path;
use std::thread;
use std::time;

use crate::bench_group;

const WINDOW: time::Duration = time::Duration::from_secs(10);
const NANOS_PER_SECOND: f64 = 1e9;

/// Prints a line for each group size.
pub(crate) fn measure(folder: &path::Path) {
    println!("voters  CPU percent per member  bytes sent per second by all members");
    for voters in [3_u8, 5] {
        let group = bench_group::BenchGroup::bootstrap(folder, voters.into(), 0, |builder| builder);
        group.leader(None);
        let before = processor_nanos();
        let sent_before = group.network.sent_bytes();
        thread::sleep(WINDOW);
        let used = processor_nanos() - before;
        let share = used / NANOS_PER_SECOND / WINDOW.as_secs_f64() / f64::from(voters);
        let sent = (group.network.sent_bytes() - sent_before) / WINDOW.as_secs();
        println!("{voters:6}  {:.3}  {sent}", share * 100.0);
    }
}

/// Returns the CPU time used by all threads of this process, in nanoseconds.
fn processor_nanos() -> f64 {
    let tasks = fs::read_dir("/proc/self/task").expect("the threads of this process are listed");
    tasks
        .filter_map(Result::ok)
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|text| {
            text.split(' ')
                .next()
                .and_then(|nanos| nanos.parse::<f64>().ok())
        })
        .sum()
}
