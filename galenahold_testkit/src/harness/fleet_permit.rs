//! Leave to run a fleet.

use std::sync;

/// Fleets that may run at once in one process.
const MAX_FLEETS: usize = 3;

/// Fleets that run now.
static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
/// Told when a fleet has ended.
static ENDED: sync::Condvar = sync::Condvar::new();

/// Leave to run one fleet; few run at once, so that tests do not starve each other.
#[derive(Debug)]
pub struct FleetPermit(());

impl FleetPermit {
    /// Waits until a fleet may run.
    #[must_use]
    pub fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_FLEETS)
            .unwrap_or_else(sync::PoisonError::into_inner);
        *running += 1;
        Self(())
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
