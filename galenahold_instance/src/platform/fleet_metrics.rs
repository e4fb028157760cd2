//! Registers and encodes the metrics of an instance.

use std::sync;
use std::sync::atomic;

use prometheus_client::encoding;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry;

/// Histogram bounds of latencies, in seconds. The objective of 1.7 s to the first token is one of them.
const LATENCY_BOUNDS_SECONDS: [f64; 14] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5.0, 10.0, 30.0,
];

/// The labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// The service.
    pub(crate) service: String,
    /// The team; empty on open routes.
    pub(crate) team: String,
    /// `answered`, or the refusal kind.
    pub(crate) outcome: String,
}

/// The labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    /// The refusal kind.
    pub(crate) kind: String,
    /// The verdict on the request.
    pub(crate) verdict: String,
}

/// The labels of placements.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct FitLabels {
    /// How well the selected server suits the request.
    pub(crate) fit: &'static str,
}

/// The labels of requests that were not placed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabels {
    /// Why no server was found in time.
    pub(crate) cause: &'static str,
}

/// The labels of metrics per service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    /// The service.
    pub(crate) service: String,
}

/// The labels of metrics per team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TeamLabels {
    /// The team.
    pub(crate) team: String,
}

/// The labels of decisions to load a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LoadLabels {
    /// `load`, or `eviction` of another model before it.
    pub(crate) step: &'static str,
    /// `store` for weights from the weight store, `near` for those at the engine.
    pub(crate) source: &'static str,
}

/// The labels of metrics per rank.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RankLabels {
    /// The priority of the route.
    pub(crate) rank: u32,
}

/// The metrics of one instance.
#[derive(Debug, Clone)]
pub(crate) struct FleetMetrics {
    registry: sync::Arc<registry::Registry>,
    /// Finished requests.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// Refusals and errors.
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    /// Time from a request's arrival to its first token or answer.
    pub(crate) first_token: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    /// Tokens spent by teams.
    pub(crate) tokens: Family<TeamLabels, Counter>,
    /// Attempts at backend servers beyond the first of each request.
    pub(crate) retries: Counter,
    /// Streams resumed at another replica or connection after a cut.
    pub(crate) resumed: Counter,
    /// Answers that carried the id of another request.
    pub(crate) crossed: Counter,
    /// Statements of backend servers that they want no requests for a time.
    pub(crate) pauses: Counter,
    /// Statements of backend servers that they leave.
    pub(crate) departures: Counter,
    /// Requests refused because their prompt crashes backend servers.
    pub(crate) blocked: Counter,
    /// Requests refused for want of their team's tokens.
    pub(crate) limited: Family<RankLabels, Counter>,
    /// Requests whose callers seem to retry after a rejection.
    pub(crate) returning: Counter,
    /// Bytes of events that callers have not read yet.
    pub(crate) read_ahead_bytes: Gauge,
    /// Times that a stream held as many unread events as it may, so that its server had to wait.
    pub(crate) read_ahead_full: Counter,
    /// Streams ended because their callers were the slowest readers when memory was short.
    pub(crate) slow_readers: Counter,
    /// Requests that were assigned a server, by how well it suits them.
    pub(crate) placements: Family<FitLabels, Counter>,
    /// Requests that were refused since no server can serve them in time.
    pub(crate) unplaced: Family<CauseLabels, Counter>,
    /// Requests waiting for a replica.
    pub(crate) waiting: Gauge,
    /// The active configuration revision.
    pub(crate) revision: Gauge,
    /// Milliseconds since a quorum confirmed the configuration.
    pub(crate) age: Gauge,
    /// Seconds since the leader summed up the loads in this instance's view.
    pub(crate) load_view_age: Gauge<f64, atomic::AtomicU64>,
    /// Updates of the load view.
    pub(crate) load_view_updates: Counter,
    /// Live backend servers.
    pub(crate) servers: Gauge,
    /// 1 while this instance is the leader of the control group, otherwise 0.
    pub(crate) leader: Gauge,
    /// 1 while this member of the control group waits for its data folder to accept writes,
    /// otherwise 0.
    pub(crate) storage_suspended: Gauge,
    /// Replicas that backend servers announced without a decision for them.
    pub(crate) undecided: Counter,
    /// Load orders sent.
    pub(crate) loads: Counter,
    /// Unload orders sent.
    pub(crate) unloads: Counter,
    /// Decisions to load a model of a declared service.
    pub(crate) load_decisions: Family<LoadLabels, Counter>,
    /// Maximum number of concurrent loads from the weight store, as learned from the last load.
    pub(crate) store_limit: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_SECONDS)
}

