//! The signal that asks the process to stop.

use signal_hook::consts;
use signal_hook::iterator;
use snafu::ResultExt;

use crate::serve;
use crate::serve::serve_error::SignalsSnafu;

/// The signal that asks the process to stop: SIGTERM or SIGINT.
#[derive(Debug)]
pub(crate) struct StopSignal {
    signals: iterator::Signals,
}

impl StopSignal {
    /// Subscribes to the signals; from here on they no longer end the process.
    ///
    /// # Errors
    ///
    /// Fails where the system refuses the subscription.
    pub(crate) fn subscribe() -> Result<Self, serve::ServeError> {
        let signals =
            iterator::Signals::new([consts::SIGTERM, consts::SIGINT]).context(SignalsSnafu)?;
        Ok(Self { signals })
    }

    /// Returns what ends the wait without a signal.
    pub(crate) fn waker(&self) -> serve::StopWaker {
        serve::StopWaker::new(self.signals.handle())
    }

    /// Waits for the first signal, or until it is woken.
    pub(crate) fn wait(&mut self) {
        if let Some(signal) = self.signals.forever().next() {
            log::info!(signal; "stopping on a signal");
        }
    }
}
