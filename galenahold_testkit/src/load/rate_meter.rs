//! A team's rate and burst, as its own bookkeeping has them.

/// Tells which requests a token bucket with a full start would admit.
#[derive(Debug)]
pub(crate) struct RateMeter {
    tokens_per_second: f64,
    burst_tokens: f64,
    level: f64,
    at_us: u64,
}

impl RateMeter {
    /// Starts with a full bucket.
    pub(crate) fn new(tokens_per_second: u64, burst_tokens: u64) -> Self {
        let burst_tokens = as_float(burst_tokens);
        Self {
            tokens_per_second: as_float(tokens_per_second),
            burst_tokens,
            level: burst_tokens,
            at_us: 0,
        }
    }

    /// Takes tokens at a moment; tells whether there were enough. Requests beyond take none.
    pub(crate) fn admit(&mut self, at_us: u64, tokens: u64) -> bool {
        let elapsed_s = as_float(at_us.saturating_sub(self.at_us)) / 1e6;
        self.at_us = at_us;
        self.level = (self.level + elapsed_s * self.tokens_per_second).min(self.burst_tokens);
        let tokens = as_float(tokens);
        let admitted = tokens <= self.level;
        if admitted {
            self.level -= tokens;
        }
        admitted
    }
}

/// Converts a count; counts beyond 32 bits are cut.
fn as_float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
