//! Creates the components of an instance and connects them.

use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_domain::amount;
use galenahold_domain::control as domain_control;
use galenahold_domain::name;
use galenahold_routing::queue;
use galenahold_routing::rate as routing_rate;
use galenahold_routing::replica;
use galenahold_settings::{InstanceSettings, LimitSettings, TimingSettings};
use galenahold_wire::codec;
use galenahold_wire::message;
use log::warn;
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::api;
use crate::backend;
use crate::buffer;
use crate::configuration;
use crate::control;
use crate::crash;
use crate::dispatch;
use crate::entry;
use crate::instance;
use crate::instance::instance_error;
use crate::operator;
use crate::order;
use crate::peer;
use crate::placement;
use crate::platform;
use crate::rate;
use crate::registry;
use crate::task;
use crate::timer;

/// The memory of all answers that are held until they are whole, in bytes.
const ANSWER_BUFFER_BYTES: usize = 128 * 1_024 * 1_024;

/// The memory of the bodies of all callers' requests, in bytes.
const BODY_BUFFER_BYTES: usize = 128 * 1_024 * 1_024;

/// The timeout of connecting to a backend server.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The time for which a source may hold a watch call while the configuration is unchanged.
const WATCH_HOLD: time::Duration = time::Duration::from_millis(400);

/// The time limit for recording that the orders of earlier incarnations of this instance have ended.
const ABANDON_TIMEOUT: time::Duration = time::Duration::from_mins(2);

/// Creates and starts the components of an instance, and holds what they share.
pub(crate) struct InstanceWiring {
    pub(super) settings: InstanceSettings,
    pub(super) card: message::InstanceProfile,
    pub(super) timer: timer::TimerService,
    pub(super) metrics: platform::FleetMetrics,
    pub(super) recorder: platform::BurnRecorder,
    pub(super) cache: configuration::ConfigurationCache,
    pub(super) network: peer::PeerNetwork,
    pub(super) registry: registry::ServerRegistry,
    pub(super) event_log: registry::EventLog,
    pub(super) event_sink: mpsc::Sender<galenahold_domain::server::CacheEvent>,
}

/// The components of an instance that belong to the control group.
pub(crate) struct ControlParts {
    pub(super) handler: control::ControlHandler,
    pub(super) member: Option<sync::Arc<control::ControlGroup>>,
    pub(super) log: Option<driver::ReplicatedLog<control::ControlMachine>>,
}

impl InstanceWiring {
    pub(super) fn new(
        settings: InstanceSettings,
        event_sink: mpsc::Sender<galenahold_domain::server::CacheEvent>,
        system: &task::TaskGroup,
    ) -> Self {
        let card = message::InstanceProfile {
            name: settings.instance.name.clone(),
            incarnation: new_incarnation(),
            address: settings.peer_address(),
            data_centre: settings.instance.data_centre.clone(),
        };
        let directory = peer::PeerDirectory::new(card.clone(), configured_cards(&settings));
        let network = peer::PeerNetwork::new(settings.cluster.clone(), directory, system.clone());
        Self {
            timer: timer::TimerService::start(system),
            metrics: platform::FleetMetrics::new(),
            recorder: platform::BurnRecorder::new(card.name.clone()),
            cache: configuration::ConfigurationCache::new(settings.timing.key_freshness()),
            network,
            registry: registry::ServerRegistry::new(),
            event_log: registry::EventLog::default(),
            event_sink,
            card,
            settings,
        }
    }

    pub(super) fn start_control(
        &self,
        system: &task::TaskGroup,
    ) -> Result<ControlParts, instance::InstanceError> {
        let Some(folder) = &self.settings.data_folder else {
            return Ok(ControlParts {
                handler: control::ControlHandler::outside(),
                member: None,
                log: None,
            });
        };
        let transport = control::LogTransport::new(self.network.clone(), system.clone());
        let settings = control::MemberSettings::of_instance(&self.settings, folder);
        let started = control::ControlGroup::start(settings, transport);
        let (member, log) = started.context(instance_error::DataFolderSnafu { folder })?;
        let member = sync::Arc::new(member);
        let (driver_events, driver_inbox) = mpsc::unbounded_channel();
        let handler = control::ControlHandler::member(control::HandlerParts {
            member: sync::Arc::clone(&member),
            grants: control::GrantHandler::new(ledger_settings(&self.settings.timing)),
            operators: control::OperatorHandler::new(
                sync::Arc::clone(&member),
                self.registry.clone(),
            ),
            events: driver_events.clone(),
        });
        control::LeadershipObserver::new(handler.clone(), self.metrics.clone()).start(
            sync::Arc::clone(&member),
            &self.timer,
            system,
        );
        self.start_placement(&handler, &member, driver_events, driver_inbox, system);
        Ok(ControlParts {
            handler,
            member: Some(member),
            log: Some(log),
        })
    }

