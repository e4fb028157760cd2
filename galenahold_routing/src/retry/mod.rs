//! Retries of failed requests: the rule, the budget and the backoff.

mod retry_backoff;
mod retry_budget;
mod retry_decision;
mod retry_rule;

pub use retry_backoff::RetryBackoff;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_rule::RetryRule;
