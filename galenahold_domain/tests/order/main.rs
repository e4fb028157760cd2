//! Tests of the order ledger: each order runs at most once, and the ledger stays within its limits.

mod attempts;
mod fixture;
mod retention;
mod sequences;
