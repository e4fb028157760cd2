//! Why a backend server's notice is not acknowledged.

/// Why a backend server's notice is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoticeRefusal {
    /// This member does not lead the control group.
    NotLeading,
    /// The control group did not commit the departure that the notice announces in time.
    NotCommitted,
    /// The server claims to have started in the future.
    StartInFuture,
}
