//! Callers that come back after a rejection are told from new ones by their remaining time.

use std::time;

use galenahold_routing::rate;
use rand::{RngExt, SeedableRng, rngs};

/// Observes calls of a route; returns how many of the new and of the returning ones were taken for returning,
/// in percent.
fn recognized(returning_per_cent: u32, limits_ms: std::ops::Range<u64>) -> (u32, u32) {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut detector = rate::ReturnDetector::default();
    let mut counts = [(0, 0); 2];
    for number in 0..2_000 {
        let limit = rng.random_range(limits_ms.clone());
        let returns = number > 50 && rng.random_range(0..100) < returning_per_cent;
        // A rejected caller waits for 0.2 s to a third of its time.
        let waited = if returns {
            rng.random_range(200..limit / 3)
        } else {
            0
        };
        let remaining = time::Duration::from_millis(limit - waited);
        let count = &mut counts[usize::from(returns)];
        count.0 += 1;
        count.1 += u32::from(detector.observe(remaining));
    }
    (
        counts[0].1 * 100 / counts[0].0,
        counts[1].1 * 100 / counts[1].0.max(1),
    )
}

#[test]
fn returning_callers_are_recognized_while_half_of_the_calls_come_back() {
    let (new, returning) = recognized(50, 7_960..8_000);
    assert!(new <= 1, "{new} percent of the new callers");
    assert!(
        returning >= 95,
        "{returning} percent of the returning callers"
    );
}

#[test]
fn new_callers_of_a_calm_route_are_not_taken_for_returning_ones() {
    let (new, _) = recognized(0, 1_450..1_500);
    assert_eq!(new, 0);
}

/// Guards against precedence for callers that only have shorter limits.
#[test]
fn new_callers_with_different_limits_are_not_taken_for_returning_ones() {
    let (new, _) = recognized(0, 4_000..8_000);
    assert!(new <= 10, "{new} percent of the new callers");
}

#[test]
fn first_calls_of_a_route_are_new() {
    let mut detector = rate::ReturnDetector::default();
    assert!((1..8).all(|number| !detector.observe(time::Duration::from_secs(10 - number))));
}
