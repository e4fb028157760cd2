//! Why a backend server's notice is not acknowledged.

/// Why a backend server's notice is not acknowledged; the server sends it again, to any member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoticeRefusal {
    /// This member does not lead the control group.
    NotLeading,
    /// The control group did not commit the departure that the notice announces in time.
    NotCommitted,
}
