//! Which prompts are blocked for crashes of backend servers, and for how long.

mod ledger;
mod replicated_state;
mod requests;
