//! Tests of the shared load view and the estimates of speed.

mod fixture;
mod load_sums;
mod pace_estimates;
mod stream_gaps;
mod view_updates;
