//! Promises on rates: no team gets more than its rate and burst, whatever is lost or restarted.

mod fleet_model;
mod grant_ledger;
mod overloaded_team;
mod token_wallet;
mod window_bound;
