//! Promises on where the calls of declared services go.

mod adapter_tries;
mod fixture;
mod placing;
mod retries;
mod starting;
mod waiting;
