//! The state of a plain service stand-in.

use std::net;
use std::sync;

use super::ServiceSettings;
use crate::announce;
use crate::control;
use crate::ledger;

/// Everything that faces and tasks of one incarnation share.
#[derive(Debug)]
pub(crate) struct ServiceCore {
    /// Name, addresses and pace.
    pub(crate) settings: ServiceSettings,
    /// Where calls come in.
    pub(crate) address: net::SocketAddr,
    /// Changes at every start.
    pub(crate) incarnation: u64,
    /// What happened.
    pub(crate) ledger: sync::Arc<ledger::ServerLedger>,
    /// How to misbehave.
    pub(crate) controls: sync::Arc<control::ControlSwitches>,
}

impl announce::AnnouncedState for ServiceCore {
    fn announcement(&self) -> Option<announce::Announcement> {
        if self.controls.is_silent() {
            return None;
        }
        Some(announce::Announcement {
            name: self.settings.announce.name.clone(),
            incarnation: self.incarnation,
            sequence: 0,
            address: self.address,
            data_centre: self.settings.announce.data_centre.clone(),
            kind: announce::ServerKind::Service,
            service: Some(self.settings.service.clone()),
            checks_fencing: false,
            memory_bytes: 0,
            loaded: Vec::new(),
            cached: Vec::new(),
            load: announce::LoadReport::default(),
            leaving: self.controls.is_leaving(),
        })
    }
}