impl FleetMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: sync::Arc::default(),
            requests: Family::default(),
            refusals: Family::default(),
            first_token: Family::new_with_constructor(latency_histogram),
            tokens: Family::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            crossed: Counter::default(),
            blocked: Counter::default(),
            limited: Family::default(),
            read_ahead_bytes: Gauge::default(),
            read_ahead_full: Counter::default(),
            slow_readers: Counter::default(),
            returning: Counter::default(),
            pauses: Counter::default(),
            departures: Counter::default(),
            placements: Family::default(),
            unplaced: Family::default(),
            waiting: Gauge::default(),
            revision: Gauge::default(),
            age: Gauge::default(),
            load_view_age: Gauge::default(),
            load_view_updates: Counter::default(),
            servers: Gauge::default(),
            leader: Gauge::default(),
            storage_suspended: Gauge::default(),
            undecided: Counter::default(),
            loads: Counter::default(),
            unloads: Counter::default(),
            load_decisions: Family::default(),
            store_limit: Gauge::default(),
        };
        let mut registry = registry::Registry::with_prefix("galenahold");
        metrics.register_requests(&mut registry);
        metrics.register_state(&mut registry);
        metrics.registry = sync::Arc::new(registry);
        metrics
    }

    /// Returns all metrics in the `OpenMetrics` text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Counts a request that was refused for want of its team's tokens.
    pub(crate) fn count_limited(&self, rank: u32) {
        self.limited.get_or_create(&RankLabels { rank }).inc();
    }

    /// Counts a request that was assigned a server.
    pub(crate) fn count_placement(&self, fit: &'static str) {
        self.placements.get_or_create(&FitLabels { fit }).inc();
    }

    /// Counts a request that no server can serve in time.
    pub(crate) fn count_unplaced(&self, cause: &'static str) {
        self.unplaced.get_or_create(&CauseLabels { cause }).inc();
    }

    fn register_requests(&self, registry: &mut registry::Registry) {
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register("refusals", "Refusals and errors", self.refusals.clone());
        registry.register_with_unit(
            "first_token",
            "Time from arrival to the first token or answer",
            registry::Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register("tokens", "Tokens that teams spent", self.tokens.clone());
        registry.register(
            "retries",
            "Attempts at backend servers beyond the first",
            self.retries.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that went on after a cut",
            self.resumed.clone(),
        );
        registry.register(
            "crossed_answers",
            "Answers with another request's id",
            self.crossed.clone(),
        );
        registry.register(
            "blocked_prompts",
            "Requests refused because their prompt crashes backend servers",
            self.blocked.clone(),
        );
        registry.register(
            "limited_requests",
            "Requests refused for want of their team's tokens",
            self.limited.clone(),
        );
        registry.register(
            "returning_requests",
            "Requests whose callers seem to retry after a rejection",
            self.returning.clone(),
        );
        registry.register(
            "server_pauses",
            "Answers by which backend servers asked for a pause",
            self.pauses.clone(),
        );
        registry.register(
            "server_departures",
            "Backend servers that announced in an answer that they leave",
            self.departures.clone(),
        );
        registry.register(
            "placements",
            "Requests that were assigned a server, by how well it suits them",
            self.placements.clone(),
        );
        registry.register(
            "unplaced_requests",
            "Requests refused since no server can serve them in time",
            self.unplaced.clone(),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait for a replica",
            self.waiting.clone(),
        );
    }

    fn register_state(&self, registry: &mut registry::Registry) {
        registry.register(
            "read_ahead_bytes",
            "Bytes of events that callers have not read yet",
            self.read_ahead_bytes.clone(),
        );
        registry.register(
            "read_ahead_full",
            "Times that a stream held as many unread events as it may",
            self.read_ahead_full.clone(),
        );
        registry.register(
            "slow_readers_ended",
            "Streams ended because their callers were the slowest readers",
            self.slow_readers.clone(),
        );
        registry.register(
            "configuration_revision",
            "The revision in force",
            self.revision.clone(),
        );
        registry.register(
            "configuration_age_milliseconds",
            "Time since a quorum confirmed the configuration",
            self.age.clone(),
        );
        registry.register_with_unit(
            "load_view_age",
            "Time since the leader summed up the loads that this instance knows",
            registry::Unit::Seconds,
            self.load_view_age.clone(),
        );
        registry.register(
            "load_view_updates",
            "Updates of the view of all instances' loads",
            self.load_view_updates.clone(),
        );
        registry.register(
            "backend_servers",
            "Backend servers that are alive",
            self.servers.clone(),
        );
        registry.register(
            "control_leader",
            "Whether this instance leads the control group",
            self.leader.clone(),
        );
        registry.register(
            "storage_suspended",
            "Whether this member of the control group waits for its data folder to accept writes",
            self.storage_suspended.clone(),
        );
        registry.register(
            "undecided_replicas",
            "Replicas that were seen and never decided",
            self.undecided.clone(),
        );
        registry.register("load_orders", "Load orders sent", self.loads.clone());
        registry.register("unload_orders", "Unload orders sent", self.unloads.clone());
        registry.register(
            "load_decisions",
            "Decisions to load a model or to evict another one for it",
            self.load_decisions.clone(),
        );
        registry.register(
            "store_load_limit",
            "Maximum number of concurrent loads from the weight store",
            self.store_limit.clone(),
        );
    }
}
