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
/// # Errors
///
/// The answer carries the id of another request, or states that the request did not run.
pub(crate) fn check_exchange(
    head: &response::Parts,
    attempt: &name::RequestId,
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
        return Err(backend::AttemptError::not_run(
            backend::AttemptErrorKind::Refused,
        ));
    }
    Ok(())
}