    fn start_placement(
        &self,
        handler: &control::ControlHandler,
        member: &sync::Arc<control::ControlGroup>,
        driver_events: mpsc::UnboundedSender<placement::DriverEvent>,
        driver_inbox: mpsc::UnboundedReceiver<placement::DriverEvent>,
        system: &task::TaskGroup,
    ) {
        let client =
            backend::BackendClient::new(system.clone(), CONNECT_TIMEOUT, ANSWER_BUFFER_BYTES);
        let orders = placement::OrderRunner {
            client: placement::EngineClient::new(client),
            member: sync::Arc::clone(member),
            control: peer::ControlClient::new(
                self.network.clone(),
                handler.clone(),
                self.control_members(),
            ),
            registry: self.registry.clone(),
            notices: placement::NoticeSender::new(
                self.network.clone(),
                self.registry.clone(),
                system.clone(),
            ),
            time_limit: self.settings.placement.load_timeout(),
            in_flight: sync::Arc::default(),
            metrics: self.metrics.clone(),
            events: driver_events.clone(),
            group: system.clone(),
        };
        let commands = placement::CommandRunner::new(
            sync::Arc::clone(member),
            self.card.clone(),
            driver_events,
            system.clone(),
        );
        placement::PlacementDriver {
            settings: sync::Arc::new(self.settings.clone()),
            member: sync::Arc::clone(member),
            registry: self.registry.clone(),
            directory: self.network.directory().clone(),
            commands,
            orders,
            metrics: self.metrics.clone(),
            current: None,
        }
        .start(driver_inbox, &self.timer, system);
    }

    pub(super) fn start_components(
        &self,
        groups: &instance::TaskGroups,
        handler: &control::ControlHandler,
        sockets: instance::BoundSockets,
        events: mpsc::Receiver<galenahold_domain::server::CacheEvent>,
        readiness: &platform::ReadinessState,
    ) -> Option<rate::RateLimiter> {
        let members = self.control_members();
        let client = peer::ControlClient::new(self.network.clone(), handler.clone(), members);
        self.start_peers(groups, handler, &client, sockets.peers);
        self.start_watcher(groups, handler, &client);
        registry::AnnouncementGossiper::new(
            self.network.clone(),
            self.registry.clone(),
            self.event_log.clone(),
        )
        .start(&self.timer, &groups.system);
        let limits = connection_limits(&self.settings.limits);
        let mut started = None;
        if let Some(listener) = sockets.callers {
            let limiter = self.rate_limiter();
            let api = self.start_entry(groups, &client, limiter.clone(), events);
            api::HttpListener::new(listener, limits, api).start(&groups.callers);
            started = Some(limiter);
        }
        if let Some(listener) = sockets.backends {
            let recorder = registry::DepartureRecorder::new(client.clone(), self.registry.clone());
            let api = registry::AnnouncementApi::new(
                recorder,
                self.registry.clone(),
                self.event_log.clone(),
                self.event_sink.clone(),
            );
            api::HttpListener::new(listener, limits, api).start(&groups.system);
        }
        if let Some(listener) = sockets.operators {
            let api = self.operator_api(client.clone());
            api::HttpListener::new(listener, limits, api).start(&groups.system);
        }
        let api =
            platform::PlatformApi::new(self.metrics.clone(), readiness.clone(), self.cache.clone());
        api::HttpListener::new(sockets.platform, limits, api).start(&groups.system);
        started
    }

