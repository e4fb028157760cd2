//! Which streams hold events for slow callers, and which is ended when memory runs out.

use std::time;

use galenahold_routing::relay;

const LIMITS: relay::ReadAheadLimits = relay::ReadAheadLimits {
    stream_bytes: 100_000,
    total_bytes: 1_000_000,
};

const EVENT: usize = 500;

/// Replays 100 streams of 50 events a second, of which the first 30 callers read a tenth of their events and
/// the others all, three events behind; returns the streams that were ended, in order.
fn replay(limits: relay::ReadAheadLimits) -> (Vec<usize>, usize) {
    let mut ledger = relay::ReadAheadLedger::new(limits);
    let keys: Vec<_> = (0..100).map(|_| ledger.open()).collect();
    let mut now = time::Instant::now();
    let (mut ended, mut highest) = (Vec::new(), 0);
    for step in 0..1_000 {
        for (number, key) in keys.iter().enumerate() {
            if ended.contains(&number) {
                continue;
            }
            while let relay::ReadAheadStep::EndFirst(slowest) = ledger.hold(*key, EVENT, now) {
                let index = keys.iter().position(|key| *key == slowest);
                ended.push(index.expect("the stream was opened"));
                ledger.end(slowest);
                while ledger.stream_bytes(slowest) > 0 {
                    ledger.release(slowest);
                }
            }
            highest = highest.max(ledger.held_bytes());
            let reads = if number < 30 {
                step % 10 == 0
            } else {
                ledger.stream_bytes(*key) > 3 * EVENT
            };
            if reads {
                ledger.release(*key);
            }
        }
        now += time::Duration::from_millis(20);
    }
    (ended, highest)
}

#[test]
fn slow_readers_are_ended_first_and_fast_ones_never() {
    let (ended, highest) = replay(LIMITS);
    assert!(!ended.is_empty());
    assert!(ended.iter().all(|number| *number < 30), "{ended:?}");
    assert!(highest <= LIMITS.total_bytes, "{highest} bytes");
}

#[test]
fn stream_at_its_own_bound_waits_and_ends_no_other() {
    let limits = relay::ReadAheadLimits {
        total_bytes: 100_000_000,
        ..LIMITS
    };
    let (ended, highest) = replay(limits);
    assert_eq!(ended, Vec::<usize>::new());
    assert!(
        highest <= 30 * LIMITS.stream_bytes + 70 * 4 * EVENT,
        "{highest} bytes"
    );
}

/// Guards against a fast reader that is stopped by what ended streams still hold.
#[test]
fn stream_that_holds_nothing_may_hold_an_event_while_ended_streams_fill_the_memory() {
    let mut ledger = relay::ReadAheadLedger::new(relay::ReadAheadLimits {
        stream_bytes: 1_000,
        total_bytes: 1_000,
    });
    let (slow, fast) = (ledger.open(), ledger.open());
    let now = time::Instant::now();
    assert_eq!(ledger.hold(slow, 900, now), relay::ReadAheadStep::Held);
    assert_eq!(
        ledger.hold(fast, 500, now),
        relay::ReadAheadStep::EndFirst(slow)
    );
    ledger.end(slow);
    assert_eq!(ledger.hold(fast, 500, now), relay::ReadAheadStep::Held);
}
