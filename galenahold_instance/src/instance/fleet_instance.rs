//! Starts and stops an instance.

use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_settings::InstanceSettings;
use log::info;
use snafu::ResultExt;
use tokio::runtime;
use tokio::sync::mpsc;

use crate::control;
use crate::instance;
use crate::instance::instance_error;
use crate::platform;
use crate::rate;
use crate::task;
use crate::timer;

/// The maximum number of cache events queued for the replica table.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// The interval at which the member of the control group is checked for a fault.
const FAULT_PERIOD: time::Duration = time::Duration::from_millis(100);

/// The time limit for the runtime's shutdown, within which the last calls of a stopping instance may end.
const RUNTIME_SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// A running instance, which owns all its threads and joins them when it stops.
pub struct FleetInstance {
    runtime: runtime::Runtime,
    groups: instance::TaskGroups,
    readiness: platform::ReadinessState,
    member: Option<sync::Arc<control::ControlGroup>>,
    log: Option<driver::ReplicatedLog<control::ControlMachine>>,
    limiter: Option<rate::RateLimiter>,
    notice: time::Duration,
    drain: time::Duration,
}

impl FleetInstance {
    /// Starts an instance: binds its sockets, opens its data folder and starts its components.
    ///
    /// `on_fault` is called once if the instance can no longer work; the instance has to be stopped then.
    ///
    /// # Errors
    ///
    /// The instance cannot listen on an address or use the data folder. Nothing runs then.
    pub fn start(
        settings: InstanceSettings,
        on_fault: impl Fn() + Send + 'static,
    ) -> Result<Self, instance::InstanceError> {
        let runtime = runtime::Builder::new_multi_thread()
            .thread_name("galenahold")
            .enable_all()
            .build()
            .context(instance_error::RuntimeSnafu)?;
        let groups = instance::TaskGroups::new(runtime.handle());
        let readiness = platform::ReadinessState::default();
        let sockets = runtime.block_on(instance::BoundSockets::bind(&settings.listen))?;
        let (event_sink, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let notice = settings.timing.notice();
        let drain = settings.timing.drain();
        let wiring = instance::InstanceWiring::new(settings, event_sink, &groups.system);
        let control = wiring.start_control(&groups.system)?;
        if let Some(member) = &control.member {
            watch_fault(member, on_fault, &wiring.timer, &groups.system);
        }
        let limiter =
            wiring.start_components(&groups, &control.handler, sockets, events, &readiness);
        info!(
            instance:% = wiring.card.name,
            data_centre:% = wiring.card.data_centre,
            peers:% = wiring.card.address;
            "instance started"
        );
        Ok(Self {
            runtime,
            groups,
            readiness,
            member: control.member,
            log: control.log,
            limiter,
            notice,
            drain,
        })
    }

    /// Returns the reason why the instance can no longer work, if there is one.
    #[must_use]
    pub fn fault(&self) -> Option<String> {
        self.member.as_ref()?.fault()
    }

    /// Stops the instance and joins all its threads.
    ///
    /// A planned stop first reports the instance as not ready and hands over leadership, waits for the notice
    /// time so that load balancers react, and then answers every request that was accepted.
    pub fn stop(mut self, reason: instance::StopReason) {
        self.readiness.begin_stop();
        info!(reason:? = reason; "instance stops");
        if reason == instance::StopReason::Planned {
            self.hand_over();
            let notice = self.notice;
            self.runtime
                .block_on(async move { tokio::time::sleep(notice).await });
        }
        let limiter = self.limiter.take();
        self.runtime.block_on(self.groups.stop(self.drain, limiter));
        if let Some(log) = self.log.take() {
            log.stop();
        }
        self.runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        info!("instance stopped");
    }

    /// Hands leadership over to the voter that is closest to the end of the log.
    fn hand_over(&self) {
        let Some(member) = self.member.as_ref().filter(|member| member.is_leader()) else {
            return;
        };
        let begun = member.handle().hand_over_leadership();
        info!(begun = begun; "hands leadership over");
    }
}

/// Calls `on_fault` once the replicated state can no longer follow the log.
fn watch_fault(
    member: &sync::Arc<control::ControlGroup>,
    on_fault: impl Fn() + Send + 'static,
    timer: &timer::TimerService,
    system: &task::TaskGroup,
) {
    let member = sync::Arc::clone(member);
    let mut subscription = timer.subscribe(FAULT_PERIOD);
    system.spawn_until_stop(async move {
        while subscription.tick().await.is_some() {
            if member.fault().is_some() {
                on_fault();
                return;
            }
        }
    });
}
