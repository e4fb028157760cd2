//! Promises on where the calls of declared services go.

mod adapter_retries;
mod fixture;
mod placing;
mod retries;
mod starting;
mod waiting;
