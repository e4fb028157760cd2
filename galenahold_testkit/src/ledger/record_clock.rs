//! The time base of records, comparable between processes of one machine.

use std::time;

/// Returns the microseconds since the Unix epoch.
pub(crate) fn unix_micros() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
