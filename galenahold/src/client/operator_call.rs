//! One call of the operators' face.

use serde::Serialize;

use crate::client;

/// One call of the operators' face.
#[derive(Debug)]
pub(crate) struct OperatorCall {
    /// The path, such as `/v1/plans`.
    pub(crate) path: &'static str,
    /// The JSON document to post; without one the call is a GET.
    pub(crate) body: Option<Vec<u8>>,
    /// When the call may be sent again.
    pub(crate) repeat: client::RepeatRule,
    /// The request id, where the call carries one.
    pub(crate) request: Option<String>,
}

impl OperatorCall {
    /// Reads a path.
    pub(crate) fn get(path: &'static str) -> Self {
        Self {
            path,
            body: None,
            repeat: client::RepeatRule::Read,
            request: None,
        }
    }

    /// Posts a document that cannot be sent again once it may have been applied.
    ///
    /// # Errors
    ///
    /// Fails where the document has no JSON form.
    pub(crate) fn post(
        path: &'static str,
        document: &impl Serialize,
    ) -> Result<Self, serde_json::Error> {
        Ok(Self {
            path,
            body: Some(serde_json::to_vec(document)?),
            repeat: client::RepeatRule::NotApplied,
            request: None,
        })
    }

    /// Marks the call as one that changes nothing.
    #[must_use]
    pub(crate) fn read_only(self) -> Self {
        Self {
            repeat: client::RepeatRule::Read,
            ..self
        }
    }

    /// Names the request id that the document carries, under which it may be sent again.
    #[must_use]
    pub(crate) fn request(self, request: &str) -> Self {
        Self {
            repeat: client::RepeatRule::SameRequest,
            request: Some(String::from(request)),
            ..self
        }
    }
}
