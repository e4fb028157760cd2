//! The state machine behind the replicated log.

use galenahold_consensus::driver;
use galenahold_consensus::log as raft_log;
use galenahold_domain::amount;
use galenahold_domain::control;
use log::error;

use crate::control as group;

/// Applies the log's commands to the replicated state.
#[derive(Debug)]
pub(crate) struct ControlMachine {
    state: group::SharedState,
}

impl ControlMachine {
    /// Creates a machine over the shared state.
    pub(crate) fn new(state: group::SharedState) -> Self {
        Self { state }
    }
}

impl driver::StateMachine for ControlMachine {
    type Outcome = control::ControlOutcome;

    /// # Panics
    ///
    /// A command that this version does not know ends the log's thread: to skip it would let the state
    /// differ from the others'. The instance then stops with an error.
    fn apply(
        &mut self,
        index: raft_log::LogIndex,
        term: raft_log::Term,
        command: &[u8],
    ) -> control::ControlOutcome {
        let fence = amount::FencingNumber {
            term: term.get(),
            index: index.get(),
        };
        let command = match control::ControlCommand::decode(command) {
            Ok(command) => command,
            Err(error) => {
                error!(index = index.get(), error:% = error; "command of the log is not known");
                self.state.set_fault(format!(
                    "applying entry {}: {error}; start a version that knows it",
                    index.get()
                ));
                panic!("entry {} of the log is not known", index.get());
            }
        };
        self.state
            .write(index.get(), |state| state.apply(fence, &command))
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.read(control::ControlState::snapshot)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError> {
        let restored =
            control::ControlState::restore(snapshot).map_err(driver::RestoreError::new)?;
        let index = restored.applied().index;
        self.state.write(index, |state| *state = restored);
        Ok(())
    }
}
