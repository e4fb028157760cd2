//! Refusals and errors as HTTP answers to callers.

use std::time;

use galenahold_domain::verdict;
use http::{HeaderValue, Response, header};
use serde::Serialize;

use crate::api;

/// The response header that carries the verdict on the request.
pub(crate) const VERDICT_HEADER: &str = "x-verdict";

/// A refusal or error for a caller, with the verdict on whether the request may have run.
#[derive(Debug, Clone)]
pub(crate) struct RequestRefusal {
    /// The kind, which sets the HTTP status.
    pub(crate) kind: api::RefusalKind,
    /// Whether the request may have run.
    pub(crate) verdict: verdict::RequestVerdict,
    /// What went wrong and what the caller can do about it.
    pub(crate) message: String,
    /// The delay after which a retry may succeed.
    pub(crate) retry_after: Option<time::Duration>,
}

#[derive(Debug, Serialize)]
struct RefusalDocument<'a> {
    error: RefusalBody<'a>,
}

#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    message: &'a str,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    pub(crate) fn not_run(kind: api::RefusalKind, message: impl Into<String>) -> Self {
        Self::new(kind, verdict::RequestVerdict::NotRun, message)
    }

    /// Creates a refusal or error with a verdict.
    pub(crate) fn new(
        kind: api::RefusalKind,
        verdict: verdict::RequestVerdict,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            verdict,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub(crate) fn retry_after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the refusal as a JSON document.
    pub(crate) fn document(&self) -> Vec<u8> {
        let document = RefusalDocument {
            error: RefusalBody {
                kind: self.kind.as_str(),
                message: &self.message,
                verdict: self.verdict.as_str(),
                retry_after_ms: self
                    .retry_after
                    .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            },
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Returns the refusal as an HTTP answer.
    pub(crate) fn answer(&self) -> Response<api::AnswerBody> {
        let mut answer = Response::new(api::AnswerBody::whole(self.document()));
        *answer.status_mut() = self.kind.status();
        let headers = answer.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(
            VERDICT_HEADER,
            HeaderValue::from_static(self.verdict.as_str()),
        );
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1_000).max(1);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}
