//! Intents: reading, faults and plans.

mod documents;
mod faults;
mod plans;
