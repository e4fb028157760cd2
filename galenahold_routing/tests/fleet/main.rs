//! Promises on where the calls of declared services go.

mod fixture;
mod placing;
mod retries;
mod waiting;
