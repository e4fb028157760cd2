//! Remembers the peaks of a bucket.

use std::collections;

const MAX_ENTRIES: usize = 4_096;

/// Remembers the peaks of a bucket, so that a late refund gives back no more than the bucket would
/// hold had the tokens never been charged.
///
/// Entries are kept with falling values, so the peak since a step is the first entry after it.
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
    /// Records the bucket's sum before it falls.
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

    /// Ends a step and returns the number of the next.
    pub(super) fn next_step(&mut self) -> u64 {
        self.step += 1;
        self.step
    }

    /// Returns the peak since the start of a step, or nothing where it was forgotten.
    pub(super) fn peak_since(&self, step: u64) -> Option<i128> {
        if step < self.forgotten_before {
            return None;
        }
        let first = self.entries.partition_point(|entry| entry.step < step);
        self.entries.get(first).map(|entry| entry.nanotokens)
    }

    /// Raises the whole history, as if that much had never been charged.
    pub(super) fn raise(&mut self, nanotokens: i128) {
        for entry in &mut self.entries {
            entry.nanotokens += nanotokens;
        }
    }
}
