//! How long an engine takes.

use std::time;

use serde::{Deserialize, Serialize};

/// Sets the times of prefill, decoding, loads and unloads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineTimings {
    /// Microseconds of prefill for each prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// Microseconds of prefill for each cached prompt token.
    pub cached_us_per_token: u64,
    /// Microseconds of a decoding step with an empty batch.
    pub step_us: u64,
    /// Microseconds that each running request adds to a step.
    pub step_us_per_request: u64,
    /// Milliseconds of an unload.
    pub unload_ms: u64,
    /// Milliseconds that an unload waits for running requests.
    pub drain_ms: u64,
    /// Bytes a second of a load from memory.
    pub memory_bytes_per_second: u64,
    /// Bytes a second of a load from disk.
    pub disk_bytes_per_second: u64,
    /// Bytes a second of a remote load when there is no weight store.
    pub remote_bytes_per_second: u64,
    /// Milliseconds of an adapter load when there is no weight store.
    pub adapter_ms: u64,
}

impl Default for EngineTimings {
    fn default() -> Self {
        Self {
            prefill_us_per_token: 100,
            cached_us_per_token: 10,
            step_us: 8_000,
            step_us_per_request: 60,
            unload_ms: 50,
            drain_ms: 30_000,
            memory_bytes_per_second: 20_000_000_000,
            disk_bytes_per_second: 5_000_000_000,
            remote_bytes_per_second: 2_000_000_000,
            adapter_ms: 10,
        }
    }
}

impl EngineTimings {
    /// Returns the prefill time of a prompt.
    pub(crate) fn prefill(&self, prompt_tokens: u64, cached_tokens: u64) -> time::Duration {
        let cached = cached_tokens.min(prompt_tokens);
        let fresh = prompt_tokens - cached;
        time::Duration::from_micros(
            fresh * self.prefill_us_per_token + cached * self.cached_us_per_token,
        )
    }

    /// Returns the time of one decoding step of a batch.
    pub(crate) fn step(&self, running: usize) -> time::Duration {
        time::Duration::from_micros(self.step_us + running as u64 * self.step_us_per_request)
    }
}
