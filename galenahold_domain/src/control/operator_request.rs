//! The identity by which resent requests of operators are recognized.

use serde::{Deserialize, Serialize};

use crate::name;

/// The identity of an operator's request; a repeat with the same identity gets the first outcome.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// The operator.
    pub operator: name::OperatorName,
    /// The number that the operator chose for the request.
    pub request: name::RequestId,
}
