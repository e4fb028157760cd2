//! Construction and start of a gateway instance's components.

use std::collections;
use std::net;
use std::sync;
use std::time;

use galenahold_consensus::driver;
use galenahold_consensus::member;
use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_domain::name;
use galenahold_routing::fleet;
use galenahold_routing::rate as routing_rate;
use galenahold_routing::relay;
use galenahold_wire::codec;
use galenahold_wire::message;
use snafu::ResultExt;
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;

use crate::api;
use crate::backend;
use crate::buffer;
use crate::configuration;
use crate::control as group;
use crate::crash;
use crate::gateway;
use crate::gateway::control;
use crate::gateway::entry;
use crate::gateway::gateway_error;
use crate::instance;
use crate::peer;
use crate::platform;
use crate::rate;
use crate::timer;

/// Name that instances of declared fleets check when they connect to each other.
const CLUSTER_NAME: &str = "declared-fleet";

/// Connect timeout for backend servers; links within one region take a few milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Maximum time that a configuration watch is held without an update; well below the time for which
/// the confirmation of a key is valid.
const WATCH_HOLD: time::Duration = time::Duration::from_millis(700);

/// Minimum time without a leader before a member calls an election.
const ELECTION_TIMEOUT: time::Duration = time::Duration::from_millis(450);

/// The memory of all answers that are held until they are whole, in bytes.
const ANSWER_BUFFER_BYTES: usize = 24 * 1_024 * 1_024;

/// The memory of the bodies of all callers' requests, in bytes.
const BODY_BUFFER_BYTES: usize = 24 * 1_024 * 1_024;

/// The memory of events that callers have not read yet. A response has up to 150 events of a few hundred
/// bytes, so that a stream can hold all of it; the smallest instance has 120 MB.
const READ_AHEAD_LIMITS: relay::ReadAheadLimits = relay::ReadAheadLimits {
    stream_bytes: 256 * 1_024,
    total_bytes: 12 * 1_024 * 1_024,
};

/// Time between the leader's heartbeats.
const LEADER_HEARTBEAT: time::Duration = time::Duration::from_millis(100);

/// Maximum difference between clock rates, in thousandths.
const CLOCK_DRIFT_PERMILLE: u32 = 10;

/// How long granted tokens may be spent; longer than a change of leader takes.
const GRANT_EXPIRY: time::Duration = time::Duration::from_millis(2_500);

/// Time between grant calls while no request waits for tokens: a fraction of the prefetch horizon,
/// so that tokens are refilled before they run out; each call costs some kilobytes between data
/// centres.
const GRANT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// How far ahead an instance holds tokens for its requests, so that a change of leader does not
/// delay them.
const PREFETCH_HORIZON: time::Duration = time::Duration::from_millis(450);

/// Maximum number of requests that wait for their teams' tokens.
const MAX_WAITING_FOR_TOKENS: usize = 512;

/// The share of the allowed retries that is used, as the windows of different instances are not
/// aligned.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// Number of instances assumed to share the allowed retries until the roster reports it.
const ASSUMED_INSTANCES: f64 = 32.0;

/// Connection limits of all HTTP listeners.
const LISTENER_LIMITS: api::ConnectionLimits = api::ConnectionLimits {
    // Small machines allow about 4,000 file descriptors, and each call may need a second one.
    max_connections: 1_800,
    // The load balancer's connections may all come from one address.
    max_per_address: 1_800,
    max_head_bytes: 32 * 1024,
    // Longer than callers keep an idle connection for reuse.
    head_timeout: time::Duration::from_secs(20),
    write_timeout: time::Duration::from_secs(10),
};

/// Constructs the components of a gateway instance and starts them.
pub(crate) struct GatewayWiring<'a, Dialect> {
    pub(super) settings: &'a gateway::GatewaySettings,
    pub(super) dialect: Dialect,
    pub(super) groups: &'a instance::TaskGroups,
    pub(super) timer: timer::TimerService,
    pub(super) metrics: platform::FleetMetrics,
    pub(super) readiness: platform::ReadinessState,
    pub(super) network: peer::PeerNetwork,
}

/// The components of a running instance that are needed to watch and stop it.
pub(super) struct RunningParts<Dialect> {
    pub(super) member: Option<sync::Arc<group::ControlGroup>>,
    pub(super) log: Option<driver::ReplicatedLog<group::ControlMachine>>,
    pub(super) monitor: Option<control::RemovalMonitor>,
    pub(super) limiter: Option<rate::RateLimiter>,
    pub(super) dispatcher: Option<entry::CallDispatcher>,
    pub(super) client: peer::ControlClient<control::FleetHandler<Dialect>>,
    pub(super) cache: configuration::ConfigurationCache,
    pub(super) metrics: platform::FleetMetrics,
}

