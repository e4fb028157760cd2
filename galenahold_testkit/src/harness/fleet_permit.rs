//! Leave to run fleets.

use std::sync;

/// Fleets that may run at once in one process.
const MAX_FLEETS: usize = 3;

/// Fleets that run now.
static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
/// Told when a fleet has ended.
static ENDED: sync::Condvar = sync::Condvar::new();

/// Leave to run fleets; few run at once, so that tests do not starve each other.
#[derive(Debug)]
pub struct FleetPermit {
    fleets: usize,
}

impl FleetPermit {
    /// Waits until so many fleets may run; a test takes the leave for all of its fleets at once.
    #[must_use]
    pub fn take(fleets: usize) -> Self {
        let running = RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| {
                *running > 0 && *running + fleets > MAX_FLEETS
            })
            .unwrap_or_else(sync::PoisonError::into_inner);
        *running += fleets;
        Self { fleets }
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner) -= self.fleets;
        ENDED.notify_all();
    }
}
