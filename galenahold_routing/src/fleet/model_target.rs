//! The model that a call names.

use galenahold_domain::fleet;
use galenahold_domain::name;

/// The model that a call names, and its adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelTarget {
    /// The model.
    pub model: name::ModelName,
    /// Its adapter, if the call names one.
    pub adapter: Option<name::AdapterName>,
}

impl ModelTarget {
    /// Returns the adapter with its model.
    #[must_use]
    pub fn held_adapter(&self) -> Option<fleet::HeldAdapter> {
        self.adapter.as_ref().map(|adapter| fleet::HeldAdapter {
            model: self.model.clone(),
            adapter: adapter.clone(),
        })
    }
}
