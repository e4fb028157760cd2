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
    /// The options that repeat the call under its request id, where it carries one.
    pub(crate) repeat_options: Option<String>,
}

impl OperatorCall {
    /// Reads a path.
    pub(crate) fn get(path: &'static str) -> Self {
        Self {
            path,
            body: None,
            repeat: client::RepeatRule::Read,
            repeat_options: None,
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
            repeat_options: None,
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

    /// Marks the call as one that carries a request id, under which it may be sent again.
    ///
    /// `repeat_options` are the command's options that repeat it later.
    #[must_use]
    pub(crate) fn same_request(self, repeat_options: impl Into<String>) -> Self {
        Self {
            repeat: client::RepeatRule::SameRequest,
            repeat_options: Some(repeat_options.into()),
            ..self
        }
    }
}
