//! Fleet-wide rate limits: one token bucket for each team, with a rate and a burst.
//!
//! The control leader keeps a [`GrantLedger`] and grants tokens to instances; each instance keeps a
//! [`TokenPool`] and spends the tokens that it was granted. The sum of a bucket's level and of all tokens
//! that are granted and not yet known to be spent never exceeds the burst.

mod charge_outcome;
mod charge_receipt;
mod charge_request;
mod charge_ticket;
mod fairness_correction;
mod grant_call;
mod grant_id;
mod grant_ledger;
mod grant_reply;
mod grant_request;
mod grant_statement;
mod holder_account;
mod ledger_settings;
mod level_history;
mod limit_change;
mod pending_demand;
mod pool_account;
mod pool_settings;
mod rank_demand;
mod retry_schedule;
mod return_detector;
mod team_bucket;
mod token_grant;
mod token_pool;
mod token_refund;
mod waiting_charge;
mod waiting_demand;

pub use charge_outcome::ChargeOutcome;
pub use charge_receipt::ChargeReceipt;
pub use charge_request::ChargeRequest;
pub use charge_ticket::ChargeTicket;
pub use fairness_correction::FairnessCorrection;
pub use grant_call::GrantCall;
pub use grant_id::GrantId;
pub use grant_ledger::GrantLedger;
pub use grant_reply::GrantReply;
pub use grant_request::GrantRequest;
pub use grant_statement::GrantStatement;
pub use ledger_settings::LedgerSettings;
pub use limit_change::LimitChange;
pub use pool_settings::PoolSettings;
pub use return_detector::ReturnDetector;
pub use token_grant::TokenGrant;
pub use token_pool::TokenPool;
pub use token_refund::TokenRefund;
pub use waiting_demand::WaitingDemand;
