//! A request that waits for tokens at an instance.

use std::time;

use crate::rate;

/// A request that lacked tokens when it was charged, and waits for the control leader's next reply.
#[derive(Debug, Clone)]
pub(super) struct WaitingCharge {
    pub(super) ticket: rate::ChargeTicket,
    pub(super) tokens: u64,
    pub(super) rank: u32,
    pub(super) is_returning: bool,
    pub(super) waits_until: time::Instant,
    /// Whether the control leader granted the tokens of this request.
    pub(super) is_granted: bool,
    /// When the control leader expects to have tokens for the request; absent until it was asked.
    pub(super) retry_at: Option<time::Instant>,
}

impl WaitingCharge {
    pub(super) fn new(request: &rate::ChargeRequest) -> Self {
        Self {
            ticket: request.ticket,
            tokens: request.tokens.0,
            rank: request.rank,
            is_returning: request.is_returning,
            waits_until: request.waits_until,
            is_granted: false,
            retry_at: None,
        }
    }

    /// Returns the key by which waiting requests are ordered: lower ones take tokens first.
    pub(super) fn order(&self) -> (bool, u32, bool, rate::ChargeTicket) {
        (!self.is_granted, self.rank, !self.is_returning, self.ticket)
    }
}
