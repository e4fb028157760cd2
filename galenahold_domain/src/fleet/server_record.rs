//! What the group knows of a backend server.

use std::net;

use crate::fleet;
use crate::name;

/// What the group knows of a backend server of a declared service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its name.
    pub name: name::ServerName,
    /// The Unix millisecond of its start, by its own clock.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: name::ServiceName,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: fleet::ServerStage,
    /// Whether its notices stay away. It may still serve: it may only be cut off from the group.
    pub silent: bool,
    /// Whether it was told to go at short notice.
    pub leaves_soon: bool,
    /// The models that it holds.
    pub models: Vec<fleet::HeldModel>,
    /// The adapters that it held when its record last changed otherwise; they come and go by the second.
    pub adapters: Vec<fleet::HeldAdapter>,
    /// The load that is under way there.
    pub loading: Option<fleet::ModelLoading>,
    /// Where weights lie near it.
    pub copies: fleet::WeightCopies,
}

impl ServerRecord {
    /// Returns what does not change in this start of the server.
    pub(super) fn origin(&self) -> fleet::ServerOrigin {
        fleet::ServerOrigin {
            service: self.service.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            slots: self.slots,
            adapters: self.adapters.clone(),
        }
    }

    /// Returns whether another record tells of the same start of the server at the same place.
    pub(super) fn has_same_origin(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.service == other.service
            && self.address == other.address
            && self.data_centre == other.data_centre
            && self.slots == other.slots
    }

    /// Returns the model, if the server holds it.
    #[must_use]
    pub fn model(&self, name: &name::ModelName) -> Option<&fleet::HeldModel> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns whether new requests for the model may be sent there.
    #[must_use]
    pub fn serves_model(&self, name: &name::ModelName) -> bool {
        self.model(name).is_some_and(|model| !model.retiring)
    }

    /// Returns whether the server takes new requests.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage == fleet::ServerStage::Ready
    }
}

impl From<fleet::ServerNotice> for ServerRecord {
    fn from(notice: fleet::ServerNotice) -> Self {
        Self {
            name: notice.name,
            started_ms: notice.started_ms,
            service: notice.service,
            address: notice.address,
            data_centre: notice.data_centre,
            slots: notice.slots,
            stage: notice.stage,
            silent: false,
            leaves_soon: notice.removal_in.is_some(),
            models: notice.models,
            adapters: notice.adapters,
            loading: None,
            copies: notice.copies,
        }
    }
}
