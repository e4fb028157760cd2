//! Estimates load times per checkpoint tier with a moving average.

use std::time;

use galenahold_domain::{amount, server};

const TIER_COUNT: usize = 3;
/// Lower bound of measured and estimated load times.
const MIN_LOAD_TIME: time::Duration = time::Duration::from_millis(5);
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Initial throughput for the memory, disk and remote tiers.
const DEFAULT_BYTES_PER_SECOND: [f64; TIER_COUNT] = [20e9, 4e9, 1.5e9];

/// Estimates how long a load takes, from the throughput of completed loads in each checkpoint tier.
#[derive(Debug, Clone)]
pub struct LoadTime {
    bytes_per_second: [f64; TIER_COUNT],
}

impl LoadTime {
    /// Records the duration of a completed load.
    pub fn record(
        &mut self,
        tier: server::CheckpointTier,
        bytes: amount::ByteCount,
        elapsed: time::Duration,
    ) {
        let observed = to_float(bytes) / elapsed.max(MIN_LOAD_TIME).as_secs_f64();
        let speed = &mut self.bytes_per_second[index_of(tier)];
        *speed = *speed * (1.0 - SAMPLE_WEIGHT) + observed * SAMPLE_WEIGHT;
    }

    /// Returns the expected duration of a load.
    #[must_use]
    pub fn estimate(
        &self,
        tier: server::CheckpointTier,
        bytes: amount::ByteCount,
    ) -> time::Duration {
        let seconds = to_float(bytes) / self.bytes_per_second[index_of(tier)].max(1.0);
        MIN_LOAD_TIME + time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }
}

impl Default for LoadTime {
    fn default() -> Self {
        Self {
            bytes_per_second: DEFAULT_BYTES_PER_SECOND,
        }
    }
}

fn index_of(tier: server::CheckpointTier) -> usize {
    match tier {
        server::CheckpointTier::Memory => 0,
        server::CheckpointTier::Disk => 1,
        server::CheckpointTier::Remote => 2,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "52 bits are precise enough for an estimate"
)]
fn to_float(bytes: amount::ByteCount) -> f64 {
    bytes.0 as f64
}
