//! Tests of rate limiting: no team exceeds its rate and burst, whatever messages are lost or processes restart.

mod fleet_model;
mod grant_ledger;
mod overloaded_team;
mod ranked_overload;
mod return_detector;
mod small_teams;
mod team_replay;
mod token_pool;
mod window_bound;
