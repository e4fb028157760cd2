//! [`JitterSource`].

use std::time;

/// A small pseudo-random sequence (`SplitMix64`) that spreads election timeouts.
#[derive(Debug, Clone)]
pub(super) struct JitterSource {
    state: u64,
}

impl JitterSource {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

    pub(super) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Draws a duration from `shortest` up to twice as long.
    pub(super) fn spread(&mut self, shortest: time::Duration) -> time::Duration {
        let range_nanos = u64::try_from(shortest.as_nanos())
            .unwrap_or(u64::MAX)
            .max(1);
        shortest + time::Duration::from_nanos(self.next() % range_nanos)
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(Self::STEP);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
