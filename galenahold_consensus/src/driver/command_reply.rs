//! Callbacks for the results of proposals and membership changes.

use crate::driver;

type CommandCallback<T, E> = Box<dyn FnOnce(Result<T, E>) + Send>;

/// Calls the callback of a proposal or membership change exactly once.
///
/// Dropping an unanswered reply reports [`driver::ProposeError::OutcomeUnknown`].
pub(super) struct CommandReply<T, E: From<driver::ProposeError>> {
    callback: Option<CommandCallback<T, E>>,
}

impl<T, E: From<driver::ProposeError>> CommandReply<T, E> {
    pub(super) fn new(callback: impl FnOnce(Result<T, E>) + Send + 'static) -> Self {
        Self {
            callback: Some(Box::new(callback)),
        }
    }

    pub(super) fn answer(mut self, result: Result<T, E>) {
        if let Some(callback) = self.callback.take() {
            callback(result);
        }
    }

    pub(super) fn refuse(self, error: driver::ProposeError) {
        self.answer(Err(error.into()));
    }
}

impl<T, E: From<driver::ProposeError>> Drop for CommandReply<T, E> {
    fn drop(&mut self) {
        if let Some(callback) = self.callback.take() {
            callback(Err(driver::ProposeError::OutcomeUnknown.into()));
        }
    }
}
