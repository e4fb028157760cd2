//! The pacing of fetches.

use std::sync::atomic;
use std::time;

use serde::{Deserialize, Serialize};

use super::StoreSettings;
use crate::state_lock;

/// Step in which the progress of a fetch is computed.
const FETCH_STEP: time::Duration = time::Duration::from_millis(2);

/// What a weight store did so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Base model loads in flight.
    pub loads_in_flight: u64,
    /// The most base model loads in flight at once.
    pub peak_loads_in_flight: u64,
    /// Base model loads started.
    pub loads_started: u64,
    /// Adapter loads in flight.
    pub adapters_in_flight: u64,
    /// The most adapter loads in flight at once.
    pub peak_adapters_in_flight: u64,
    /// Adapter loads started.
    pub adapters_started: u64,
}

#[derive(Debug)]
struct StoreState {
    counts: StoreCounts,
    next_start: Option<time::Instant>,
    divisor: u64,
    stalled: bool,
}

/// Hands out checkpoints within its limits; in-process engines share one.
#[derive(Debug)]
pub struct WeightStore {
    settings: StoreSettings,
    state: state_lock::StateLock<StoreState>,
    fetches: atomic::AtomicU64,
}

impl WeightStore {
    /// Makes a store.
    #[must_use]
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            settings,
            state: state_lock::StateLock::new(StoreState {
                counts: StoreCounts::default(),
                next_start: None,
                divisor: 1,
                stalled: false,
            }),
            fetches: atomic::AtomicU64::new(0),
        }
    }

    /// Returns what the store did so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.state.lock().counts
    }

    /// Divides the speed of all fetches by `divisor`.
    pub fn slow(&self, divisor: u64) {
        self.state.lock().divisor = divisor.max(1);
    }

    /// Stops all fetches, or lets them go on.
    pub fn stall(&self, on: bool) {
        self.state.lock().stalled = on;
    }

    /// Fetches the checkpoint of a base model.
    pub(crate) async fn fetch_model(&self, bytes: u64) {
        tokio::time::sleep(self.wait_for_start()).await;
        let _flight = FlightGuard::start(
            self,
            |counts| {
                counts.loads_in_flight += 1;
                counts.loads_started += 1;
                counts.peak_loads_in_flight =
                    counts.peak_loads_in_flight.max(counts.loads_in_flight);
            },
            |counts| counts.loads_in_flight -= 1,
        );
        let full_speed = seconds(bytes, self.settings.bytes_per_second);
        let limit = self.settings.full_speed_loads;
        self.progress(full_speed, |counts| crowding(counts.loads_in_flight, limit))
            .await;
    }

    /// Fetches an adapter.
    pub(crate) async fn fetch_adapter(&self) {
        let _flight = FlightGuard::start(
            self,
            |counts| {
                counts.adapters_in_flight += 1;
                counts.adapters_started += 1;
                counts.peak_adapters_in_flight = counts
                    .peak_adapters_in_flight
                    .max(counts.adapters_in_flight);
            },
            |counts| counts.adapters_in_flight -= 1,
        );
        let limit = self.settings.full_speed_adapters;
        self.progress(self.adapter_time(), |counts| {
            crowding(counts.adapters_in_flight, limit)
        })
        .await;
    }

    /// Reserves the next start and returns the time until then.
    fn wait_for_start(&self) -> time::Duration {
        let gap = time::Duration::from_secs_f64(1.0 / self.settings.starts_per_second.max(0.001));
        let mut state = self.state.lock();
        let now = time::Instant::now();
        let start = state.next_start.map_or(now, |next| next.max(now));
        state.next_start = Some(start + gap);
        start.duration_since(now)
    }

    /// Returns the full-speed time of the next adapter, spread evenly over the allowed range.
    fn adapter_time(&self) -> time::Duration {
        let spread = self
            .settings
            .adapter_max_ms
            .saturating_sub(self.settings.adapter_min_ms)
            + 1;
        let fetch = self.fetches.fetch_add(1, atomic::Ordering::Relaxed);
        // A step that shares no factor with the usual spreads visits all of the range.
        let offset = fetch.wrapping_mul(7) % spread;
        time::Duration::from_millis(self.settings.adapter_min_ms + offset)
    }

    /// Works off `full_speed` time, slower while fetches crowd or the store is slowed.
    async fn progress(&self, full_speed: time::Duration, crowd: impl Fn(&StoreCounts) -> f64) {
        let mut left = full_speed.as_secs_f64();
        while left > 0.0 {
            let speed = {
                let state = self.state.lock();
                if state.stalled {
                    0.0
                } else {
                    1.0 / (crowd(&state.counts) * f64::from(clamp_u32(state.divisor)))
                }
            };
            let step = if speed > 0.0 {
                FETCH_STEP.min(time::Duration::from_secs_f64(left / speed))
            } else {
                FETCH_STEP
            };
            let start = time::Instant::now();
            tokio::time::sleep(step).await;
            left -= start.elapsed().as_secs_f64() * speed;
        }
    }
}

/// Returns by what factor each fetch slows down; beyond the limit the total speed falls too.
fn crowding(in_flight: u64, limit: u64) -> f64 {
    let share = f64::from(clamp_u32(in_flight)) / f64::from(clamp_u32(limit.max(1)));
    if share <= 1.0 { 1.0 } else { share * share }
}

/// Returns the time for `bytes` at a rate.
fn seconds(bytes: u64, bytes_per_second: u64) -> time::Duration {
    let micros = u128::from(bytes) * 1_000_000 / u128::from(bytes_per_second.max(1));
    time::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Narrows a count for exact conversion to a float.
fn clamp_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Counts a fetch as in flight until it is dropped, also when the fetch is given up.
struct FlightGuard<'a> {
    store: &'a WeightStore,
    end: fn(&mut StoreCounts),
}

impl<'a> FlightGuard<'a> {
    fn start(
        store: &'a WeightStore,
        begin: fn(&mut StoreCounts),
        end: fn(&mut StoreCounts),
    ) -> Self {
        begin(&mut store.state.lock().counts);
        Self { store, end }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        (self.end)(&mut self.store.state.lock().counts);
    }
}
