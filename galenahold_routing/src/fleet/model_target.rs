//! The model and adapter that a call is for.

use galenahold_domain::fleet;
use galenahold_domain::name;

/// The model that a call names, with its adapter if it names one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelTarget {
    /// The model.
    pub model: name::ModelName,
    /// The adapter, if the call names one.
    pub adapter: Option<name::AdapterName>,
}

impl ModelTarget {
    /// Returns the adapter together with its model, if the call names an adapter.
    #[must_use]
    pub fn held_adapter(&self) -> Option<fleet::HeldAdapter> {
        self.adapter.as_ref().map(|adapter| fleet::HeldAdapter {
            model: self.model.clone(),
            adapter: adapter.clone(),
        })
    }
}
