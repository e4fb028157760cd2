//! [`StateMachine`].

use crate::driver;
use crate::log;

/// What the committed commands act on.
///
/// It must be deterministic: equal commands in equal order give equal states on all members.
pub trait StateMachine: Send + 'static {
    /// Result of a command.
    type Outcome: Clone + Send + 'static;

    /// Applies a committed command.
    ///
    /// Term and index serve as a fencing number: later commands have a greater pair.
    fn apply(&mut self, index: log::LogIndex, term: log::Term, command: &[u8]) -> Self::Outcome;

    /// Returns the whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state.
    ///
    /// # Errors
    ///
    /// The bytes are no state that this version knows; the member then stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError>;
}
