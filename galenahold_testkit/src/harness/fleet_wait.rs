//! Waiting for conditions.

use std::thread;
use std::time;

/// Pause between looks.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Waits until something holds.
///
/// # Panics
///
/// Panics with `what` when it does not hold within `limit`.
pub fn wait_within(what: &str, limit: time::Duration, mut holds: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + limit;
    while !holds() {
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(LOOK_PAUSE);
    }
}
