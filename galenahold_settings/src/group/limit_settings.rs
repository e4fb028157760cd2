//! Limits on callers' requests.

define_number_group! {
    /// Limits on the connections, memory and time that callers' requests may use.
    LimitSettings {
        /// Maximum size of a request head: request line and headers.
        max_head_bytes: "max_head_bytes", Bytes, 1_024..=1_048_576, default 32_768;
        /// Maximum size of a request body.
        max_body_bytes: "max_body_bytes", Bytes, 1_024..=1_073_741_824, default 8_388_608;
        /// Maximum number of open connections from callers.
        max_connections: "max_connections", Count, 1..=1_000_000, default 4_096;
        /// Maximum number of open connections from one IP address; all callers behind a load balancer
        /// that hides their addresses share one, so lower it only where callers connect directly.
        max_connections_per_address: "max_connections_per_address", Count, 1..=1_000_000, default 4_096;
        /// Time limit for receiving the whole head of a request from a caller.
        head_timeout: "head_timeout_ms", Milliseconds, 10..=600_000, default 10_000;
        /// Time limit for receiving the whole body of a request from a caller.
        body_timeout: "body_timeout_ms", Milliseconds, 10..=3_600_000, default 30_000;
        /// Time after which a connection without a request in progress is closed.
        idle_timeout: "idle_timeout_ms", Milliseconds, 10..=3_600_000, default 60_000;
        /// Maximum number of requests waiting in the instance; further ones are refused as not run.
        max_waiting_requests: "max_waiting_requests", Count, 1..=1_000_000, default 2_048;
        /// Maximum total size of the bodies of waiting requests in the instance.
        max_waiting_bytes: "max_waiting_bytes", Bytes, 1_024..=68_719_476_736, default 134_217_728;
        /// Maximum nesting depth of a JSON body.
        max_json_depth: "max_json_depth", Count, 1..=127, default 64;
    }
}
