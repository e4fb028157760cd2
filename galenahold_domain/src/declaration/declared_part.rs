//! The parts of a declaration.

/// A part of a declaration, by its position in the operator's document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclaredPart {
    /// The declaration as a whole.
    Whole,
    /// A route.
    Route(usize),
    /// One of the services of a route that has several.
    Share {
        /// The route.
        route: usize,
        /// The service's position in the route.
        share: usize,
    },
    /// A service.
    Service(usize),
    /// The engine section of a service.
    Engine(usize),
    /// A model of a service's engines.
    Model {
        /// The service.
        service: usize,
        /// The model's position in the engine section.
        model: usize,
    },
    /// A team.
    Team(usize),
    /// The limits on callers.
    Limits,
}
