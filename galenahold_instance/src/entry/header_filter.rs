//! Chooses the headers that pass between callers and backend servers.

use http::{HeaderMap, HeaderName, header};

use crate::entry;

/// Headers of a caller that a backend server gets.
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

/// The caller's idempotency key, which a plain service may want to see as well.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers of a backend server that a caller gets, besides those that describe the body.
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

/// Returns the headers that a backend server gets, without any that holds a key.
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

/// Returns the headers that a caller gets.
pub(crate) fn headers_to_caller(from: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in &FORWARDED_ANSWER_HEADERS {
        for value in from.get_all(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}
