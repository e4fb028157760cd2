//! The gateway's own answers to callers.

use std::time;

use galenahold_domain::verdict;
use galenahold_routing::fleet;
use http::{HeaderValue, Response, StatusCode, header};

use crate::api;

/// Returns a refusal as an answer.
///
/// The statuses 429, 503, 408 and 421 promise that the request has not run and never will; all else
/// that may have run is 502 or 504.
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
        | api::RefusalKind::SlowRequest => refusal.kind.status(),
        _ if promised => StatusCode::SERVICE_UNAVAILABLE,
        api::RefusalKind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the board's refusal as the caller sees it.
pub(super) fn scheduler_refusal(refusal: fleet::SchedulerRefusal) -> api::RequestRefusal {
    let kind = match refusal.cause {
        fleet::RefusalCause::NoServer => api::RefusalKind::BackendUnavailable,
        fleet::RefusalCause::NotLoaded | fleet::RefusalCause::Full => api::RefusalKind::QueueFull,
    };
    api::RequestRefusal::not_run(kind, refusal.cause.as_str()).retry_after(refusal.retry_after)
}

/// Returns the refusal of a request that may have run and whose time is over.
pub(super) fn deadline_refusal() -> api::RequestRefusal {
    api::RequestRefusal::new(
        api::RefusalKind::DeadlineExceeded,
        verdict::RequestVerdict::MayHaveRun,
        "the request's time is over",
    )
}

/// Returns the refusal of a request that may have run and has no whole answer.
pub(super) fn lost_answer_refusal(message: &str) -> api::RequestRefusal {
    api::RequestRefusal::new(
        api::RefusalKind::BackendFailed,
        verdict::RequestVerdict::MayHaveRun,
        message,
    )
}

/// Returns a refusal as it has to be after an attempt that may have run: without a promise.
pub(super) fn withdraw_not_run(refusal: api::RequestRefusal) -> api::RequestRefusal {
    if refusal.verdict == verdict::RequestVerdict::NotRun {
        return lost_answer_refusal(&refusal.message);
    }
    refusal
}

/// Returns the refusal of a request that no attempt could run, with the time after which to come back.
pub(super) fn not_run_refusal(message: &str, retry_after: time::Duration) -> api::RequestRefusal {
    api::RequestRefusal::not_run(api::RefusalKind::BackendUnavailable, message)
        .retry_after(retry_after)
}
