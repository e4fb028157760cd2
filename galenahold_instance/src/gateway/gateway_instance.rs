//! Life cycle of a gateway instance.

use std::fmt;
use std::time;

use log::{error, info, warn};
use snafu::ResultExt;
use tokio::runtime;
use tokio::signal::unix as signals;

use crate::control as group;
use crate::gateway;
use crate::gateway::control;
use crate::gateway::gateway_error;
use crate::gateway::gateway_wiring;
use crate::instance;

/// How often an instance checks for faults and for the age of its configuration.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// How long the configuration may be unconfirmed before the settings are read again for new seeds.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long callers still arrive after the instance reports that it is not ready: the load balancer
/// checks once a second and acts on the second answer.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(2_300);

/// How long calls may still wait for a place at a stopping instance; other instances can serve
/// them.
const QUEUE_CLOSE_DELAY: time::Duration = time::Duration::from_millis(2_500);

/// The part of the grace period that is reserved for the last steps of a stop.
const SHUTDOWN_RESERVE: time::Duration = time::Duration::from_millis(1_100);

/// The part of the grace period that is left when a stopping member no longer waits for its removal
/// from a control group that has a successor for it.
const LEAVE_RESERVE: time::Duration = time::Duration::from_millis(1_500);

/// How long a stopping member announces to another leader that it stops, at least.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_millis(250);

/// How long a stopping member waits for another leader to announce it to, unless it has a successor.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How often a stopping member checks whether it was removed.
const LEAVE_PERIOD: time::Duration = time::Duration::from_millis(20);

/// A gateway instance.
#[derive(Debug)]
pub struct GatewayInstance<Dialect> {
    settings: gateway::GatewaySettings,
    dialect: Dialect,
}

/// Why an instance stops.
enum StopCause {
    Signal,
    Fault(String),
}

impl<Dialect: gateway::FleetDialect> GatewayInstance<Dialect> {
    /// Creates an instance that is not started yet.
    #[must_use]
    pub fn new(settings: gateway::GatewaySettings, dialect: Dialect) -> Self {
        Self { settings, dialect }
    }

    /// Runs until SIGTERM or SIGINT; calls `read_settings` on SIGHUP.
    ///
    /// # Errors
    ///
    /// The instance failed to start, or can no longer work.
    pub fn run<Error: fmt::Display>(
        self,
        read_settings: impl Fn() -> Result<gateway::GatewaySettings, Error>,
    ) -> Result<(), gateway::GatewayError> {
        // One thread is enough for machines that have a fraction of one core.
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(gateway_error::RuntimeSnafu)?;
        let handle = runtime.handle().clone();
        runtime.block_on(self.serve(&handle, read_settings))
    }

    async fn serve<Error: fmt::Display>(
        self,
        handle: &runtime::Handle,
        read_settings: impl Fn() -> Result<gateway::GatewaySettings, Error>,
    ) -> Result<(), gateway::GatewayError> {
        let groups = instance::TaskGroups::new(handle);
        let wiring = gateway::GatewayWiring::new(&self.settings, self.dialect.clone(), &groups);
        let mut running = wiring.start().await?;
        info!(
            instance:% = self.settings.name,
            address:% = self.settings.address,
            data_centre:% = self.settings.data_centre,
            entry = self.settings.callers.is_some(),
            control = running.member.is_some(),
            seeds:? = self.settings.seeds;
            "instance started"
        );
        let cause = self.wait_for_stop(&running, &read_settings).await?;
        wiring.readiness.begin_stop();
        let fault = match cause {
            StopCause::Signal => {
                self.announce_stop(&running).await;
                None
            }
            StopCause::Fault(reason) => {
                error!(reason = reason.as_str(); "instance stops after a fault");
                Some(reason)
            }
        };
        let drain = self.drain_time(fault.is_some());
        groups.stop(drain, running.limiter.take()).await;
        let is_removed = running
            .monitor
            .as_ref()
            .is_some_and(control::RemovalMonitor::is_removed)
            || running
                .member
                .as_ref()
                .is_some_and(|member| member.handle().status().removed);
        if let Some(log) = running.log.take() {
            log.stop();
        }
        if is_removed {
            self.clear_data_folder();
        }
        info!("instance stopped");
        match fault {
            Some(reason) => gateway_error::FaultSnafu { reason }.fail(),
            None => Ok(()),
        }
    }

