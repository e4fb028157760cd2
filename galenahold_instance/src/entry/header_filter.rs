//! Filters the headers that are forwarded between callers and backend servers.

use http::{HeaderMap, HeaderName, header};

use crate::entry;

/// The request headers that are forwarded to a backend server.
const FORWARDED_REQUEST_HEADERS: [HeaderName; 9] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_TYPE,
    header::IF_MATCH,
    header::IF_NONE_MATCH,
    header::IF_MODIFIED_SINCE,
    header::IF_UNMODIFIED_SINCE,
    header::RANGE,
    header::USER_AGENT,
];

/// The header of the caller's idempotency key, which is also forwarded to plain services.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The answer headers that are forwarded to a caller, besides those that frame the body.
const FORWARDED_ANSWER_HEADERS: [HeaderName; 9] = [
    header::CACHE_CONTROL,
    header::CONTENT_DISPOSITION,
    header::CONTENT_ENCODING,
    header::CONTENT_LANGUAGE,
    header::CONTENT_TYPE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
    header::RETRY_AFTER,
];

/// Returns the headers to forward to a backend server, without those that contain a key.
pub(crate) fn headers_to_backend(from: &HeaderMap, redactor: &entry::KeyRedactor) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in FORWARDED_REQUEST_HEADERS
        .iter()
        .chain([&IDEMPOTENCY_HEADER])
    {
        for value in from.get_all(name) {
            if !redactor.detects_key(value.as_bytes()) {
                headers.append(name.clone(), value.clone());
            }
        }
    }
    headers
}

/// Returns the headers to forward to a caller.
pub(crate) fn headers_to_caller(from: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in &FORWARDED_ANSWER_HEADERS {
        for value in from.get_all(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}
