//! The entry of a server in a roster update.

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// The record of a server in an update; parts that seldom change or are large are sent only if they
/// changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// The name of the server.
    pub name: name::ServerName,
    /// The start time of the server by its own clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The fields that stay the same until the server restarts; `None` if the view has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<fleet::ServerOrigin>,
    /// Whether the server takes new requests.
    pub stage: fleet::ServerStage,
    /// Whether the server's notices have stopped.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub silent: bool,
    /// Whether the server is to be removed at short notice.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaves_soon: bool,
    /// The models in the server's accelerator memory.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<fleet::HeldModel>,
    /// The load that is in progress at the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<fleet::ModelLoading>,
    /// The weights cached at the server; `None` if the view has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copies: Option<fleet::WeightCopies>,
}

impl RecordChange {
    /// Completes the change with the view's `known` record of the server.
    ///
    /// Returns `None` if the change leaves out parts that the view does not have either.
    pub(super) fn into_record(
        self,
        known: Option<&fleet::ServerRecord>,
    ) -> Option<fleet::ServerRecord> {
        let known = known.filter(|known| known.started_ms == self.started_ms);
        let origin = self
            .origin
            .or_else(|| known.map(fleet::ServerRecord::origin))?;
        let copies = self.copies.or_else(|| Some(known?.copies.clone()))?;
        Some(fleet::ServerRecord {
            name: self.name,
            started_ms: self.started_ms,
            service: origin.service,
            address: origin.address,
            data_centre: origin.data_centre,
            slots: origin.slots,
            stage: self.stage,
            silent: self.silent,
            leaves_soon: self.leaves_soon,
            models: self.models,
            adapters: origin.adapters,
            loading: self.loading,
            copies,
        })
    }
}
