//! Polling for a condition with a timeout.

use std::thread;
use std::time;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Polls until the probe returns a value; panics with the awaited condition after the timeout.
pub(crate) fn until<T>(condition: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < end {
        if let Some(value) = probe() {
            return value;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting until {condition}");
}