/// A control group member whose listening sockets are not open yet.
struct MemberParts<Dialect> {
    parts: sync::Arc<control::HandlerParts<Dialect>>,
    log: driver::ReplicatedLog<group::ControlMachine>,
}

impl<'a, Dialect: gateway::FleetDialect> GatewayWiring<'a, Dialect> {
    pub(super) fn new(
        settings: &'a gateway::GatewaySettings,
        dialect: Dialect,
        groups: &'a instance::TaskGroups,
    ) -> Self {
        let profile = message::InstanceProfile {
            name: name::InstanceName::from(settings.peer_address().to_string()),
            incarnation: amount::IncarnationNumber::ZERO,
            address: settings.peer_address(),
            data_centre: settings.data_centre.clone(),
        };
        let directory = peer::PeerDirectory::new(profile, Vec::new());
        Self {
            settings,
            dialect,
            timer: timer::TimerService::start(&groups.system),
            metrics: platform::FleetMetrics::new(),
            readiness: platform::ReadinessState::default(),
            network: peer::PeerNetwork::new(
                CLUSTER_NAME.to_owned(),
                directory,
                groups.system.clone(),
            ),
            groups,
        }
    }

    /// Binds the listening sockets and starts all components.
    pub(super) async fn start(&self) -> Result<RunningParts<Dialect>, gateway::GatewayError> {
        let cache = configuration::ConfigurationCache::new(self.settings.key_freshness);
        let member = self.start_member()?;
        let handler = match &member {
            Some(member) => control::FleetHandler::member(sync::Arc::clone(&member.parts)),
            None => control::FleetHandler::non_member(),
        };
        let client = peer::ControlClient::new(
            self.network.clone(),
            handler.clone(),
            self.settings.seed_names(),
        );
        let mut running = RunningParts {
            member: None,
            log: None,
            monitor: None,
            limiter: None,
            dispatcher: None,
            client: client.clone(),
            cache: cache.clone(),
            metrics: self.metrics.clone(),
        };
        if let Some(member) = member {
            let group = sync::Arc::clone(&member.parts.member);
            let monitor = control::RemovalMonitor::new(sync::Arc::clone(&group));
            self.start_control(member.parts, &handler, &client).await?;
            if self.settings.callers.is_none() {
                self.start_watcher(cache.clone(), &client, &handler, monitor.clone());
            }
            running.member = Some(group);
            running.log = Some(member.log);
            running.monitor = Some(monitor);
        }
        if let Some(callers) = self.settings.callers {
            let listener = bind(callers, "callers").await?;
            let (limiter, dispatcher) = self
                .start_entry(listener, &cache, &client, &handler)
                .await?;
            running.limiter = Some(limiter);
            running.dispatcher = Some(dispatcher);
        }
        self.start_metrics(cache).await?;
        Ok(running)
    }

    fn start_member(&self) -> Result<Option<MemberParts<Dialect>>, gateway::GatewayError> {
        let Some(folder) = &self.settings.data_folder else {
            return Ok(None);
        };
        let transport = group::LogTransport::new(self.network.clone(), self.groups.system.clone());
        let settings = group::MemberSettings {
            folder: folder.clone(),
            name: self.network.directory().own().name.clone(),
            address: self.settings.peer_address(),
            bootstrap_members: self.bootstrap_members(),
            may_found: self.settings.may_found,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: LEADER_HEARTBEAT,
            clock_drift_permille: CLOCK_DRIFT_PERMILLE,
        };
        let started = group::ControlGroup::start(settings, transport);
        let (member, log) = started.context(gateway_error::DataFolderSnafu { folder })?;
        let member = sync::Arc::new(member);
        let backend = backend::BackendClient::new(
            self.groups.backend.clone(),
            CONNECT_TIMEOUT,
            ANSWER_BUFFER_BYTES,
        );
        let parts = control::HandlerParts {
            grants: group::GrantHandler::new(ledger_settings()),
            declarations: gateway::DeclarationCache::new(self.dialect.clone()),
            orders: control::OrderSender::new(
                self.dialect.clone(),
                backend,
                sync::Arc::clone(&member),
                self.settings.name.clone(),
            ),
            replan: tokio_sync::Notify::new(),
            notice_period: self.settings.notice_period,
            order_pause: self.settings.order_pause(),
            leadership: sync::Mutex::new(None),
            roster_changes: tokio_sync::watch::Sender::new(()),
            leader_changes: tokio_sync::watch::Sender::new(None),
            followers: sync::Mutex::new(collections::HashMap::new()),
            member,
        };
        Ok(Some(MemberParts {
            parts: sync::Arc::new(parts),
            log,
        }))
    }

