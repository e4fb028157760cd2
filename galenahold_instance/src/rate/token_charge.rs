//! Tokens charged for one request.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::rate;

use crate::api;
use crate::rate as tokens;

/// The tokens charged for one request; they are settled however the request ends.
#[derive(Debug)]
pub(crate) struct TokenCharge {
    limiter: tokens::RateLimiter,
    demand: tokens::TokenDemand,
    receipt: Option<rate::ChargeReceipt>,
    sent: bool,
}

impl TokenCharge {
    /// Creates a charge from the receipt of its tokens.
    pub(super) fn new(
        limiter: tokens::RateLimiter,
        demand: tokens::TokenDemand,
        receipt: rate::ChargeReceipt,
    ) -> Self {
        Self {
            limiter,
            demand,
            receipt: Some(receipt),
            sent: false,
        }
    }

    /// Checks, as the last step before a send, that the tokens have not expired, and charges new
    /// ones if they have.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the tokens expired and no new ones became available in
    /// time.
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
            let mut demand = self.demand.clone();
            demand.tokens = receipt.tokens();
            self.settle(amount::TokenCount::ZERO);
            let mut renewed = self.limiter.charge(demand, deadline).await?;
            self.receipt = renewed.receipt.take();
        }
    }

    /// Marks the request as provably not run, so that all its tokens are refunded.
    pub(crate) fn not_run(&mut self) {
        self.sent = false;
    }

    /// Settles the charge with the number of tokens that were actually spent.
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
        // The tokens spent by a request that was sent are unknown here, so the full charge is
        // settled.
        let spent = match &self.receipt {
            Some(receipt) if self.sent => receipt.tokens(),
            _ => amount::TokenCount::ZERO,
        };
        self.settle(spent);
    }
}
