//! The history of a bucket's peaks, which bounds late refunds.

use std::collections;

/// Maximum number of peaks that are kept.
const MAX_ENTRIES: usize = 4_096;

/// The peaks of a bucket over time, so that a late refund credits no more than the bucket would hold if
/// the tokens had never been charged.
///
/// The values of the entries decrease, so the peak since a step is the first entry at or after it.
#[derive(Debug, Default)]
pub(super) struct LevelHistory {
    entries: collections::VecDeque<LevelEntry>,
    step: u64,
    forgotten_before: u64,
}

#[derive(Debug)]
struct LevelEntry {
    step: u64,
    nanotokens: i128,
}

impl LevelHistory {
    /// Records the sum of level and outstanding tokens before the sum falls.
    pub(super) fn record(&mut self, nanotokens: i128) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.nanotokens <= nanotokens)
        {
            self.entries.pop_back();
        }
        self.entries.push_back(LevelEntry {
            step: self.step,
            nanotokens,
        });
        if self.entries.len() > MAX_ENTRIES {
            let dropped = self.entries.pop_front();
            self.forgotten_before = dropped.map_or(0, |entry| entry.step + 1);
        }
    }

    /// Ends the present step and returns the number of the next one.
    pub(super) fn next_step(&mut self) -> u64 {
        self.step += 1;
        self.step
    }

    /// Returns the peak since the start of a step, or `None` if that part of the history was dropped.
    pub(super) fn peak_since(&self, step: u64) -> Option<i128> {
        if step < self.forgotten_before {
            return None;
        }
        let first = self.entries.partition_point(|entry| entry.step < step);
        self.entries.get(first).map(|entry| entry.nanotokens)
    }

    /// Raises the whole history, as if these tokens had never been charged.
    pub(super) fn raise(&mut self, nanotokens: i128) {
        for entry in &mut self.entries {
            entry.nanotokens += nanotokens;
        }
    }
}
