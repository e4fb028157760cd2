//! Rate limiting of teams by tokens that the control group grants to this instance.

mod charge_timeout;
mod rate_limiter;
mod token_charge;
mod token_demand;
mod wait_limit;
mod waiting_ticket;

pub(crate) use charge_timeout::ChargeTimeout;
pub(crate) use rate_limiter::RateLimiter;
pub(crate) use token_charge::TokenCharge;
pub(crate) use token_demand::TokenDemand;
pub(crate) use wait_limit::WaitLimit;
use waiting_ticket::WaitingTicket;
