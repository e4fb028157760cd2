//! Kinds of refusals and errors, with their HTTP status and name.

use http::StatusCode;

/// The kind of a refusal or error that a caller receives; it sets the HTTP status and the name in the
/// body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds its maximum size.
    TooLarge,
    /// The request body did not arrive in time.
    SlowRequest,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The key's team may not use the service.
    Forbidden,
    /// The path, model or service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The team's rate and burst are used up.
    RateLimited,
    /// The request may need more tokens than the team's burst or the model allows.
    TooManyTokens,
    /// Backend servers crash on requests with a part of the prompt.
    PromptBlocked,
    /// The queue is full, or the predicted wait exceeds the request's deadline.
    QueueFull,
    /// The request was not served before its deadline.
    DeadlineExceeded,
    /// This instance cannot confirm that its configuration is current.
    StaleConfiguration,
    /// The control group cannot be reached.
    ControlUnavailable,
    /// No backend server could be reached, or the last attempt provably did not run.
    BackendUnavailable,
    /// The backend server's answer was lost, invalid or cut short.
    BackendFailed,
    /// An order with the same idempotency key is still running.
    OrderRunning,
    /// An earlier attempt of the order may have run.
    OrderUnknown,
    /// The idempotency key was already used with a different request.
    OrderDiffers,
    /// The idempotency key is older than the ledger's retention period.
    OrderExpired,
    /// The order ledger is full.
    OrderLedgerFull,
    /// The key was withdrawn while the request was in progress.
    KeyWithdrawn,
    /// The instance is stopping.
    Stopping,
    /// The caller left; nobody receives this.
    CallerLeft,
}

impl RefusalKind {
    /// Returns the HTTP status code of the answer.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::Unauthorized | Self::KeyWithdrawn => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::TooManyTokens | Self::PromptBlocked | Self::OrderDiffers => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            Self::OrderRunning | Self::OrderUnknown | Self::OrderExpired => StatusCode::CONFLICT,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::QueueFull
            | Self::StaleConfiguration
            | Self::ControlUnavailable
            | Self::BackendUnavailable
            | Self::OrderLedgerFull
            | Self::Stopping
            | Self::CallerLeft => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the kind's name as it appears in bodies, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::SlowRequest => "slow_request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::RateLimited => "rate_limited",
            Self::TooManyTokens => "too_many_tokens",
            Self::PromptBlocked => "prompt_blocked",
            Self::QueueFull => "queue_full",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::StaleConfiguration => "stale_configuration",
            Self::ControlUnavailable => "control_unavailable",
            Self::BackendUnavailable => "backend_unavailable",
            Self::BackendFailed => "backend_failed",
            Self::OrderRunning => "order_running",
            Self::OrderUnknown => "order_unknown",
            Self::OrderDiffers => "order_differs",
            Self::OrderExpired => "order_expired",
            Self::OrderLedgerFull => "order_ledger_full",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::Stopping => "stopping",
            Self::CallerLeft => "caller_left",
        }
    }
}
