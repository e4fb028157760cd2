//! The way to start a plain service stand-in.

use std::net;

use super::{ServiceProcess, ServiceSettings};
use crate::testkit_error::TestkitError;

/// Collects the settings of a plain service and starts it.
#[derive(Debug, Clone, Default)]
pub struct ServiceBuilder {
    settings: ServiceSettings,
}

impl ServiceBuilder {
    /// Starts with the default settings for one server of a service.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        let mut settings = ServiceSettings::default();
        name.clone_into(&mut settings.announce.name);
        service.clone_into(&mut settings.service);
        Self { settings }
    }

    /// Starts with whole settings.
    #[must_use]
    pub fn from_settings(settings: ServiceSettings) -> Self {
        Self { settings }
    }

    /// Announces the service to these instances, one in turn.
    #[must_use]
    pub fn instances(mut self, instances: &[net::SocketAddr]) -> Self {
        self.settings.announce.instances = instances.to_vec();
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: &str) -> Self {
        data_centre.clone_into(&mut self.settings.announce.data_centre);
        self
    }

    /// Sets the milliseconds between announcements.
    #[must_use]
    pub fn announce_interval_ms(mut self, interval_ms: u64) -> Self {
        self.settings.announce.interval_ms = interval_ms;
        self
    }

    /// Sets the microseconds that each call takes.
    #[must_use]
    pub fn call_us(mut self, call_us: u64) -> Self {
        self.settings.call_us = call_us;
        self
    }

    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails when an address or the runtime cannot be had.
    pub fn start(self) -> Result<ServiceProcess, TestkitError> {
        ServiceProcess::start(self.settings)
    }
}
