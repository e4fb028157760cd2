//! Identifies a request of an operator.

use serde::{Deserialize, Serialize};

use crate::name;

/// Identifies a request of an operator: a repeat under the same pair gets the first answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperatorRequest {
    /// The operator.
    pub operator: name::OperatorName,
    /// The operator's number for the request.
    pub request: name::RequestId,
}
