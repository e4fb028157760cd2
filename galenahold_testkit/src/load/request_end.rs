//! How a request ended for its caller.

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Whole and right.
    Answered,
    /// Of another request, with wrong text, or short without an error.
    Wrong,
    /// Refused with a status.
    Refused {
        /// The status.
        status: u16,
        /// The value of `x-verdict`.
        verdict: String,
        /// The `type` of the error.
        kind: String,
    },
    /// A stream that ended in an error event.
    FailedStream {
        /// The `verdict` of the error.
        verdict: String,
        /// The `type` of the error.
        kind: String,
    },
    /// A connection that broke before the end.
    Broken,
    /// No end in time.
    TimedOut,
}
