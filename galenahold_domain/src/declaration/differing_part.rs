//! The parts by which differences are named.

/// The part of a declaration that differs, by name: positions differ between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DifferingPart {
    /// The declaration as a whole.
    Whole,
    /// The route with this name.
    Route(String),
    /// The service with this name.
    Service(String),
    /// The model with this name in the engines of a service.
    Model {
        /// The service.
        service: String,
        /// The model.
        model: String,
    },
    /// The team with this name.
    Team(String),
    /// The limits on callers.
    Limits,
}
