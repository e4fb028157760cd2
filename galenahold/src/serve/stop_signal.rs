//! The signal that asks the process to stop.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use signal_hook::consts;
use signal_hook::flag;
use snafu::ResultExt;

use crate::serve;
use crate::serve::serve_error;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The signal that asks the process to stop: SIGTERM or SIGINT.
#[derive(Debug)]
pub(crate) struct StopSignal {
    received: sync::Arc<atomic::AtomicBool>,
}

impl StopSignal {
    /// Subscribes to the signals; from here on they no longer end the process.
    ///
    /// # Errors
    ///
    /// Fails where the system refuses the subscription.
    pub(crate) fn subscribe() -> Result<Self, serve::ServeError> {
        let received = sync::Arc::<atomic::AtomicBool>::default();
        for signal in [consts::SIGTERM, consts::SIGINT] {
            flag::register(signal, sync::Arc::clone(&received))
                .context(serve_error::SignalsSnafu)?;
        }
        Ok(Self { received })
    }

    /// Waits for the first signal, or until `healthy` is false; returns whether a signal came.
    pub(crate) fn wait_while(&self, healthy: impl Fn() -> bool) -> bool {
        while healthy() {
            if self.received.load(atomic::Ordering::SeqCst) {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}
