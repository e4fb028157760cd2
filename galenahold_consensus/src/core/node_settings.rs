//! [`NodeSettings`].

use std::time;

use crate::member;

/// What a [`super::RaftNode`] is given at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The group.
    pub cluster: member::ClusterId,
    /// The member itself.
    pub profile: member::MemberProfile,
    /// Number of this start, counted durably.
    pub boot: u64,
    /// Random number of this process.
    pub incarnation: u64,
    /// Seed of the election jitter.
    pub seed: u64,
    /// Shortest time without a leader after which a member stands for election.
    pub election_timeout: time::Duration,
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: time::Duration,
    /// How much two clocks may differ in rate, in thousandths.
    pub clock_drift_permille: u32,
    /// Largest append message in bytes; a single larger entry still goes alone.
    pub append_budget_bytes: usize,
    /// Append messages under way to one member at a time.
    pub append_window: usize,
    /// Size of a piece of a snapshot in bytes.
    pub chunk_bytes: usize,
    /// Entries before a snapshot that stay in memory for members that lag.
    pub retained_entries: u64,
    /// How far a learner may be behind the last entry when it is promoted.
    pub promotion_lag_entries: u64,
}

impl NodeSettings {
    const PERMILLE: u32 = 1_000;

    /// Returns how long a quorum's acknowledgement keeps a leader's lease.
    ///
    /// It is shorter than the election timeout by the drift of the leader's and the voter's clock.
    #[must_use]
    pub fn lease_duration(&self) -> time::Duration {
        let drift_permille = (2 * self.clock_drift_permille).min(Self::PERMILLE);
        self.election_timeout * (Self::PERMILLE - drift_permille) / Self::PERMILLE
    }
}
