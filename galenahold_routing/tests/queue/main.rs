//! Tests of the fair queue: shares, bounds and the completeness of its items.

mod fair_share;
mod queue_bounds;
