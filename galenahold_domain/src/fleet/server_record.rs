//! The state of a backend server as the leader and the views know it.

use std::net;

use crate::fleet;
use crate::name;

/// The known state of a backend server of a declared service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// The name of the server.
    pub name: name::ServerName,
    /// The start time of the server by its own clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The service that the server belongs to.
    pub service: name::ServiceName,
    /// The address at which the server takes requests.
    pub address: net::SocketAddr,
    /// The data centre of the server.
    pub data_centre: name::DataCentreName,
    /// The number of requests that the server processes at once.
    pub slots: u32,
    /// Whether the server takes new requests.
    pub stage: fleet::ServerStage,
    /// Whether the server's notices have stopped. The server may still serve requests, as it may
    /// only be disconnected from the control group.
    pub silent: bool,
    /// Whether the server is to be removed at short notice.
    pub leaves_soon: bool,
    /// The models in the server's accelerator memory.
    pub models: Vec<fleet::HeldModel>,
    /// The adapters that the server listed. They change by the second; a change of the adapters
    /// alone is not sent to views, whose list may be outdated.
    pub adapters: Vec<fleet::HeldAdapter>,
    /// The load that is in progress at the server.
    pub loading: Option<fleet::ModelLoading>,
    /// The weights cached at the server.
    pub copies: fleet::WeightCopies,
}

impl ServerRecord {
    /// Returns the fields that stay the same until the server restarts.
    pub(super) fn origin(&self) -> fleet::ServerOrigin {
        fleet::ServerOrigin {
            service: self.service.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            slots: self.slots,
            adapters: self.adapters.clone(),
        }
    }

    /// Returns whether both records are of the same start with the same service, address, data
    /// centre and slots.
    pub(super) fn has_same_origin(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.service == other.service
            && self.address == other.address
            && self.data_centre == other.data_centre
            && self.slots == other.slots
    }

    /// Returns the model, if the server has it loaded.
    #[must_use]
    pub fn model(&self, name: &name::ModelName) -> Option<&fleet::HeldModel> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns whether new requests for the model may be sent to the server.
    #[must_use]
    pub fn serves_model(&self, name: &name::ModelName) -> bool {
        self.model(name).is_some_and(|model| !model.retiring)
    }

    /// Returns the departure of the server, if it drains.
    pub(super) fn departure(&self) -> Option<fleet::ServerDeparture> {
        fleet::ServerDeparture::of_stage(&self.name, self.started_ms, self.stage)
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
