//! Settings of retries.

define_number_group! {
    /// Retries of requests that did not run or that are safe to repeat.
    RetrySettings {
        /// Maximum number of retries, as a percentage of the requests of the last few seconds.
        budget_per_cent: "budget_per_cent", PerCent, 0..=100, default 10;
        /// Maximum number of attempts of one request, including the first one.
        max_attempts: "max_attempts", Count, 1..=10, default 3;
        /// Minimum delay before a retry.
        backoff_min: "backoff_min_ms", Milliseconds, 0..=60_000, default 10;
        /// Maximum delay before a retry; at least `backoff_min_ms`.
        backoff_max: "backoff_max_ms", Milliseconds, 1..=600_000, default 500;
    }
}
