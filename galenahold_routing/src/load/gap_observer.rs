//! Measurement of a stream's time per event.

use std::time;

/// Gaps in one measurement. The median over nine gaps ignores an engine's pause as long as it covers less
/// than half of them.
const GAPS_PER_SAMPLE: usize = 9;

/// Gaps that are enough for a measurement at the end of a stream.
const MIN_GAPS: usize = 4;

/// Measures the time between the events of one stream from one server.
///
/// Only gaps in which the instance waited for the server count. While a caller reads slowly, events pile
/// up, and the times at which they are read say nothing about the server.
#[derive(Debug, Default)]
pub struct GapObserver {
    last_arrival: Option<time::Instant>,
    gaps_us: Vec<u32>,
}

impl GapObserver {
    /// Records that `events` events were complete at `arrived`, and that the instance was `blocked` by the
    /// caller since the events before. Returns the median time per event in microseconds and the number of
    /// gaps, once there are enough.
    pub fn observe(
        &mut self,
        events: u32,
        blocked: time::Duration,
        arrived: time::Instant,
    ) -> Option<(u32, u32)> {
        if events == 0 {
            return None;
        }
        let last = self.last_arrival.replace(arrived)?;
        let gap = arrived.saturating_duration_since(last);
        if gap.is_zero() || blocked * 2 > gap {
            return None;
        }
        let gap_us = u32::try_from((gap / events).as_micros()).unwrap_or(u32::MAX);
        self.gaps_us.push(gap_us);
        if self.gaps_us.len() < GAPS_PER_SAMPLE {
            return None;
        }
        self.take_median()
    }

    /// Returns the last measurement of a stream that has ended, if it had enough gaps.
    pub fn finish(&mut self) -> Option<(u32, u32)> {
        self.last_arrival = None;
        if self.gaps_us.len() < MIN_GAPS {
            self.gaps_us.clear();
            return None;
        }
        self.take_median()
    }

    fn take_median(&mut self) -> Option<(u32, u32)> {
        self.gaps_us.sort_unstable();
        let median = self.gaps_us.get(self.gaps_us.len() / 2).copied()?;
        let count = u32::try_from(self.gaps_us.len()).unwrap_or(u32::MAX);
        self.gaps_us.clear();
        Some((median, count))
    }
}
