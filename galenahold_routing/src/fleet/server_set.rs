//! The backend servers that one entry instance knows.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// The known backend servers, and which of them may take a call.
#[derive(Debug, Default)]
pub(super) struct ServerSet {
    servers: collections::BTreeMap<name::ServerName, fleet::SchedulerServer>,
    /// Servers that asked for a pause.
    pub(super) closures: fleet::ServerClosures,
}

impl ServerSet {
    pub(super) fn get(&self, name: &name::ServerName) -> Option<&fleet::SchedulerServer> {
        self.servers.get(name)
    }

    pub(super) fn get_mut(
        &mut self,
        name: &name::ServerName,
    ) -> Option<&mut fleet::SchedulerServer> {
        self.servers.get_mut(name)
    }

    /// Adds or updates a server from its roster record; a server that is new here may be one that was
    /// removed while calls of `runs` were in flight there.
    pub(super) fn update(
        &mut self,
        record: domain::ServerRecord,
        runs: &fleet::RunLedger,
        now: time::Instant,
    ) {
        if let Some(server) = self.servers.get_mut(&record.name) {
            server.update(record, now);
            return;
        }
        let mut server = fleet::SchedulerServer::new(record, now);
        server.own = runs.total(&server.record.name, server.record.started_ms);
        self.servers.insert(server.record.name.clone(), server);
    }

    pub(super) fn remove(&mut self, name: &name::ServerName) {
        self.servers.remove(name);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &fleet::SchedulerServer> {
        self.servers.values()
    }

    /// Returns the given start of a server.
    pub(super) fn start_mut(
        &mut self,
        name: &name::ServerName,
        started_ms: u64,
    ) -> Option<&mut fleet::SchedulerServer> {
        let server = self.servers.get_mut(name)?;
        (server.record.started_ms == started_ms).then_some(server)
    }

    /// Iterates over the servers of a service.
    pub(super) fn of_service<'a>(
        &'a self,
        service: &'a name::ServiceName,
    ) -> impl Iterator<Item = &'a fleet::SchedulerServer> {
        self.servers
            .values()
            .filter(move |server| server.record.service == *service)
    }

    /// Iterates over the servers that take requests and hold the service and model of the call.
    pub(super) fn eligible<'a>(
        &'a self,
        requirements: &'a fleet::CallRequirements,
        now: time::Instant,
    ) -> impl Iterator<Item = &'a fleet::SchedulerServer> {
        self.holding(requirements, now)
            .filter(move |server| self.closed_for(server, now).is_none())
    }

    /// Returns when the first server opens that could take the call if it had not asked for a pause.
    pub(super) fn until_opened(
        &self,
        requirements: &fleet::CallRequirements,
        now: time::Instant,
    ) -> Option<time::Duration> {
        self.holding(requirements, now)
            .filter_map(|server| self.closed_for(server, now))
            .min()
    }

    fn holding<'a>(
        &'a self,
        requirements: &'a fleet::CallRequirements,
        now: time::Instant,
    ) -> impl Iterator<Item = &'a fleet::SchedulerServer> {
        self.of_service(&requirements.service)
            .filter(move |server| {
                server.is_open(now)
                    && requirements
                        .target
                        .as_ref()
                        .is_none_or(|target| server.serves_model(&target.model, now))
            })
    }

    fn closed_for(
        &self,
        server: &fleet::SchedulerServer,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let record = &server.record;
        self.closures.opens_in(&record.name, record.started_ms, now)
    }
}
