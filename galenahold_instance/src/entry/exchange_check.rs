//! Validation of answers from backend servers.

use galenahold_domain::name;
use galenahold_domain::verdict;
use http::{HeaderName, response};

use crate::api;
use crate::backend;

/// The header that carries an attempt's id to a backend server and back, and a request's id to its
/// caller.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

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