    fn start_peers(
        &self,
        groups: &instance::TaskGroups,
        handler: &control::ControlHandler,
        client: &peer::ControlClient<control::ControlHandler>,
        listener: tokio::net::TcpListener,
    ) {
        let service = instance::InstanceService {
            cluster: self.settings.cluster.clone(),
            handler: handler.clone(),
            client: client.clone(),
            watch: configuration::WatchServer::new(self.cache.clone()),
            directory: self.network.directory().clone(),
            registry: self.registry.clone(),
            events: self.event_sink.clone(),
            recorder: self.recorder.clone(),
            compression: codec::CompressionSwitch::default(),
        };
        peer::PeerServer::new(listener, service).start(&groups.system);
    }

    fn start_watcher(
        &self,
        groups: &instance::TaskGroups,
        handler: &control::ControlHandler,
        client: &peer::ControlClient<control::ControlHandler>,
    ) {
        let sources = if self.settings.relay.is_empty() {
            configuration::WatchSources::Leader
        } else {
            configuration::WatchSources::Relays(self.settings.relay.clone())
        };
        configuration::ConfigurationWatcher::new(
            self.cache.clone(),
            self.network.clone(),
            client.clone(),
            handler.clone(),
            sources,
            configuration::NoRoster,
            WATCH_HOLD,
        )
        .start(&groups.system);
    }

    fn start_entry(
        &self,
        groups: &instance::TaskGroups,
        client: &peer::ControlClient<control::ControlHandler>,
        limiter: rate::RateLimiter,
        events: mpsc::Receiver<galenahold_domain::server::CacheEvent>,
    ) -> entry::CallerApi<control::ControlHandler> {
        limiter.start(client.clone(), &groups.system);
        let dispatcher = self.dispatcher();
        let backend = backend::BackendClient::new(
            groups.backend.clone(),
            CONNECT_TIMEOUT,
            ANSWER_BUFFER_BYTES,
        );
        let updater = instance::ViewUpdater {
            dispatcher: dispatcher.clone(),
            limiter: limiter.clone(),
            cache: self.cache.clone(),
            registry: self.registry.clone(),
            client: backend.clone(),
            metrics: self.metrics.clone(),
            announcement_ttl: self.settings.timing.announcement_ttl(),
        };
        updater.start(events, &self.timer, &groups.system);
        instance::DemandReporter::new(dispatcher.clone(), client.clone(), self.card.clone())
            .start(&self.timer, &groups.system);
        self.abandon_orders(client, &groups.system);
        let handler = self.entry_handler(groups, client, limiter, dispatcher, backend);
        entry::CallerApi::new(handler)
    }

    fn rate_limiter(&self) -> rate::RateLimiter {
        let pool = routing_rate::TokenPool::new(
            self.card.name.clone(),
            self.card.incarnation,
            routing_rate::PoolSettings::default(),
        );
        rate::RateLimiter::new(
            pool,
            saturating_usize(self.settings.limits.max_waiting_requests()),
        )
    }

    fn dispatcher(&self) -> dispatch::Dispatcher {
        let table =
            replica::TableSettings::default().with_expiry(self.settings.timing.announcement_ttl());
        let limits = &self.settings.limits;
        let queue = queue::QueueLimits::default()
            .with_max_items(saturating_usize(limits.max_waiting_requests()))
            .with_max_bytes(limits.max_waiting_bytes());
        dispatch::Dispatcher::new(
            dispatch::DispatchState::new(table, queue),
            self.metrics.clone(),
        )
    }

    fn entry_handler(
        &self,
        groups: &instance::TaskGroups,
        client: &peer::ControlClient<control::ControlHandler>,
        limiter: rate::RateLimiter,
        dispatcher: dispatch::Dispatcher,
        backend: backend::BackendClient,
    ) -> entry::EntryHandler<control::ControlHandler> {
        let policy = entry::AttemptPolicy::new(&self.settings.retry);
        let crashes = self.start_crash_monitor(groups, client, backend.clone());
        let attempts = entry::AttemptRunner::new(
            limiter,
            dispatcher,
            backend,
            policy,
            crashes,
            registry::DepartureRecorder::new(client.clone(), self.registry.clone())
                .start(&groups.system),
            self.metrics.clone(),
        );
        let models = entry::ModelHandler::new(attempts.clone(), groups.work.clone());
        let services = entry::ServiceHandler::new(attempts);
        let limits = &self.settings.limits;
        entry::EntryHandler::new(entry::HandlerParts {
            id_prefix: format!("{}-{:x}", self.card.name, self.card.incarnation.0),
            next_request: sync::atomic::AtomicU64::new(1),
            cache: self.cache.clone(),
            models,
            services,
            ledger: order::OrderClient::new(client.clone(), &self.card, groups.work.clone()),
            reader: api::BodyReader::new(
                saturating_usize(limits.max_body_bytes().0),
                limits.body_timeout(),
            )
            .with_buffers(buffer::BufferBudget::new(BODY_BUFFER_BYTES)),
            max_json_depth: saturating_usize(limits.max_json_depth()),
            metrics: self.metrics.clone(),
            recorder: self.recorder.clone(),
            last_answers: groups.last_answers.clone(),
            group: groups.work.clone(),
        })
    }

