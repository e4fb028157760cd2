//! Settings of a Raft node: identity, timeouts and limits.

use std::time;

use crate::member;

/// Settings with which a [`super::RaftNode`] is started.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Identity of the group.
    pub cluster: member::ClusterId,
    /// Identity and endpoint of this member.
    pub profile: member::MemberProfile,
    /// Number of this start of the member, counted durably in its data folder.
    pub boot: u64,
    /// Random number that identifies this process.
    pub incarnation: u64,
    /// Seed of the election jitter.
    pub seed: u64,
    /// Minimum time without contact to a leader after which a voter starts an election.
    pub election_timeout: time::Duration,
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: time::Duration,
    /// Maximum difference in rate between two members' clocks, in thousandths.
    pub clock_drift_permille: u32,
    /// Maximum size of an append request in bytes; a larger entry is sent in a request of its own.
    pub append_budget_bytes: usize,
    /// Maximum number of unacknowledged append requests per member.
    pub append_window: usize,
    /// Size of a snapshot chunk in bytes.
    pub chunk_bytes: usize,
    /// Number of entries before a snapshot that stay in memory for followers that lag.
    pub retained_entries: u64,
    /// Maximum number of entries by which a learner may lag behind the leader's log when it is
    /// promoted.
    pub promotion_lag_entries: u64,
}

impl NodeSettings {
    const PERMILLE: u32 = 1_000;

    /// Returns how long a quorum's acknowledgement extends the leader's lease.
    ///
    /// It is shorter than the election timeout by the clock drift of the leader and that of the
    /// voter, so that the lease expires before the voter grants a vote to another candidate.
    #[must_use]
    pub fn lease_duration(&self) -> time::Duration {
        let drift_permille = (2 * self.clock_drift_permille).min(Self::PERMILLE);
        self.election_timeout * (Self::PERMILLE - drift_permille) / Self::PERMILLE
    }
}
