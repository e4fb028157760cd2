//! Times of the control group, of leases and of a planned stop.

define_number_group! {
    /// Times of the control group, of leases and of a planned stop.
    TimingSettings {
        /// Shortest time without a leader's heartbeat after which a control instance asks for an election.
        election_timeout: "election_timeout_ms", Milliseconds, 20..=60_000, default 400;
        /// Time between the leader's heartbeats; at most half of `election_timeout_ms`.
        heartbeat: "heartbeat_ms", Milliseconds, 5..=10_000, default 100;
        /// Oldest confirmation of the key table by the control quorum with which keyed requests are still taken.
        key_freshness: "key_freshness_ms", Milliseconds, 100..=60_000, default 3_000;
        /// Time after which a backend server that no longer announces itself gets no new work.
        announcement_ttl: "announcement_ttl_ms", Milliseconds, 100..=600_000, default 3_000;
        /// Time from being unready until the balancer sends no more callers, at a planned stop.
        notice: "notice_ms", Milliseconds, 0..=600_000, default 5_000;
        /// Longest time that running requests get to end after the notice, at a planned stop.
        drain: "drain_ms", Milliseconds, 0..=3_600_000, default 60_000;
        /// Time for which an instance may spend the tokens of one grant.
        grant_lease: "grant_lease_ms", Milliseconds, 50..=60_000, default 2_000;
        /// Bound on how far two instances' clocks drift apart, as a share of the time that passes.
        clock_drift_per_million: "clock_drift_per_million", PerMillion, 0..=100_000, default 1_000;
    }
}
