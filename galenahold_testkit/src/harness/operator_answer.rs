//! An answer of the operators' face.

use std::error;

use serde_json::Value;

/// Status and JSON body.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorAnswer {
    /// The status; zero when no answer came.
    pub status: u16,
    /// The body, null when it is no JSON.
    pub body: Value,
}

impl OperatorAnswer {
    /// Makes the answer of a call that had none.
    pub(crate) fn lost(error: &impl error::Error) -> Self {
        Self {
            status: 0,
            body: Value::from(error.to_string()),
        }
    }

    /// Tells whether the call was done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Tells whether the same call would be refused again.
    #[must_use]
    pub fn is_final(&self) -> bool {
        (400..500).contains(&self.status)
    }
}
