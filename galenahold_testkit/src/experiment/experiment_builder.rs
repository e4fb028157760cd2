//! Running an experiment.

use std::path;
use std::thread;
use std::time;

use super::fault_runner::FaultRunner;
use super::team_key::TeamKey;
use super::{ExperimentResult, LedgerFindings, PlannedFault};
use crate::deployment;
use crate::harness;
use crate::load;
use crate::proxy;
use crate::testkit_error::TestkitError;

/// Time in which a fleet has to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Time that backend servers get to announce themselves before the load.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_secs(3);

/// Collects what an experiment is like and runs it.
#[derive(Debug, Clone)]
pub struct ExperimentBuilder {
    deployment: deployment::FleetDeployment,
    label: String,
    settings: serde_json::Value,
    delays: bool,
    preload: bool,
    straight: bool,
    timeout: time::Duration,
    kept_files: Option<path::PathBuf>,
    faults: Vec<PlannedFault>,
}

impl ExperimentBuilder {
    /// Starts with a deployment and plain settings.
    #[must_use]
    pub fn new(deployment: deployment::FleetDeployment, label: &str) -> Self {
        Self {
            deployment,
            label: label.to_owned(),
            settings: serde_json::json!({}),
            delays: true,
            preload: false,
            straight: false,
            timeout: load::LoadSettings::default().timeout,
            kept_files: None,
            faults: Vec::new(),
        }
    }

    /// Lays settings over those of every instance.
    #[must_use]
    pub fn settings(mut self, over: serde_json::Value) -> Self {
        self.settings = over;
        self
    }

    /// Sets whether links have the delays of the deployment.
    #[must_use]
    pub fn delays(mut self, delays: bool) -> Self {
        self.delays = delays;
        self
    }

    /// Sets whether models are ready at the start, as far as memory goes.
    #[must_use]
    pub fn preload(mut self, preload: bool) -> Self {
        self.preload = preload;
        self
    }

    /// Sets whether every second request for preloaded models goes to an engine directly.
    #[must_use]
    pub fn straight(mut self, straight: bool) -> Self {
        self.straight = straight;
        self
    }

    /// Sets the time that a request may take.
    #[must_use]
    pub fn timeout(mut self, timeout: time::Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Keeps the instances' files in a new folder below `parent`.
    #[must_use]
    pub fn keep_files(mut self, parent: &path::Path) -> Self {
        self.kept_files = Some(parent.to_owned());
        self
    }

    /// Makes these faults while the trace is played.
    #[must_use]
    pub fn faults(mut self, faults: Vec<PlannedFault>) -> Self {
        self.faults = faults;
        self
    }

    /// Starts everything, plays the trace and reads the ledgers.
    ///
    /// # Errors
    ///
    /// Fails when the fleet does not become ready or the intent is refused.
    pub fn run(&self, trace: &load::LoadTrace) -> Result<ExperimentResult, TestkitError> {
        let mut fleet = self.start_fleet()?;
        let mut servers =
            deployment::StandInFleet::start(&self.deployment, &fleet.backends(), self.preload)?;
        let operator = fleet.operator();
        operator.state_intent(&self.deployment.intent())?;
        let keys = self.give_keys(&operator)?;
        thread::sleep(ANNOUNCE_TIME);
        let proxy = proxy::FaultProxy::start()?;
        let settings = load::LoadSettings {
            label: self.label.clone(),
            targets: self.targets(&proxy, &fleet)?,
            straight_engines: if self.straight {
                straight_engines(&servers)
            } else {
                Vec::new()
            },
            keys: keys.iter().fold(load::TeamKeys::default(), |keys, key| {
                keys.with(&key.team, &key.given.key)
            }),
            timeout: self.timeout,
            ..load::LoadSettings::default()
        };
        let run = load::LoadRun::new(settings)?;
        let runner = FaultRunner {
            fleet: &mut fleet,
            servers: &mut servers,
            keys: &keys,
        };
        let (load, faults) = thread::scope(|scope| {
            let faults = scope.spawn(|| runner.run(&self.faults, |links| self.set_delays(links)));
            let load = run.play(trace);
            (load, faults.join().unwrap_or_default())
        });
        let shown = keys.iter().map(|key| key.given.key.as_str());
        let findings = LedgerFindings::read(&self.deployment, &servers, shown);
        Ok(ExperimentResult {
            load,
            faults,
            findings,
        })
    }

    fn give_keys(&self, operator: &harness::OperatorClient) -> Result<Vec<TeamKey>, TestkitError> {
        let teams = self.deployment.teams.iter();
        let keys = teams.map(|team| {
            let given = operator.give_key(&team.name)?;
            Ok(TeamKey {
                team: team.name.clone(),
                given,
            })
        });
        keys.collect()
    }

    /// Sets the delays between data centres, and mends all links.
    fn set_delays(&self, links: &harness::PeerLinks) {
        links.heal();
        if self.delays {
            links.set_each(|from, to| self.peer_fault(from, to));
        }
    }

    fn start_fleet(&self) -> Result<harness::InstanceFleet, TestkitError> {
        let centres = &self.deployment.data_centres;
        let names: Vec<_> = centres.iter().map(String::as_str).collect();
        let control = self.deployment.control_instances;
        let route = if self.delays || !self.faults.is_empty() {
            harness::PeerRoute::Pairs
        } else {
            harness::PeerRoute::Direct
        };
        let mut builder = harness::FleetBuilder::default();
        if let Some(parent) = &self.kept_files {
            builder = builder.keep_files(parent);
        }
        let fleet = builder
            .control(control)
            .entries(self.deployment.instances.saturating_sub(control))
            .data_centres(&names)
            .peer_route(route)
            .settings(&self.settings)
            .start_ready(READY_LIMIT)?;
        self.set_delays(fleet.links());
        Ok(fleet)
    }

    /// Returns the delay between two instances; links from all count as between data centres.
    fn peer_fault(&self, from: Option<usize>, to: usize) -> proxy::LinkFault {
        let deployment = &self.deployment;
        let same =
            from.is_some_and(|from| deployment.data_centre(from) == deployment.data_centre(to));
        if same {
            return proxy::LinkFault::pass();
        }
        let delay = time::Duration::from_micros(deployment.between_data_centres_us);
        proxy::LinkFault::pass().delay(delay)
    }

    /// Lists where callers connect: through links with the delay from clients, if asked for.
    fn targets(
        &self,
        proxy: &proxy::FaultProxy,
        fleet: &harness::InstanceFleet,
    ) -> Result<Vec<load::LoadTarget>, TestkitError> {
        if !self.delays {
            return Ok(fleet.load_targets());
        }
        let delay = time::Duration::from_micros(self.deployment.from_clients_us);
        let links = fleet.load_targets().into_iter().map(|mut target| {
            let link = proxy.link(target.callers)?;
            link.set_both(proxy::LinkFault::pass().delay(delay));
            target.callers = link.address();
            Ok(target)
        });
        links.collect()
    }
}

/// Lists the engines with the models that they have at the start.
fn straight_engines(servers: &deployment::StandInFleet) -> Vec<load::DirectEngine> {
    let engines = servers.engines().iter().map(|engine| {
        let loaded = engine.loaded().into_iter();
        load::DirectEngine {
            address: engine.address(),
            models: loaded.map(|loaded| loaded.model).collect(),
        }
    });
    engines.filter(|engine| !engine.models.is_empty()).collect()
}
