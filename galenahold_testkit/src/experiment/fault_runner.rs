//! Making the faults of an experiment.

use std::thread;
use std::time;

use snafu::OptionExt;

use super::team_key::TeamKey;
use super::{FaultRecord, FleetFault, PlannedFault};
use crate::deployment;
use crate::harness;
use crate::proxy;
use crate::testkit_error::{NotRunningSnafu, TestkitError};

/// What faults work on.
#[derive(Debug)]
pub(crate) struct FaultRunner<'a> {
    /// The instances.
    pub(crate) fleet: &'a mut harness::InstanceFleet,
    /// The backend servers.
    pub(crate) servers: &'a mut deployment::StandInFleet,
    /// The teams' keys.
    pub(crate) keys: &'a [TeamKey],
}

impl FaultRunner<'_> {
    /// Makes the planned faults at their times; `heal` mends the links.
    pub(crate) fn run(
        mut self,
        plan: &[PlannedFault],
        heal: impl Fn(&harness::PeerLinks),
    ) -> Vec<FaultRecord> {
        let start = time::Instant::now();
        let mut plan = plan.to_vec();
        plan.sort_by_key(|planned| planned.at_ms);
        let mut records = Vec::new();
        for planned in plan {
            let due = start + time::Duration::from_millis(planned.at_ms);
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            let made = self.make(&planned.fault, &heal);
            let error = made.err().map(|error| error.to_string());
            if let Some(error) = &error {
                log::warn!("fault not made: {error}");
            }
            records.push(FaultRecord {
                done_ms: u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX),
                fault: planned.fault,
                error,
            });
        }
        records
    }

    fn make(
        &mut self,
        fault: &FleetFault,
        heal: &impl Fn(&harness::PeerLinks),
    ) -> Result<(), TestkitError> {
        match fault {
            FleetFault::KillInstance { instance } => self.instance(instance)?.kill(),
            FleetFault::StartInstance { instance } => self.instance(instance)?.start()?,
            FleetFault::StopInstance { instance } => self.instance(instance)?.terminate()?,
            FleetFault::FreezeInstance { instance } => self.instance(instance)?.freeze()?,
            FleetFault::ThawInstance { instance } => self.instance(instance)?.thaw()?,
            FleetFault::IsolateInstance { instance } => {
                let position = self.position(instance)?;
                let links = self.fleet.links();
                links.isolate(position, proxy::LinkFault::cut());
            }
            FleetFault::HealLinks => heal(self.fleet.links()),
            FleetFault::CrashServer { server } => self.servers.crash(server)?,
            FleetFault::RestartServer { server } => self.servers.restart(server)?,
            FleetFault::ControlServer { server, control } => {
                self.servers.control(server, control)?;
            }
            FleetFault::SlowStore { divisor } => self.servers.store().slow(*divisor),
            FleetFault::StallStore { on } => self.servers.store().stall(*on),
            FleetFault::WithdrawKey { team } => self.withdraw_key(team)?,
        }
        Ok(())
    }

    fn position(&self, name: &str) -> Result<usize, TestkitError> {
        let instances = self.fleet.instances().iter();
        let mut names = instances.map(harness::InstanceProcess::name);
        let position = names.position(|known| known == name);
        position.context(NotRunningSnafu { name })
    }

    fn instance(&mut self, name: &str) -> Result<&mut harness::InstanceProcess, TestkitError> {
        let position = self.position(name)?;
        Ok(&mut self.fleet.instances_mut()[position])
    }

    fn withdraw_key(&self, name: &str) -> Result<(), TestkitError> {
        let key = self.keys.iter().find(|key| key.team == name);
        let key = key.context(NotRunningSnafu { name })?;
        self.fleet.operator().withdraw_key(&key.given.id)
    }
}
