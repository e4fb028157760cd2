//! Interface to the replicated application state.

use crate::driver;
use crate::log;

/// The application state that committed commands change.
///
/// It must be deterministic: the same commands in the same order give the same state on all members.
pub trait StateMachine: Send + 'static {
    /// Result of a command.
    type Outcome: Clone + Send + 'static;

    /// Applies a committed command.
    ///
    /// The pair of term and index can serve as a fencing number: it increases with every command.
    fn apply(&mut self, index: log::LogIndex, term: log::Term, command: &[u8]) -> Self::Outcome;

    /// Serializes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state with a serialized one.
    ///
    /// # Errors
    ///
    /// This version cannot read the snapshot; the member then stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError>;
}
