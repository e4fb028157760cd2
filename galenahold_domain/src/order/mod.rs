//! Non-idempotent requests: each runs at most once.

mod order_answer;
mod order_key;
mod order_outcome;
mod order_start;

pub use order_answer::OrderAnswer;
pub use order_key::OrderKey;
pub use order_outcome::OrderOutcome;
pub use order_start::OrderStart;
