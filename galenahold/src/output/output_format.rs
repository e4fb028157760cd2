//! The form of what commands print.

/// The form of what commands print.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Lines and tables for people.
    People,
    /// One JSON document.
    Json,
}