    /// Returns the initial members of the control group: the seeds.
    fn bootstrap_members(&self) -> Vec<member::MemberEndpoint> {
        let names = self.settings.seed_names();
        names
            .iter()
            .map(|name| member::MemberEndpoint::new(name, name))
            .collect()
    }

    async fn start_control(
        &self,
        parts: sync::Arc<control::HandlerParts<Dialect>>,
        handler: &control::FleetHandler<Dialect>,
        client: &peer::ControlClient<control::FleetHandler<Dialect>>,
    ) -> Result<(), gateway::GatewayError> {
        let listener = bind(self.settings.peer_listener(), "other instances").await?;
        let service = control::GatewayService {
            cluster: CLUSTER_NAME,
            handler: handler.clone(),
            client: client.clone(),
            directory: self.network.directory().clone(),
            recorder: platform::BurnRecorder::new(self.settings.name.clone()),
            compression: codec::CompressionSwitch::default(),
        };
        peer::PeerServer::new(listener, service).start(&self.groups.system);
        control::MembershipReconciler::new(
            sync::Arc::clone(&parts.member),
            self.settings.tolerated_losses,
        )
        .start(&self.timer, &self.groups.system);
        control::LeaderNotifier::new(sync::Arc::clone(&parts))
            .start(&self.timer, &self.groups.system);
        control::PlacementLoop::new(
            sync::Arc::clone(&parts),
            self.metrics.clone(),
            self.groups.system.clone(),
        )
        .start(&self.timer);
        if let Some(address) = self.settings.control {
            let listener = bind(address, "operators and backend servers").await?;
            let api = control::ControlApi::new(
                self.dialect.clone(),
                parts,
                address,
                self.settings.tolerated_losses,
            );
            api::HttpListener::new(listener, LISTENER_LIMITS, api).start(&self.groups.system);
        }
        Ok(())
    }

    fn start_watcher(
        &self,
        cache: configuration::ConfigurationCache,
        client: &peer::ControlClient<control::FleetHandler<Dialect>>,
        handler: &control::FleetHandler<Dialect>,
        sink: impl configuration::RosterSink,
    ) {
        configuration::ConfigurationWatcher::new(
            cache,
            self.network.clone(),
            client.clone(),
            handler.clone(),
            configuration::WatchSources::Leader,
            sink,
            WATCH_HOLD,
        )
        .start(&self.groups.system);
    }

    async fn start_entry(
        &self,
        listener: tokio_net::TcpListener,
        cache: &configuration::ConfigurationCache,
        client: &peer::ControlClient<control::FleetHandler<Dialect>>,
        handler: &control::FleetHandler<Dialect>,
    ) -> Result<(rate::RateLimiter, entry::CallDispatcher), gateway::GatewayError> {
        let limiter = self.rate_limiter();
        limiter.start(client.clone(), &self.groups.system);
        let dispatcher =
            entry::CallDispatcher::new(self.settings.data_centre.clone(), self.metrics.clone());
        dispatcher.start(&self.timer, &self.groups.system);
        let shared_retries = self.settings.retry_extra * RETRY_BUDGET_SHARE;
        let budget = fleet::AttemptBudget::new(
            self.settings.retry_share * RETRY_BUDGET_SHARE,
            (shared_retries / ASSUMED_INSTANCES).max(1.0),
        );
        let budget = sync::Arc::new(sync::Mutex::new(budget));
        let loads = entry::LoadFollower::new(dispatcher.clone(), self.metrics.clone());
        let follower = entry::RosterFollower::new(
            dispatcher.clone(),
            loads.clone(),
            sync::Arc::clone(&budget),
            shared_retries,
            self.settings.notice_period,
        );
        let departures = entry::DepartureReporter::start(
            follower.clone(),
            client.clone(),
            self.metrics.clone(),
            &self.groups.system,
        );
        self.start_watcher(cache.clone(), client, handler, follower);
        entry::LeaderMonitor::new(self.network.clone(), client.clone()).start(&self.groups.system);
        entry::DemandReporter::new(
            self.settings.name.clone(),
            dispatcher.clone(),
            loads,
            client.clone(),
        )
        .start(&self.groups.system);
        let backend = backend::BackendClient::new(
            self.groups.backend.clone(),
            CONNECT_TIMEOUT,
            ANSWER_BUFFER_BYTES,
        );
        let (crashes, reports) = crash::CrashMonitor::new(
            cache.subscribe_suspects(),
            backend.clone(),
            self.groups.system.clone(),
        );
        crash::CrashReporter::new(crashes.clone(), client.clone())
            .start(reports, &self.groups.system);
        let declarations = gateway::DeclarationCache::new(self.dialect.clone());
        self.follow_declarations(cache, &declarations, &limiter, &dispatcher);
        let parts = entry::EntryParts {
            dialect: self.dialect.clone(),
            cache: cache.clone(),
            declarations: declarations.clone(),
            gate: entry::StartGate::new(cache.clone(), declarations.clone()),
            dispatcher: dispatcher.clone(),
            limiter: limiter.clone(),
            returns: entry::ReturnMonitor::default(),
            client: client.clone(),
            backend,
            body_buffers: buffer::BufferBudget::new(BODY_BUFFER_BYTES),
            read_ahead: buffer::ReadAheadBudget::new(READ_AHEAD_LIMITS, self.metrics.clone()),
            crashes,
            departures,
            outputs: entry::OutputEstimates::default(),
            budget,
            metrics: self.metrics.clone(),
            readiness: self.readiness.clone(),
            last_answers: self.groups.last_answers.clone(),
            work: self.groups.work.clone(),
        };
        let handler = entry::CallHandler::new(sync::Arc::new(parts));
        let api = entry::CallApi::new(handler);
        api::HttpListener::new(listener, LISTENER_LIMITS, api).start(&self.groups.callers);
        if let Some(address) = self.settings.readiness {
            let listener = bind(address, "readiness").await?;
            let api = entry::ReadyApi {
                dialect: self.dialect.clone(),
                readiness: self.readiness.clone(),
                cache: cache.clone(),
                declarations,
            };
            api::HttpListener::new(listener, LISTENER_LIMITS, api).start(&self.groups.system);
        }
        Ok((limiter, dispatcher))
    }

