//! Callbacks for the results of reads.

use crate::driver;

type ReadCallback<S> = Box<dyn FnOnce(Result<&S, driver::ReadError>) + Send>;

/// Calls the callback of a read exactly once.
///
/// Dropping an unanswered reply reports [`driver::ReadError::Stopped`].
pub(super) struct ReadReply<S> {
    callback: Option<ReadCallback<S>>,
}

impl<S> ReadReply<S> {
    pub(super) fn new(
        callback: impl FnOnce(Result<&S, driver::ReadError>) + Send + 'static,
    ) -> Self {
        Self {
            callback: Some(Box::new(callback)),
        }
    }

    pub(super) fn answer(mut self, state: Result<&S, driver::ReadError>) {
        if let Some(callback) = self.callback.take() {
            callback(state);
        }
    }
}

impl<S> Drop for ReadReply<S> {
    fn drop(&mut self) {
        if let Some(callback) = self.callback.take() {
            callback(Err(driver::ReadError::Stopped));
        }
    }
}
