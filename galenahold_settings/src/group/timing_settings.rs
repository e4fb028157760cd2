//! Settings of timeouts and intervals.

define_number_group! {
    /// Timeouts and intervals of the control group, of leases and of a planned shutdown.
    TimingSettings {
        /// Minimum time without a leader's heartbeat after which a control instance asks for an election.
        election_timeout: "election_timeout_ms", Milliseconds, 20..=60_000, default 400;
        /// Interval between the leader's heartbeats; at most half of `election_timeout_ms`.
        heartbeat: "heartbeat_ms", Milliseconds, 5..=10_000, default 100;
        /// Maximum age of the control quorum's last confirmation of the key table with which keyed requests are still accepted.
        key_freshness: "key_freshness_ms", Milliseconds, 100..=60_000, default 3_000;
        /// Time without an announcement after which a backend server gets no new work.
        announcement_ttl: "announcement_ttl_ms", Milliseconds, 100..=600_000, default 3_000;
        /// Time that the load balancer gets at a planned shutdown, after the instance reports not ready, to stop sending callers.
        notice: "notice_ms", Milliseconds, 0..=600_000, default 5_000;
        /// Maximum time that running requests get to finish after the notice period of a planned shutdown.
        drain: "drain_ms", Milliseconds, 0..=3_600_000, default 60_000;
        /// Time during which an instance may spend the tokens of one grant.
        grant_lease: "grant_lease_ms", Milliseconds, 50..=60_000, default 2_000;
        /// Maximum drift between the clocks of two instances, relative to the elapsed time.
        clock_drift_per_million: "clock_drift_per_million", PerMillion, 0..=100_000, default 1_000;
    }
}
