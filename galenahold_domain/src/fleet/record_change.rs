//! A record as an update carries it.

use serde::{Deserialize, Serialize};

use crate::fleet;
use crate::name;

/// A record as an update carries it: what seldom changes and what is large only where it is new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// The server's name.
    pub name: name::ServerName,
    /// The Unix millisecond of its start, by its own clock.
    pub started_ms: u64,
    /// What does not change in one start; none where the view has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<fleet::ServerOrigin>,
    /// Whether it takes new requests.
    pub stage: fleet::ServerStage,
    /// Whether its notices stay away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub silent: bool,
    /// Whether it was told to go at short notice.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaves_soon: bool,
    /// The models that it holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<fleet::HeldModel>,
    /// The load that is under way there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loading: Option<fleet::ModelLoading>,
    /// Where weights lie near it; none where the view has it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copies: Option<fleet::WeightCopies>,
}

impl RecordChange {
    /// Returns the record, as a view that knows `known` of the server has it.
    ///
    /// There is none where the view lacks what the change leaves out.
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
