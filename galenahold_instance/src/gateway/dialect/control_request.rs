//! A request to the control face.

/// A request to the control face, by its method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// An operator declares the whole configuration.
    Declare,
    /// An operator reads the configuration back.
    ReadBack,
    /// A backend server states itself, under this name.
    Notice(String),
    /// A backend server says that it leaves.
    Leave(String),
    /// Nothing that the platform names.
    Unknown,
}
