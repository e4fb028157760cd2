//! Integration tests of the burn report: counting, merging, status and rendering.
#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

mod counting;
mod merging;
mod printing;
mod sample;
mod status;
