//! Tokens charged for one request.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::rate;

use crate::api;
use crate::rate as tokens;

/// Tokens charged for one request, which are settled however the request ends.
#[derive(Debug)]
pub(crate) struct TokenCharge {
    limiter: tokens::RateLimiter,
    receipt: Option<rate::ChargeReceipt>,
    sent: bool,
}

impl TokenCharge {
    /// Takes over a receipt.
    pub(super) fn new(limiter: tokens::RateLimiter, receipt: rate::ChargeReceipt) -> Self {
        Self {
            limiter,
            receipt: Some(receipt),
            sent: false,
        }
    }

    /// Confirms, as the last step before a send, that the tokens may still be spent, and charges anew
    /// where they expired.
    ///
    /// # Errors
    ///
    /// A refusal, not run, where they expired and no new ones came in time.
    pub(crate) async fn confirm(
        &mut self,
        deadline: time::Instant,
    ) -> Result<(), api::RequestRefusal> {
        loop {
            let Some(receipt) = &mut self.receipt else {
                return Ok(());
            };
            if self.limiter.confirm_charge(receipt) {
                self.sent = true;
                return Ok(());
            }
            let team = receipt.team().clone();
            let wanted = receipt.tokens();
            self.settle(amount::TokenCount::ZERO);
            let mut renewed = self.limiter.charge(&team, wanted, deadline).await?;
            self.receipt = renewed.receipt.take();
        }
    }

    /// Says that the request provably did not run, so that all its tokens come back.
    pub(crate) fn not_run(&mut self) {
        self.sent = false;
    }

    /// Ends the charge with the tokens that were really spent.
    pub(crate) fn finish(mut self, spent: amount::TokenCount) {
        self.settle(spent);
    }

    fn settle(&mut self, spent: amount::TokenCount) {
        if let Some(receipt) = self.receipt.take() {
            self.limiter.settle(receipt, spent);
        }
    }
}

impl Drop for TokenCharge {
    fn drop(&mut self) {
        // What a sent request spent is unknown here, so the whole charge counts.
        let spent = match &self.receipt {
            Some(receipt) if self.sent => receipt.tokens(),
            _ => amount::TokenCount::ZERO,
        };
        self.settle(spent);
    }
}
