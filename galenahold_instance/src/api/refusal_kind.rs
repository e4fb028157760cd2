//! The kinds of refusals and errors that callers see.

use http::StatusCode;

/// The kinds of refusals and errors that callers see; each has its status and its name in the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The head or body is larger than allowed.
    TooLarge,
    /// The request did not arrive in time.
    SlowRequest,
    /// There is no key, or no such key.
    Unauthorized,
    /// The key's team may not use the service.
    Forbidden,
    /// There is no such path, model or service.
    NotFound,
    /// The path does not take the method.
    MethodNotAllowed,
    /// The team's rate and burst are used up.
    RateLimited,
    /// The request would need more tokens than the burst or the model allows.
    TooManyTokens,
    /// The queue is full.
    QueueFull,
    /// The request cannot be served, or was not served, before its deadline.
    DeadlineExceeded,
    /// This instance cannot confirm its configuration.
    StaleConfiguration,
    /// The control group cannot be reached.
    ControlUnavailable,
    /// No backend server can be reached.
    BackendUnavailable,
    /// The backend server's answer was lost, wrong or cut short.
    BackendFailed,
    /// An order under the same idempotency key is under way.
    OrderRunning,
    /// An earlier attempt of the order may have run.
    OrderUnknown,
    /// The idempotency key was used with another request.
    OrderDiffers,
    /// The idempotency key is older than the ledger keeps keys.
    OrderExpired,
    /// The order ledger is full.
    OrderLedgerFull,
    /// The key was withdrawn while the request ran.
    KeyWithdrawn,
    /// The instance is stopping.
    Stopping,
}

impl RefusalKind {
    /// Returns the HTTP status.
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
            Self::TooManyTokens | Self::OrderDiffers => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OrderRunning | Self::OrderUnknown | Self::OrderExpired => StatusCode::CONFLICT,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::QueueFull
            | Self::StaleConfiguration
            | Self::ControlUnavailable
            | Self::BackendUnavailable
            | Self::OrderLedgerFull
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the kind's name in bodies, logs and metrics.
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
        }
    }
}
