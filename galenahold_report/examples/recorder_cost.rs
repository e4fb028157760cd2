//! Measures the time of recording one request on the request path and the size of a snapshot.
//!
//! Run it in release mode: `cargo run --release -p galenahold_report --example recorder_cost`.

use std::hint;
use std::thread;
use std::time;

use galenahold_domain::intent;
use galenahold_domain::name;
use galenahold_report::{ObjectiveRecorder, RequestMeasurement, RequestOutcome, TokenGapCounts};

const RECORDS_PER_THREAD: u32 = 1_000_000;
const THREAD_COUNTS: [u32; 3] = [1, 4, 8];
const PAIR_COUNTS: [usize; 3] = [10, 100, 1_000];

fn main() {
    for threads in THREAD_COUNTS {
        let shared_pair = nanoseconds_per_record(threads, false);
        let separate_pairs = nanoseconds_per_record(threads, true);
        println!(
            "threads={threads} one_pair_ns={shared_pair:.0} pair_per_thread_ns={separate_pairs:.0} (per record, as a thread sees it)"
        );
    }
    for pairs in PAIR_COUNTS {
        println!("pairs={pairs} snapshot_bytes={}", snapshot_bytes(pairs));
    }
}

/// Returns the wall time per recorded request in each thread.
fn nanoseconds_per_record(threads: u32, separate_pairs: bool) -> f64 {
    let start = time::Instant::now();
    let recorder = ObjectiveRecorder::new(start);
    thread::scope(|scope| {
        for index in 0..threads {
            let recorder = &recorder;
            scope.spawn(move || record_many(recorder, if separate_pairs { index } else { 0 }));
        }
    });
    start.elapsed().as_secs_f64() * 1e9 / f64::from(RECORDS_PER_THREAD)
}

fn record_many(recorder: &ObjectiveRecorder, pair: u32) {
    let team = name::TeamName::from(format!("team-{pair}"));
    let service = name::ServiceName::from("drafts");
    let objective = intent::ServiceObjective::default();
    let now = time::Instant::now();
    for _ in 0..RECORDS_PER_THREAD {
        recorder.record(
            &service,
            &team,
            &objective,
            hint::black_box(&measurement()),
            now,
        );
    }
}

/// Returns the size of the JSON snapshot of a recorder with a full history of 6 hours.
fn snapshot_bytes(pairs: usize) -> usize {
    let start = time::Instant::now();
    let recorder = ObjectiveRecorder::new(start);
    let objective = intent::ServiceObjective::default();
    let hours = time::Duration::from_hours(6);
    for pair in 0..pairs {
        let team = name::TeamName::from(format!("team-{pair}"));
        for minute in 0..360 {
            let now = start + time::Duration::from_mins(minute);
            recorder.record(&"drafts".into(), &team, &objective, &measurement(), now);
        }
    }
    let snapshot = recorder.snapshot(&"e1".into(), start + hours);
    serde_json::to_string(&snapshot).map_or(0, |text| text.len())
}

fn measurement() -> RequestMeasurement {
    RequestMeasurement {
        outcome: RequestOutcome::Answered,
        wait: time::Duration::from_millis(3),
        first_token: Some(time::Duration::from_millis(200)),
        token_gaps: TokenGapCounts {
            met: 100,
            missed: 2,
        },
    }
}
