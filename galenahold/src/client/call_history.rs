//! What earlier attempts of a call came to.

use std::net;

use crate::client;

/// What earlier attempts of a call came to.
#[derive(Debug, Default)]
pub(super) struct CallHistory {
    /// What attempts came to, each text once.
    attempts: Vec<String>,
    may_be_applied: bool,
}

impl CallHistory {
    /// Notes an attempt that provably changed nothing.
    pub(super) fn note_not_applied(&mut self, address: net::SocketAddr, reason: &str) {
        self.note(address, reason);
    }

    /// Notes an attempt that may have been applied.
    pub(super) fn note_lost(&mut self, address: net::SocketAddr, reason: &str) {
        self.note(address, reason);
        self.may_be_applied = true;
    }

    fn note(&mut self, address: net::SocketAddr, reason: &str) {
        let attempt = format!("{address}: {reason}");
        if !self.attempts.contains(&attempt) {
            self.attempts.push(attempt);
        }
    }

    /// Tells whether an attempt may have been applied.
    pub(super) fn may_be_applied(&self) -> bool {
        self.may_be_applied
    }

    /// Ends the call without an answer.
    pub(super) fn into_error(self, call: &client::OperatorCall) -> client::CallError {
        let attempts = self.attempts.join("; ");
        if self.may_be_applied && call.repeat != client::RepeatRule::Read {
            return client::CallError::OutcomeUnknown {
                path: call.path,
                attempts,
                repeat_options: call.repeat_options.clone(),
            };
        }
        client::CallError::Unreachable {
            path: call.path,
            attempts,
        }
    }
}
