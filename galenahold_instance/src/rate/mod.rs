//! Rate limiting of teams by tokens that the control group grants to this instance.

mod charge_timeout;
mod rate_limiter;
mod token_charge;
mod wait_limit;

pub(crate) use charge_timeout::ChargeTimeout;
pub(crate) use rate_limiter::RateLimiter;
pub(crate) use token_charge::TokenCharge;
pub(crate) use wait_limit::WaitLimit;
