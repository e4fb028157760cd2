//! Early refusal of requests that can't be served in time.

mod admission_decision;
mod admission_rule;
mod predicted_wait;

pub use admission_decision::AdmissionDecision;
pub use admission_rule::AdmissionRule;
pub use predicted_wait::PredictedWait;
