//! The state machine of the replicated log.

use galenahold_consensus::driver;
use galenahold_consensus::log as raft_log;
use galenahold_domain::amount;
use galenahold_domain::control;
use log::error;

use crate::control as group;

/// Applies committed commands to the replicated state.
#[derive(Debug)]
pub(crate) struct ControlMachine {
    state: group::SharedState,
}

impl ControlMachine {
    /// Creates a state machine over the shared state.
    pub(crate) fn new(state: group::SharedState) -> Self {
        Self { state }
    }
}

impl driver::StateMachine for ControlMachine {
    type Outcome = control::ControlOutcome;

    /// # Panics
    ///
    /// Panics on a command that this version does not know, which ends the thread of the log: skipping the
    /// command would let the state diverge from that of other members. The instance then stops with an error.
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
                error!(index = index.get(), error:% = error; "log contains an unknown command");
                self.state.set_fault(format!(
                    "applying log entry {}: {error}; start a version that knows the command",
                    index.get()
                ));
                panic!("log entry {} contains an unknown command", index.get());
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
