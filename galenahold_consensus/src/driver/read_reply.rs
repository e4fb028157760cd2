//! [`ReadReply`].

use crate::driver;

type ReadCall<S> = Box<dyn FnOnce(Result<&S, driver::ReadError>) + Send>;

/// Hands the state to a reader once; a reply that is dropped unanswered tells that the log stopped.
pub(super) struct ReadReply<S> {
    call: Option<ReadCall<S>>,
}

impl<S> ReadReply<S> {
    pub(super) fn new(call: impl FnOnce(Result<&S, driver::ReadError>) + Send + 'static) -> Self {
        Self {
            call: Some(Box::new(call)),
        }
    }

    pub(super) fn answer(mut self, state: Result<&S, driver::ReadError>) {
        if let Some(call) = self.call.take() {
            call(state);
        }
    }
}

impl<S> Drop for ReadReply<S> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            call(Err(driver::ReadError::Stopped));
        }
    }
}
