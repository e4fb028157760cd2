//! JSON answers and request bodies.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body;
use serde::{Serialize, de};

use super::{VERDICT_HEADER, VERDICT_NOT_RUN};

/// Answers with `value` as JSON.
pub(crate) fn json_answer<V: Serialize>(
    status: http::StatusCode,
    value: &V,
) -> http::Response<Full<Bytes>> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = http::Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Answers with a status and no body.
pub(crate) fn empty_answer(status: http::StatusCode) -> http::Response<Full<Bytes>> {
    let mut answer = http::Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Answers with an `OpenAI` error body and the verdict that nothing ran.
pub(crate) fn error_answer(
    status: http::StatusCode,
    kind: &str,
    message: &str,
) -> http::Response<Full<Bytes>> {
    let body = serde_json::json!({
        "error": {"message": message, "type": kind, "param": null, "code": status.as_u16()}
    });
    let mut answer = json_answer(status, &body);
    answer.headers_mut().insert(
        VERDICT_HEADER,
        http::HeaderValue::from_static(VERDICT_NOT_RUN),
    );
    answer
}

/// Reads a whole body as JSON; an empty one reads as `null`.
pub(crate) async fn read_json<V: de::DeserializeOwned>(body: body::Incoming) -> Result<V, String> {
    let bytes = body
        .collect()
        .await
        .map_err(|error| format!("body cut: {error}"))?
        .to_bytes();
    let bytes: &[u8] = if bytes.is_empty() { b"null" } else { &bytes };
    serde_json::from_slice(bytes).map_err(|error| format!("body is no such JSON: {error}"))
}
