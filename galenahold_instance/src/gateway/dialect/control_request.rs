//! Kinds of requests to the control API.

/// A request to the control API, classified by its method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// An operator declares the complete configuration.
    Declare,
    /// An operator reads the current configuration.
    ReadBack,
    /// The named backend server reports its state.
    Notice(String),
    /// The named backend server leaves the fleet.
    Leave(String),
    /// No known method and path.
    Unknown,
}
