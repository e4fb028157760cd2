//! One running instance.

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

/// Cache events that may wait for the replica table.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// How often the replicated state is asked whether it can still follow the log.
const FAULT_PERIOD: time::Duration = time::Duration::from_millis(100);

/// How long the last calls of a stopping instance may take.
const RUNTIME_SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// One running instance; it owns all its threads and joins them when it stops.
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
    /// Starts an instance: binds its sockets, opens its data folder and starts its parts.
    ///
    /// `on_fault` is called once if the instance can no longer do its work; it has to be stopped then.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on, or the data folder cannot be used. Nothing runs then.
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
        let limiter = wiring.start_parts(&groups, &control.handler, sockets, events, &readiness);
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

    /// Returns why the instance can no longer do its work, if so.
    #[must_use]
    pub fn fault(&self) -> Option<String> {
        self.member.as_ref()?.fault()
    }

    /// Stops the instance and joins all its threads.
    ///
    /// A planned stop first says unready for the balancer's notice time, then answers every request
    /// that came, and hands over leadership.
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

    /// Hands leadership to the voter that is best caught up.
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
