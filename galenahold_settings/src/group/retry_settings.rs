//! How requests that did not run, or may be repeated, are sent again.

define_number_group! {
    /// How requests that did not run, or may be repeated, are sent again.
    RetrySettings {
        /// Retries allowed as a share of the requests of the last seconds.
        budget_per_cent: "budget_per_cent", PerCent, 0..=100, default 10;
        /// Most attempts of one request, the first one included.
        max_attempts: "max_attempts", Count, 1..=10, default 3;
        /// Shortest pause before a retry.
        backoff_min: "backoff_min_ms", Milliseconds, 0..=60_000, default 10;
        /// Longest pause before a retry; not below `backoff_min_ms`.
        backoff_max: "backoff_max_ms", Milliseconds, 1..=600_000, default 500;
    }
}