    /// Waits until the instance has to stop, and returns the cause.
    async fn wait_for_stop<Error: fmt::Display>(
        &self,
        running: &gateway_wiring::RunningParts<Dialect>,
        read_settings: &impl Fn() -> Result<gateway::GatewaySettings, Error>,
    ) -> Result<StopCause, gateway::GatewayError> {
        let mut terminate = subscribe(signals::SignalKind::terminate())?;
        let mut interrupt = subscribe(signals::SignalKind::interrupt())?;
        let mut hang_up = subscribe(signals::SignalKind::hangup())?;
        let mut was_stale = false;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(StopCause::Signal),
                _ = interrupt.recv() => return Ok(StopCause::Signal),
                _ = hang_up.recv() => reload_seeds(running, read_settings),
                () = tokio::time::sleep(CHECK_PERIOD) => {
                    record_suspension(running);
                    if let Some(reason) = find_fault(running) {
                        return Ok(StopCause::Fault(reason));
                    }
                    let stale = running.cache.age().is_none_or(|age| age >= CONFIRMATION_TIMEOUT);
                    if stale != was_stale {
                        was_stale = stale;
                        log_freshness(stale);
                    }
                    if stale {
                        // The settings may have changed without a signal.
                        reload_seeds(running, read_settings);
                    }
                }
            }
        }
    }

    /// Announces a planned stop: leaves the control group, stops queueing calls, and waits until
    /// the load balancer has noticed.
    async fn announce_stop(&self, running: &gateway_wiring::RunningParts<Dialect>) {
        info!("instance stops");
        let leaves_group = async {
            if let Some(member) = &running.member {
                self.leave_group(member).await;
            }
        };
        let closes = async {
            if let Some(dispatcher) = &running.dispatcher {
                dispatcher.close_at(time::Instant::now() + QUEUE_CLOSE_DELAY);
                tokio::time::sleep(BALANCER_DELAY).await;
            }
        };
        tokio::join!(leaves_group, closes);
    }

    /// Hands over leadership, and waits until the control group counts on its successor in place of
    /// this member if it has one.
    ///
    /// Without a successor, the member stays in the group, as it is expected to return.
    async fn leave_group(&self, member: &group::ControlGroup) {
        if member.is_leader() {
            info!("hands leadership over");
        }
        member.handle().announce_leaving();
        let voters = control::voter_target(self.settings.tolerated_losses);
        let timeout = self.settings.stop_grace.saturating_sub(LEAVE_RESERVE);
        let began = time::Instant::now();
        let mut announced_at = None;
        loop {
            let status = member.handle().status();
            let leader = status.leader.as_ref();
            if leader.is_some_and(|leader| leader.id != status.profile.id) {
                announced_at.get_or_insert_with(time::Instant::now);
            }
            let is_announced = began.elapsed() >= ANNOUNCE_TIMEOUT
                || announced_at.is_some_and(|at| at.elapsed() >= ANNOUNCE_TIME);
            let is_over = status.removed || (status.is_needed(voters) && is_announced);
            if is_over || began.elapsed() >= timeout {
                let removed = status.removed;
                info!(removed = removed, members = status.members.len(); "leaves the control group");
                return;
            }
            tokio::time::sleep(LEAVE_PERIOD).await;
        }
    }

    fn drain_time(&self, faulty: bool) -> time::Duration {
        if faulty || self.settings.callers.is_none() {
            return SHUTDOWN_RESERVE;
        }
        self.settings
            .stop_grace
            .saturating_sub(BALANCER_DELAY + SHUTDOWN_RESERVE)
    }

    /// Clears the data folder of a member that was removed, so that it can join again.
    fn clear_data_folder(&self) {
        let Some(folder) = &self.settings.data_folder else {
            return;
        };
        warn!(folder:% = folder.display(); "member was removed from the control group; clearing its data folder");
        let entries = match std::fs::read_dir(folder) {
            Ok(entries) => entries,
            Err(error) => {
                error!(folder:% = folder.display(), error:% = error; "cannot list the data folder");
                return;
            }
        };
        for entry in entries.flatten() {
            let path = entry.path();
            let removed = if path.is_dir() {
                std::fs::remove_dir_all(&path)
            } else {
                std::fs::remove_file(&path)
            };
            if let Err(error) = removed {
                error!(path:% = path.display(), error:% = error; "cannot remove a part of the data folder");
            }
        }
    }
}

fn subscribe(kind: signals::SignalKind) -> Result<signals::Signal, gateway::GatewayError> {
    signals::signal(kind).context(gateway_error::SignalsSnafu)
}

/// Shows in the metrics whether the data folder refuses writes. A suspension lasts at least as long
/// as its first attempt to resume takes, 500 ms, and so is not missed between two checks.
fn record_suspension<Dialect>(running: &gateway_wiring::RunningParts<Dialect>) {
    let suspended = running
        .member
        .as_ref()
        .is_some_and(|member| member.is_suspended());
    let gauge = &running.metrics.storage_suspended;
    gauge.set(i64::from(suspended));
}

/// Returns why the instance can no longer work, if it has failed.
fn find_fault<Dialect>(running: &gateway_wiring::RunningParts<Dialect>) -> Option<String> {
    let fault = running.member.as_ref().and_then(|member| member.fault());
    let is_removed = running
        .monitor
        .as_ref()
        .is_some_and(control::RemovalMonitor::is_removed);
    fault
        .or_else(|| is_removed.then(|| "this member was removed from the control group".to_owned()))
}

fn log_freshness(stale: bool) {
    if stale {
        warn!("no member of the control group confirms the configuration");
    } else {
        info!("the control group confirms the configuration");
    }
}

/// Reads the settings again and adds their new seeds to the known members.
fn reload_seeds<Dialect: gateway::FleetDialect, Error: fmt::Display>(
    running: &gateway_wiring::RunningParts<Dialect>,
    read_settings: &impl Fn() -> Result<gateway::GatewaySettings, Error>,
) {
    let settings = match read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            warn!(error:% = error; "cannot read the settings again; keeping the current ones");
            return;
        }
    };
    let mut members = running.client.members();
    let known = members.len();
    for seed in settings.seed_names() {
        if !members.contains(&seed) {
            members.push(seed);
        }
    }
    if members.len() != known {
        info!(members:? = members; "settings name new seeds");
        running.client.learn_members(members.into_iter());
    }
}
