//! A running plain service stand-in.

use std::net;
use std::sync;

use super::ServiceSettings;
use super::service_api::ServiceApi;
use super::service_core::ServiceCore;
use crate::announce;
use crate::control;
use crate::host;
use crate::http;
use crate::ledger;
use crate::testkit_error::TestkitError;

/// Runs a plain service until it is dropped; its ledger outlives crashes and restarts.
#[derive(Debug)]
pub struct ServiceProcess {
    host: host::StandInHost,
    core: sync::Arc<ServiceCore>,
    admin: net::SocketAddr,
}

impl ServiceProcess {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when an address or the runtime cannot be had.
    pub(crate) fn start(settings: ServiceSettings) -> Result<Self, TestkitError> {
        let host = host::StandInHost::start("service", 1)?;
        let incarnation = host::next_incarnation();
        let ledger = ledger::ServerLedger::new(&settings.announce.name, incarnation, 0);
        let controls = control::ControlSwitches::default();
        let (core, admin) = start_core(
            &host,
            settings,
            incarnation,
            sync::Arc::new(ledger),
            sync::Arc::new(controls),
        )?;
        Ok(Self { host, core, admin })
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.core.settings.announce.name
    }

    /// Returns the address for calls.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.core.address
    }

    /// Returns the address for ledger and controls.
    #[must_use]
    pub fn admin(&self) -> net::SocketAddr {
        self.admin
    }

    /// Returns the number of this start.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation
    }

    /// Copies the ledger.
    #[must_use]
    pub fn ledger(&self) -> ledger::LedgerSnapshot {
        self.core.ledger.snapshot()
    }

    /// Makes the service misbehave; tells whether it has such a switch.
    pub fn control(&self, control: &control::ServerControl) -> bool {
        self.core.controls.apply(control)
    }

    /// Ends the service at once, as a killed process would.
    pub fn crash(&self) {
        self.host.scope().cancel();
    }

    /// Tells whether the service has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.host.scope().is_cancelled()
    }

    /// Blocks until the service has crashed.
    pub fn wait_crashed(&self) {
        self.host.wait_cancelled();
    }

    /// Starts the service anew at its addresses.
    ///
    /// # Errors
    ///
    /// Fails when an address was taken meanwhile.
    pub fn restart(&mut self) -> Result<(), TestkitError> {
        self.host.renew();
        let incarnation = host::next_incarnation();
        self.core.ledger.restarted(incarnation);
        self.core.controls.clear();
        let mut settings = self.core.settings.clone();
        settings.listen = self.core.address;
        settings.admin = self.admin;
        (self.core, self.admin) = start_core(
            &self.host,
            settings,
            incarnation,
            sync::Arc::clone(&self.core.ledger),
            sync::Arc::clone(&self.core.controls),
        )?;
        Ok(())
    }
}

/// Binds the addresses and starts all tasks.
fn start_core(
    host: &host::StandInHost,
    settings: ServiceSettings,
    incarnation: u64,
    ledger: sync::Arc<ledger::ServerLedger>,
    controls: sync::Arc<control::ControlSwitches>,
) -> Result<(sync::Arc<ServiceCore>, net::SocketAddr), TestkitError> {
    let server = http::HttpServer::bind(settings.listen)?;
    let admin = http::HttpServer::bind(settings.admin)?;
    let scope = host.scope();
    let core = sync::Arc::new(ServiceCore {
        settings,
        address: server.address(),
        incarnation,
        ledger: sync::Arc::clone(&ledger),
        controls: sync::Arc::clone(&controls),
    });
    let admin_address = admin.address();
    let admin_api = host::AdminApi::new(ledger, controls);
    admin.serve(scope, sync::Arc::new(admin_api))?;
    let api = ServiceApi::new(sync::Arc::clone(&core));
    server.serve(scope, sync::Arc::new(api))?;
    let announce = core.settings.announce.clone();
    scope.spawn(announce::Announcer::new(announce, sync::Arc::clone(&core)).run());
    Ok((core, admin_address))
}
