//! Bounds on what callers can make an instance hold.

define_number_group! {
    /// Bounds on what callers can make an instance hold.
    LimitSettings {
        /// Longest request head: request line and headers.
        max_head_bytes: "max_head_bytes", Bytes, 1_024..=1_048_576, default 32_768;
        /// Longest request body.
        max_body_bytes: "max_body_bytes", Bytes, 1_024..=1_073_741_824, default 8_388_608;
        /// Most connections open to callers at once.
        max_connections: "max_connections", Count, 1..=1_000_000, default 4_096;
        /// Most connections from one IP address; a balancer that hides its callers counts as one, so
        /// set it lower only where callers connect by themselves.
        max_connections_per_address: "max_connections_per_address", Count, 1..=1_000_000, default 4_096;
        /// Time in which a caller has to send the whole head of a request.
        head_timeout: "head_timeout_ms", Milliseconds, 10..=600_000, default 10_000;
        /// Time in which a caller has to send the whole body of a request.
        body_timeout: "body_timeout_ms", Milliseconds, 10..=3_600_000, default 30_000;
        /// Time after which a connection without a request is closed.
        idle_timeout: "idle_timeout_ms", Milliseconds, 10..=3_600_000, default 60_000;
        /// Most requests that wait in the instance at once; more are refused as not run.
        max_waiting_requests: "max_waiting_requests", Count, 1..=1_000_000, default 2_048;
        /// Most bytes of bodies that wait in the instance at once.
        max_waiting_bytes: "max_waiting_bytes", Bytes, 1_024..=68_719_476_736, default 134_217_728;
        /// Deepest nesting of a JSON body.
        max_json_depth: "max_json_depth", Count, 1..=127, default 64;
    }
}
