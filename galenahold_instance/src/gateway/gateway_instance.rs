//! One running gateway instance.

use std::fmt;
use std::time;

use log::{error, info, warn};
use snafu::ResultExt;
use tokio::runtime;
use tokio::signal::unix as signals;

use crate::gateway;
use crate::gateway::control;
use crate::gateway::gateway_error;
use crate::gateway::gateway_wiring;
use crate::instance;

/// How often an instance looks after itself.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(250);

/// How long the configuration may be unconfirmed until the settings are read again for other seeds.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long callers still come after the instance said that it is not ready: the balancer asks once a
/// second and believes the second answer.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(2_300);

/// How long calls may still wait for a place at an instance that stops; others can serve them.
const QUEUE_CLOSE_DELAY: time::Duration = time::Duration::from_millis(2_500);

/// The part of the grace time that is kept for the last steps of a stop.
const SHUTDOWN_RESERVE: time::Duration = time::Duration::from_millis(1_100);

/// How long a member that hands leadership over stays.
const HAND_OVER_TIME: time::Duration = time::Duration::from_millis(400);

/// One running gateway instance.
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
    /// Creates an instance that does not run yet.
    #[must_use]
    pub fn new(settings: gateway::GatewaySettings, dialect: Dialect) -> Self {
        Self { settings, dialect }
    }

    /// Runs until SIGTERM or SIGINT; `read_settings` reads the settings again on SIGHUP.
    ///
    /// # Errors
    ///
    /// The instance did not start, or can no longer do its work.
    pub fn run<Error: fmt::Display>(
        self,
        read_settings: impl Fn() -> Result<gateway::GatewaySettings, Error>,
    ) -> Result<(), gateway::GatewayError> {
        // One thread suits machines that have a part of one core.
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
                error!(reason = reason.as_str(); "instance cannot go on");
                Some(reason)
            }
        };
        let drain = self.drain_time(fault.is_some());
        groups.stop(drain, running.limiter.take()).await;
        let is_removed = running
            .monitor
            .as_ref()
            .is_some_and(control::RemovalMonitor::is_removed);
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

    /// Waits until the instance has to stop.
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

    /// Tells others of a planned stop and gives them the time to heed it.
    async fn announce_stop(&self, running: &gateway_wiring::RunningParts<Dialect>) {
        info!("instance stops");
        if let Some(member) = running.member.as_ref().filter(|member| member.leads()) {
            let begun = member.handle().hand_over_leadership();
            info!(begun = begun; "hands leadership over");
            tokio::time::sleep(HAND_OVER_TIME).await;
        }
        if let Some(dispatcher) = &running.dispatcher {
            dispatcher.close_at(time::Instant::now() + QUEUE_CLOSE_DELAY);
            tokio::time::sleep(BALANCER_DELAY).await;
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

    /// Empties the data folder of a member that was taken out, so that it can join anew.
    fn clear_data_folder(&self) {
        let Some(folder) = &self.settings.data_folder else {
            return;
        };
        warn!(folder:% = folder.display(); "member was taken out of the control group; empties its data folder");
        let entries = match std::fs::read_dir(folder) {
            Ok(entries) => entries,
            Err(error) => {
                error!(folder:% = folder.display(), error:% = error; "data folder cannot be listed");
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
                error!(path:% = path.display(), error:% = error; "part of the data folder cannot be removed");
            }
        }
    }
}

fn subscribe(kind: signals::SignalKind) -> Result<signals::Signal, gateway::GatewayError> {
    signals::signal(kind).context(gateway_error::SignalsSnafu)
}

/// Returns why the instance can no longer do its work, if so.
fn find_fault<Dialect>(running: &gateway_wiring::RunningParts<Dialect>) -> Option<String> {
    let fault = running.member.as_ref().and_then(|member| member.fault());
    let is_removed = running
        .monitor
        .as_ref()
        .is_some_and(control::RemovalMonitor::is_removed);
    fault.or_else(|| is_removed.then(|| "taken out of the control group".to_owned()))
}

fn log_freshness(stale: bool) {
    if stale {
        warn!("no member of the control group confirms the configuration");
    } else {
        info!("the control group confirms the configuration");
    }
}

/// Takes up the seeds of the settings as they are now.
fn reload_seeds<Dialect: gateway::FleetDialect, Error: fmt::Display>(
    running: &gateway_wiring::RunningParts<Dialect>,
    read_settings: &impl Fn() -> Result<gateway::GatewaySettings, Error>,
) {
    let settings = match read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            warn!(error:% = error; "settings cannot be read again; those in force stay");
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
        info!(members:? = members; "settings name other seeds");
        running.client.learn_members(members.into_iter());
    }
}