    fn start_crash_monitor(
        &self,
        groups: &instance::TaskGroups,
        client: &peer::ControlClient<control::ControlHandler>,
        backend: backend::BackendClient,
    ) -> crash::CrashMonitor {
        let lists = self.cache.subscribe_suspects();
        let (crashes, reports) = crash::CrashMonitor::new(lists, backend, groups.system.clone());
        crash::CrashReporter::new(crashes.clone(), client.clone()).start(reports, &groups.system);
        crashes
    }

    /// Records in the order ledger that the orders begun by earlier incarnations of this instance have an
    /// unknown outcome.
    fn abandon_orders(
        &self,
        client: &peer::ControlClient<control::ControlHandler>,
        system: &task::TaskGroup,
    ) {
        let command = domain_control::ControlCommand::AbandonOrders {
            instance: self.card.name.clone(),
            before_incarnation: self.card.incarnation,
            now_ms: epoch_millis(),
        };
        let client = client.clone();
        system.spawn_until_stop(async move {
            let deadline = time::Instant::now() + ABANDON_TIMEOUT;
            let call = message::ControlCall::Command(command);
            if client.call(call, deadline).await.is_err() {
                warn!("orders of earlier incarnations could not be marked as ended in the ledger");
            }
        });
    }

    fn operator_api(
        &self,
        client: peer::ControlClient<control::ControlHandler>,
    ) -> operator::OperatorApi<control::ControlHandler, platform::BurnRecorder> {
        let credentials = self
            .settings
            .operators
            .iter()
            .map(|operator| (operator.name.clone(), operator.credential_sha256.clone()));
        operator::OperatorApi::new(
            operator::OperatorAuthenticator::new(credentials),
            client,
            self.cache.clone(),
            operator::BurnCollector::new(self.network.clone()),
            self.recorder.clone(),
        )
    }

    /// Returns the names of the control group's members according to the settings.
    fn control_members(&self) -> Vec<name::InstanceName> {
        let own = self
            .settings
            .instance
            .is_control()
            .then(|| self.card.name.clone());
        let others = self
            .settings
            .peers
            .iter()
            .filter(|peer| peer.control)
            .map(|peer| peer.name.clone());
        others.chain(own).collect()
    }
}

fn configured_cards(settings: &InstanceSettings) -> Vec<message::InstanceProfile> {
    settings
        .peers
        .iter()
        .map(|peer| message::InstanceProfile {
            name: peer.name.clone(),
            incarnation: amount::IncarnationNumber::ZERO,
            address: peer.address,
            data_centre: peer.data_centre.clone(),
        })
        .collect()
}

fn connection_limits(limits: &LimitSettings) -> api::ConnectionLimits {
    api::ConnectionLimits {
        max_connections: saturating_usize(limits.max_connections()),
        max_per_address: saturating_usize(limits.max_connections_per_address()),
        max_head_bytes: saturating_usize(limits.max_head_bytes().0),
        head_timeout: limits.head_timeout(),
        write_timeout: limits.idle_timeout(),
    }
}

fn ledger_settings(timing: &TimingSettings) -> routing_rate::LedgerSettings {
    let lease = timing.grant_lease();
    let drift = u32::try_from(timing.clock_drift_per_million()).unwrap_or(u32::MAX);
    routing_rate::LedgerSettings::default()
        .with_grant_expiry(lease)
        .with_drift_bound(lease * drift / 1_000_000 + time::Duration::from_millis(1))
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Returns an incarnation number above that of any earlier start, from the time of day.
fn new_incarnation() -> amount::IncarnationNumber {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    amount::IncarnationNumber(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

fn epoch_millis() -> u64 {
    new_incarnation().0 / 1_000
}
