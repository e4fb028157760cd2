//! Admission control: refuses requests early that can't be served before their deadline.

mod admission_decision;
mod admission_rule;
mod predicted_wait;

pub use admission_decision::AdmissionDecision;
pub use admission_rule::AdmissionRule;
pub use predicted_wait::PredictedWait;
