//! Tests of intents: parsing, validation and plans.

mod documents;
mod plans;
mod validation;
