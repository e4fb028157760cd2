//! A request that waits at the control leader for its team's tokens.

use std::time;

use galenahold_domain::name;

use crate::rate;

/// A waiting request of a holder.
#[derive(Debug, Clone)]
pub(super) struct PendingDemand {
    pub(super) instance: name::InstanceName,
    pub(super) ticket: rate::ChargeTicket,
    pub(super) rank: u32,
    pub(super) is_returning: bool,
    pub(super) missing: u64,
    /// The place among the demands of the same rank, in the order of asking.
    pub(super) sequence: u64,
    /// When the demand is dropped if its holder does not repeat it.
    pub(super) expires_at: time::Instant,
}

impl PendingDemand {
    pub(super) fn is_of(&self, instance: &name::InstanceName, ticket: rate::ChargeTicket) -> bool {
        self.ticket == ticket && self.instance == *instance
    }
}
