//! Integration tests: valid values, error messages and the generated documentation.
#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

mod pages;
mod problems;
mod values;
