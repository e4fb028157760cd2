//! Tests of the settings: reading, problems and the committed pages.
#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

mod pages;
mod problems;
mod values;
