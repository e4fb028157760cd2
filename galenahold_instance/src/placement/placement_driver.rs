//! Carries out the placement's decisions while this instance leads.

use std::sync;

use galenahold_settings::InstanceSettings;
use galenahold_wire::message;
use tokio::sync::mpsc;

use crate::control;
use crate::platform;
use crate::registry;
use crate::task;
use crate::timer;

/// Carries out the placement's decisions while this instance leads.
pub(crate) struct PlacementDriver {}

impl PlacementDriver {
    /// Creates a driver.
    pub(crate) fn new(
        _settings: &InstanceSettings,
        _card: message::InstanceCard,
        _member: sync::Arc<control::ControlGroup>,
        _registry: registry::ServerRegistry,
        _metrics: platform::FleetMetrics,
    ) -> Self {
        Self {}
    }

    /// Starts.
    pub(crate) fn start(
        self,
        mut reports: mpsc::Receiver<message::DemandReport>,
        _timer: &timer::TimerService,
        system: &task::TaskGroup,
    ) {
        system.spawn_until_stop(async move { while reports.recv().await.is_some() {} });
    }
}
