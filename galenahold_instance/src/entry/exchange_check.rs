//! Validation of answers from backend servers.

use std::time;

use galenahold_domain::name;
use galenahold_domain::verdict;
use http::{HeaderName, StatusCode, header, response};

use crate::api;
use crate::backend;

/// The header that carries an attempt's id to a backend server and back, and a request's id to its
/// caller.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The header by which a backend server that leaves says so in all its answers.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-server-leaving");

/// Returns whether the backend server states that it leaves.
pub(crate) fn states_leaving(head: &response::Parts) -> bool {
    let value = head.headers.get(&LEAVING_HEADER);
    value.is_some_and(|value| value.as_bytes() != b"0")
}

/// Returns how long a backend server that turned the request away wants no other: `retry-after` in
/// seconds, with a fraction or without. A time that cannot be read counts as none.
pub(crate) fn stated_pause(head: &response::Parts) -> Option<time::Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = head.headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds > 0.0)
        .then(|| time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX))
}

/// Checks that an answer carries the attempt's id and does not state that the request was refused.
///
/// `is_reused` tells whether the connection served earlier requests.
///
/// # Errors
///
/// The answer carries the id of another request, or states that the request did not run.
pub(crate) fn check_exchange(
    head: &response::Parts,
    attempt: &name::RequestId,
    is_reused: bool,
) -> Result<(), backend::AttemptError> {
    if let Some(echoed) = head.headers.get(&REQUEST_ID_HEADER)
        && echoed.as_bytes() != attempt.as_bytes()
    {
        return Err(backend::AttemptError::may_have_run(
            backend::AttemptErrorKind::WrongRequestId,
        ));
    }
    let verdict = head
        .headers
        .get(api::VERDICT_HEADER)
        .map(http::HeaderValue::as_bytes);
    if verdict == Some(verdict::RequestVerdict::NotRun.as_str().as_bytes())
        && !head.status.is_success()
    {
        return Err(refusal_error(head, is_reused));
    }
    Ok(())
}

/// Returns the error of an answer by which a backend server states that the request did not run.
///
/// On a connection that served earlier requests, a refusal without an id may be a second copy of an
/// earlier one.
pub(crate) fn refusal_error(head: &response::Parts, is_reused: bool) -> backend::AttemptError {
    let kind = backend::AttemptErrorKind::Refused;
    if is_reused && !head.headers.contains_key(&REQUEST_ID_HEADER) {
        return backend::AttemptError::may_have_run(kind);
    }
    backend::AttemptError::not_run(kind)
}
