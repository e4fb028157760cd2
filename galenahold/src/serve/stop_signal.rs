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

    /// Waits for the first signal.
    pub(crate) fn wait(&mut self) {
        if let Some(signal) = self.signals.forever().next() {
            log::info!(signal; "stopping on a signal");
        }
    }
}
