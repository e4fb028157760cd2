//! The HTTP form of requests.

use bytes::Bytes;
use http_body_util::Full;

use super::load_client::LoadClient;
use super::{TraceBody, TraceRequest};
use crate::http::REQUEST_ID_HEADER;

/// Header that names an order.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Builds the HTTP request.
pub(crate) fn build_message(
    client: &LoadClient,
    request: &TraceRequest,
    prompt: &str,
    key: Option<&str>,
) -> http::Result<http::Request<Full<Bytes>>> {
    let (path, body) = match &request.body {
        TraceBody::Completion {
            model,
            output_tokens,
            stream,
            ..
        } => {
            let body = serde_json::json!({
                "model": model, "prompt": prompt, "max_tokens": output_tokens, "stream": stream,
            });
            ("/v1/completions".to_owned(), body)
        }
        TraceBody::Order { service, .. } => {
            let body = serde_json::json!({"order": request.id});
            (format!("/{service}/orders"), body)
        }
    };
    let mut builder = http::Request::post(path)
        .header(http::header::HOST, client.address().to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(REQUEST_ID_HEADER, &request.id);
    if matches!(request.body, TraceBody::Order { .. }) {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, &request.id);
    }
    if let Some(key) = key {
        builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    builder.body(Full::new(Bytes::from(body.to_string())))
}
