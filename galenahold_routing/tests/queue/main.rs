//! Promises on queues: shares are fair, waiting is bounded and nothing is lost.

mod fair_share;
mod queue_bounds;
