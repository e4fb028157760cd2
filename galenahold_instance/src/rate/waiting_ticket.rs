//! The place of a request among those that wait for tokens.

use galenahold_domain::name;
use galenahold_routing::rate;

use crate::rate as tokens;

/// The ticket of a request that is being charged; dropping it withdraws the request's demand, also when the
/// caller leaves while the request waits.
#[derive(Debug)]
pub(super) struct WaitingTicket {
    limiter: tokens::RateLimiter,
    team: name::TeamName,
    ticket: rate::ChargeTicket,
}

impl WaitingTicket {
    /// Takes a ticket for a request of a team.
    pub(super) fn take(limiter: &tokens::RateLimiter, team: &name::TeamName) -> Self {
        Self {
            limiter: limiter.clone(),
            team: team.clone(),
            ticket: limiter.issue_ticket(),
        }
    }

    /// Returns the ticket by which the token pool identifies the request.
    pub(super) fn id(&self) -> rate::ChargeTicket {
        self.ticket
    }
}

impl Drop for WaitingTicket {
    fn drop(&mut self) {
        self.limiter.withdraw(&self.team, self.ticket);
    }
}
