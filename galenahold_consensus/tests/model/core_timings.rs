//! Times by which a simulated core and its planner work.

use std::time;

use crate::member_state;

/// Times of a simulated core.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CoreTimings {
    /// Time after its start or return until a machine does not count as lost any more.
    pub(crate) catch_up_millis: u64,
    /// Silence after which a learner takes a voter's place.
    pub(crate) succession: time::Duration,
    /// Silence after which a learner is removed.
    pub(crate) retention: time::Duration,
    /// Interval at which the leader plans a change of the members.
    pub(crate) check_millis: u64,
    pub(crate) election_timeout: time::Duration,
}

impl CoreTimings {
    /// The times of the product divided by four, except the election timeout.
    pub(crate) const SHORT: Self = Self {
        catch_up_millis: 1_000,
        succession: time::Duration::from_millis(500),
        retention: time::Duration::from_secs(150),
        check_millis: 60,
        election_timeout: member_state::ELECTION_TIMEOUT,
    };

    /// The times of the product.
    pub(crate) const PRODUCT: Self = Self {
        catch_up_millis: 4_000,
        succession: time::Duration::from_secs(2),
        retention: time::Duration::from_mins(10),
        check_millis: 210,
        election_timeout: time::Duration::from_millis(450),
    };
}
