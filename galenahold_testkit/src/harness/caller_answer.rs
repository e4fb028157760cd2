//! An answer as a caller or operator sees it.

use serde_json::Value;

/// Holds an answer as a caller or operator sees it.
#[derive(Debug, Clone)]
pub struct CallerAnswer {
    /// The status.
    pub status: u16,
    /// The header `x-verdict`, if any.
    pub verdict: Option<String>,
    /// The header `x-request-id`, if any.
    pub request_id: Option<String>,
    /// Whether the order ledger gave the answer.
    pub replayed: bool,
    /// The body as text.
    pub body: String,
}

impl CallerAnswer {
    /// Reads a whole answer.
    pub(crate) fn read(answer: ureq::http::Response<ureq::Body>) -> Result<Self, ureq::Error> {
        let header = |name: &str| {
            let value = answer.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let status = answer.status().as_u16();
        let verdict = header("x-verdict");
        let request_id = header("x-request-id");
        let replayed = header("x-order-replayed").is_some();
        let body = answer.into_body().read_to_string()?;
        Ok(Self {
            status,
            verdict,
            request_id,
            replayed,
            body,
        })
    }

    /// Returns the body as JSON; null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the `type` of a refusal; empty where it is none.
    #[must_use]
    pub fn refusal(&self) -> String {
        let document = self.json();
        let kind = document["error"]["type"].as_str();
        kind.unwrap_or_default().to_owned()
    }
}
