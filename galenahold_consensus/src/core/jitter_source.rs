//! Random jitter for election timeouts.

use std::time;

/// A `SplitMix64` pseudo-random generator that randomizes election timeouts.
///
/// The sequence depends on the seed alone.
#[derive(Debug, Clone)]
pub(super) struct JitterSource {
    state: u64,
}

impl JitterSource {
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a random duration from `base` up to, but not including, twice `base`.
    pub(super) fn randomize(&mut self, base: time::Duration) -> time::Duration {
        let base_nanos = u64::try_from(base.as_nanos()).unwrap_or(u64::MAX).max(1);
        base + time::Duration::from_nanos(self.next() % base_nanos)
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(Self::INCREMENT);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
