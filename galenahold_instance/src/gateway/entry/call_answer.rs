//! Answers to callers that the gateway generates itself.

use std::time;

use galenahold_domain::verdict;
use galenahold_routing::fleet;
use http::{HeaderValue, Response, StatusCode, header};

use crate::api;

/// Returns whether callers take the status as a guarantee that the request has not run and never
/// will.
pub(super) fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Converts a refusal to an HTTP response.
///
/// A failure of a request that may have run is 502 or 504, which guarantee nothing.
pub(super) fn refusal_answer(refusal: &api::RequestRefusal) -> Response<api::AnswerBody> {
    let mut answer = api::json_answer(status_of(refusal), refusal.document());
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.2}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

fn status_of(refusal: &api::RequestRefusal) -> StatusCode {
    let promised = refusal.verdict == verdict::RequestVerdict::NotRun;
    match refusal.kind {
        api::RefusalKind::RateLimited | api::RefusalKind::TooManyTokens if promised => {
            StatusCode::TOO_MANY_REQUESTS
        }
        api::RefusalKind::BadRequest
        | api::RefusalKind::TooLarge
        | api::RefusalKind::Unauthorized
        | api::RefusalKind::NotFound
        | api::RefusalKind::PromptBlocked
        | api::RefusalKind::SlowRequest => refusal.kind.status(),
        _ if promised => StatusCode::SERVICE_UNAVAILABLE,
        api::RefusalKind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Converts a scheduler refusal to a refusal for the caller.
pub(super) fn scheduler_refusal(refusal: fleet::SchedulerRefusal) -> api::RequestRefusal {
    let kind = match refusal.cause {
        fleet::RefusalCause::NoServer | fleet::RefusalCause::Closed => {
            api::RefusalKind::BackendUnavailable
        }
        fleet::RefusalCause::NotLoaded | fleet::RefusalCause::Full => api::RefusalKind::QueueFull,
    };
    api::RequestRefusal::not_run(kind, refusal.cause.as_str()).retry_after(refusal.retry_after)
}

/// Returns the refusal of a request that may have run and whose deadline has passed.
pub(super) fn deadline_refusal() -> api::RequestRefusal {
    api::RequestRefusal::new(
        api::RefusalKind::DeadlineExceeded,
        verdict::RequestVerdict::MayHaveRun,
        "the request's deadline has passed",
    )
}

/// Returns the refusal of a request that may have run and has no complete answer.
pub(super) fn lost_answer_refusal(message: &str) -> api::RequestRefusal {
    api::RequestRefusal::new(
        api::RefusalKind::BackendFailed,
        verdict::RequestVerdict::MayHaveRun,
        message,
    )
}

/// Removes the guarantee that the request has not run, after an attempt that may have run.
pub(super) fn withdraw_not_run(refusal: api::RequestRefusal) -> api::RequestRefusal {
    if refusal.verdict == verdict::RequestVerdict::NotRun {
        return lost_answer_refusal(&refusal.message);
    }
    refusal
}

/// Returns the refusal of a request that no attempt could run, with the delay after which the
/// caller should retry.
pub(super) fn not_run_refusal(message: &str, retry_after: time::Duration) -> api::RequestRefusal {
    api::RequestRefusal::not_run(api::RefusalKind::BackendUnavailable, message)
        .retry_after(retry_after)
}
