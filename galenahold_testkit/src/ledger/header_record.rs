//! A header as a server saw it.

use serde::{Deserialize, Serialize};

/// Name and value of one received header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderRecord {
    /// The name in lower case.
    pub name: String,
    /// The value; bytes that are no UTF-8 are replaced.
    pub value: String,
}

impl HeaderRecord {
    /// Lists all headers of a request, repeated ones too.
    pub(crate) fn list(headers: &http::HeaderMap) -> Vec<Self> {
        headers
            .iter()
            .map(|(name, value)| Self {
                name: name.as_str().to_owned(),
                value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            })
            .collect()
    }
}
