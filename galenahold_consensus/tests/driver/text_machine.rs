//! State machine for tests, with commands that can be read back.

use galenahold_consensus::driver;
use galenahold_consensus::log;

/// A state machine that stores each command as a line.
#[derive(Debug, Clone, Default)]
pub(crate) struct TextMachine {
    pub(crate) lines: Vec<String>,
}

impl TextMachine {
    /// A command that makes the state machine panic.
    pub(crate) const FATAL: &[u8] = b"fatal";
}

impl driver::StateMachine for TextMachine {
    type Outcome = usize;

    fn apply(&mut self, _index: log::LogIndex, _term: log::Term, command: &[u8]) -> usize {
        assert_ne!(command, Self::FATAL, "the fatal command was applied");
        self.lines
            .push(String::from_utf8_lossy(command).into_owned());
        self.lines.len()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.lines.join("\n").into_bytes()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError> {
        let text = std::str::from_utf8(snapshot).map_err(driver::RestoreError::new)?;
        self.lines = text.lines().map(str::to_owned).collect();
        Ok(())
    }
}
