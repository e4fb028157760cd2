//! Latency between tokens.

use std::time;

/// Counts of the gaps between the tokens of one answer that met or missed a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenGapCounts {
    /// Gaps that met the limit.
    pub met: u64,
    /// Gaps that missed the limit.
    pub missed: u64,
}

impl TokenGapCounts {
    /// Counts one gap.
    pub fn observe(&mut self, gap: time::Duration, limit: time::Duration) {
        if gap <= limit {
            self.met += 1;
        } else {
            self.missed += 1;
        }
    }
}
