//! The receipt for the tokens that a request was charged.

use galenahold_domain::{amount, name};

use crate::rate;

/// Tokens reserved for one request, to be confirmed when it is sent and settled when it has ended.
///
/// The tokens of a receipt that is dropped without being settled count as spent.
#[derive(Debug)]
#[must_use]
pub struct ChargeReceipt {
    pub(super) team: name::TeamName,
    pub(super) parts: Vec<ReceiptPart>,
}

/// The part of a receipt that comes from one grant.
#[derive(Debug)]
pub(super) struct ReceiptPart {
    pub(super) grant: rate::GrantId,
    pub(super) tokens: u64,
    /// The number of the call that states the tokens as spent; absent until the request is sent.
    pub(super) stated_in: Option<u64>,
}

impl ChargeReceipt {
    /// Returns the team that was charged.
    #[must_use]
    pub fn team(&self) -> &name::TeamName {
        &self.team
    }

    /// Returns the number of charged tokens.
    #[must_use]
    pub fn tokens(&self) -> amount::TokenCount {
        amount::TokenCount(self.parts.iter().map(|part| part.tokens).sum())
    }

    /// Adds the charge for more tokens of the same request.
    pub fn merge(&mut self, other: Self) {
        self.parts.extend(other.parts);
    }
}
