//! The way of one instance to another by the address that all know.

use crate::proxy;

/// Lets connections to a shared link count as those of the pair.
#[derive(Debug, Clone)]
pub(crate) struct SharedRoute {
    shared: proxy::FaultLink,
    own: proxy::FaultLink,
}

impl SharedRoute {
    /// Makes the route of a pair.
    pub(crate) fn new(shared: &proxy::FaultLink, own: &proxy::FaultLink) -> Self {
        Self {
            shared: shared.clone(),
            own: own.clone(),
        }
    }

    /// Attributes the connections of a process to the pair.
    pub(crate) fn attribute(&self, process: u32) {
        self.shared.attribute(process, &self.own);
    }
}
