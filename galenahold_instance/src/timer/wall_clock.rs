//! The time of day, for what outlives a process.

use std::time;

/// Returns the milliseconds since the Unix epoch; zero for a clock before it.
pub(crate) fn epoch_ms() -> u64 {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