    /// Starts a task that parses each new document and applies it at this instance.
    fn follow_declarations(
        &self,
        cache: &configuration::ConfigurationCache,
        declarations: &gateway::DeclarationCache<Dialect>,
        limiter: &rate::RateLimiter,
        dispatcher: &entry::CallDispatcher,
    ) {
        let cache = cache.clone();
        let declarations = declarations.clone();
        let limiter = limiter.clone();
        let dispatcher = dispatcher.clone();
        let mut revisions = cache.subscribe();
        self.groups.system.spawn_until_stop(async move {
            while revisions.changed().await.is_ok() {
                let Some(index) = declarations.refresh(cache.index().view()) else {
                    continue;
                };
                let limited_teams = index
                    .declaration()
                    .teams
                    .iter()
                    .filter(|team| team.is_limited());
                let teams: Vec<_> = limited_teams
                    .map(declaration::DeclaredTeam::rate_intent)
                    .collect();
                limiter.set_teams(&teams);
                dispatcher.declare(index.declaration());
            }
        });
    }

    /// Creates a rate limiter whose tokens are granted under a unique name, as tokens granted to an
    /// earlier run of this instance must not be spent.
    fn rate_limiter(&self) -> rate::RateLimiter {
        let own_name = &self.network.directory().own().name;
        let unique_name = format!("{own_name}#{:016x}", rand::random::<u64>());
        let pool = routing_rate::TokenPool::new(
            name::InstanceName::from(unique_name),
            amount::IncarnationNumber(1),
            routing_rate::PoolSettings::default()
                .with_call_interval(GRANT_INTERVAL)
                .with_prefetch_horizon(PREFETCH_HORIZON),
        );
        rate::RateLimiter::new(pool, MAX_WAITING_FOR_TOKENS)
    }

    async fn start_metrics(
        &self,
        cache: configuration::ConfigurationCache,
    ) -> Result<(), gateway::GatewayError> {
        let address = net::SocketAddr::new(self.settings.address, self.settings.metrics_port);
        let listener = bind(address, "metrics").await?;
        let api = platform::PlatformApi::new(self.metrics.clone(), self.readiness.clone(), cache);
        api::HttpListener::new(listener, LISTENER_LIMITS, api).start(&self.groups.system);
        Ok(())
    }
}

fn ledger_settings() -> routing_rate::LedgerSettings {
    routing_rate::LedgerSettings::default()
        .with_grant_expiry(GRANT_EXPIRY)
        .with_immediate_refill()
}

async fn bind(
    address: net::SocketAddr,
    purpose: &'static str,
) -> Result<tokio_net::TcpListener, gateway::GatewayError> {
    tokio_net::TcpListener::bind(address)
        .await
        .context(gateway_error::ListenSnafu { address, purpose })
}
