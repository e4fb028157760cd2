//! Ring buffer of time buckets.

use std::time;

use crate::count;

/// A ring buffer of time buckets over one window: the complete buckets of its span and the current one.
#[derive(Debug)]
pub(super) struct WindowRing {
    window: count::BurnWindow,
    buckets: Vec<RingBucket>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RingBucket {
    /// The number of the bucket, counted from the start; a slot is valid only for the bucket with this number.
    number: u64,
    counts: count::ObjectiveCounts,
}

impl WindowRing {
    /// Creates an empty ring buffer.
    pub(super) fn new(window: count::BurnWindow) -> Self {
        Self {
            window,
            buckets: vec![RingBucket::default(); window.bucket_count() + 1],
        }
    }

    /// Adds counts to the bucket at `elapsed` after the start; counts for an overwritten bucket are dropped.
    pub(super) fn add(&mut self, elapsed: time::Duration, counts: &count::ObjectiveCounts) {
        let number = self.bucket_number(elapsed);
        let slot = self.slot(number);
        let bucket = &mut self.buckets[slot];
        if bucket.number < number {
            *bucket = RingBucket {
                number,
                counts: count::ObjectiveCounts::default(),
            };
        }
        if bucket.number == number {
            bucket.counts.add(counts);
        }
    }

    /// Returns the sum over the window that ends at `elapsed` after the start.
    pub(super) fn sum(&self, elapsed: time::Duration) -> count::ObjectiveCounts {
        let mut sum = count::ObjectiveCounts::default();
        for (_, counts) in self.history(elapsed) {
            sum.add(counts);
        }
        sum
    }

    /// Returns the non-empty buckets of the window that ends at `elapsed` after the start, each with its age
    /// in buckets.
    pub(super) fn history(
        &self,
        elapsed: time::Duration,
    ) -> impl Iterator<Item = (u64, &count::ObjectiveCounts)> {
        let current = self.bucket_number(elapsed);
        let age_limit = self.buckets.len() as u64;
        self.buckets.iter().filter_map(move |bucket| {
            let age = current.checked_sub(bucket.number)?;
            let is_nonempty = bucket.counts != count::ObjectiveCounts::default();
            (age < age_limit && is_nonempty).then_some((age, &bucket.counts))
        })
    }

    fn bucket_number(&self, elapsed: time::Duration) -> u64 {
        elapsed.as_secs() / self.window.bucket_width().as_secs()
    }

    fn slot(&self, number: u64) -> usize {
        let slots = self.buckets.len() as u64;
        usize::try_from(number % slots).unwrap_or_default()
    }
}
