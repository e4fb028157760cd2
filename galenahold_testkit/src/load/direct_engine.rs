//! An engine that gets requests directly.

use std::net;

/// An engine with the models that it is known to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectEngine {
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// The models and adapters; empty when it gets requests for any.
    pub models: Vec<String>,
}

impl DirectEngine {
    /// Makes an engine that gets requests for any model.
    #[must_use]
    pub fn any_model(address: net::SocketAddr) -> Self {
        Self {
            address,
            models: Vec::new(),
        }
    }

    /// Tells whether it gets requests for `model`.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|known| known == model)
    }
}
