//! The order ledger: each order runs at most once, and the ledger stays bounded.

mod attempts;
mod fixture;
mod retention;
mod sequences;
