//! State machine for benchmarks.

use galenahold_consensus::driver;
use galenahold_consensus::log;

/// A state machine that counts commands and whose snapshots have a given size.
#[derive(Debug, Clone)]
pub(crate) struct BlobMachine {
    state: Vec<u8>,
    applied: u64,
}

impl BlobMachine {
    pub(crate) fn new(state_bytes: usize) -> Self {
        let state = (0..=u8::MAX).cycle().take(state_bytes).collect();
        Self { state, applied: 0 }
    }

    pub(crate) fn state_bytes(&self) -> usize {
        self.state.len()
    }
}

impl driver::StateMachine for BlobMachine {
    type Outcome = u64;

    fn apply(&mut self, _index: log::LogIndex, _term: log::Term, _command: &[u8]) -> u64 {
        self.applied += 1;
        self.applied
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), driver::RestoreError> {
        self.state = snapshot.to_vec();
        Ok(())
    }
}
