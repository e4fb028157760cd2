//! Polling with a generous limit.

use std::thread;
use std::time;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Polls until there is a value.
pub(crate) fn until<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + TIMEOUT;
    while time::Instant::now() < end {
        if let Some(value) = probe() {
            return value;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("waited in vain until {what}");
}
