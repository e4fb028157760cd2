//! Engines that one planning round may use for model loads.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;

/// Minimum time for which a model stays loaded, so that the requests that waited for it are served.
const MIN_RESIDENCY: time::Duration = time::Duration::from_millis(1_200);

/// The engines of a round by whether they accept a model order, and the use of the weight store.
///
/// They are gathered once per round, since every needed model is compared with every engine.
#[derive(Debug)]
pub(super) struct RoundEngines<'a> {
    pub(super) free: Vec<FreeEngine<'a>>,
    pub(super) busy: Vec<BusyEngine<'a>>,
    /// Engines that load a model, or evict another one for it.
    pub(super) loading: collections::HashMap<name::ModelName, usize>,
    /// Loads from the store that are or may be in progress.
    pub(super) store_loads: usize,
    /// Urgency of the models that need the store once a running eviction has ended.
    pub(super) store_claims: Vec<f64>,
}

/// An engine that accepts a model order.
#[derive(Debug)]
pub(super) struct FreeEngine<'a> {
    pub(super) record: &'a domain::ServerRecord,
    /// The model for which another one was evicted, with its urgency.
    pub(super) prepared_for: Option<(name::ModelName, f64)>,
    pub(super) free_bytes: u64,
    /// Models that may be evicted now or soon, the one with the lowest cost first.
    pub(super) victims: Vec<Victim>,
    /// Whether adapters at the engine are in use.
    pub(super) hosts_adapters: bool,
    /// Time per event relative to the mean engine.
    pub(super) pace: f64,
    /// Expected requests per second at the engine.
    pub(super) rate: f64,
    /// Whether the engine serves a popular model.
    pub(super) serves_popular: bool,
}

/// An engine that executes a model order.
#[derive(Debug)]
pub(super) struct BusyEngine<'a> {
    pub(super) record: &'a domain::ServerRecord,
    /// Expected time until the order ends.
    pub(super) remaining: time::Duration,
    /// Whether adapters at the engine are in use.
    pub(super) hosts_adapters: bool,
}

/// A model that may be evicted.
#[derive(Debug)]
pub(super) struct Victim {
    pub(super) model: name::ModelName,
    pub(super) bytes: u64,
    /// Value that is lost, in requests per second.
    pub(super) value: f64,
    /// Expected time until its runs have ended.
    pub(super) unload_duration: time::Duration,
    /// Time until it has been loaded long enough to be evicted.
    pub(super) evictable_in: time::Duration,
    /// Whether the model is idle and can be loaded again without the store.
    pub(super) is_idle: bool,
}

impl fleet::FleetPlanner {
    /// Gathers the engines of a round. Engines whose eviction has ended are free and prepared for the
    /// model that it was for.
    pub(super) fn round_engines<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
    ) -> fleet::RoundEngines<'a> {
        let mut engines = fleet::RoundEngines {
            free: Vec::new(),
            busy: Vec::new(),
            loading: collections::HashMap::new(),
            store_loads: self.store_loads(round),
            store_claims: Vec::new(),
        };
        for &record in &round.records {
            let usable = load_costs::is_usable(record);
            let plan = self.plan_of(&record.name, record.started_ms);
            let hosts_adapters = plan.adapters.are_in_use(round.now);
            if usable && plan.accepts_model_order(round.now) {
                let evicted_for = plan.evicting_for.take();
                let holds = |model: &name::ModelName| record.model(model).is_some();
                let unconfirmed = plan.unconfirmed_bytes(holds, round.now);
                engines.free.push(FreeEngine {
                    record,
                    prepared_for: evicted_for.map(|model| {
                        let urgency = round.standing(&model).urgency;
                        (model, urgency)
                    }),
                    free_bytes: round.free_bytes(record).saturating_sub(unconfirmed),
                    victims: victims(round, record, plan),
                    hosts_adapters,
                    pace: plan.pace,
                    rate: round.engine_rate(&record.name),
                    serves_popular: record
                        .models
                        .iter()
                        .any(|held| !held.retiring && round.standing(&held.name).is_popular()),
                });
                continue;
            }
            if let Some(model) = plan.target() {
                let copies = engines.loading.entry(model.clone()).or_default();
                *copies += 1;
            }
            if let Some(model) = plan
                .evicting_for
                .as_ref()
                .and_then(|model| round.model(model))
                && load_costs::load_time(model, record).1
            {
                let urgency = round.standing(&model.name).urgency;
                engines.store_claims.push(urgency);
            }
            if usable && let Some(order) = &plan.order {
                engines.busy.push(BusyEngine {
                    record,
                    remaining: order.ends_at.saturating_duration_since(round.now),
                    hosts_adapters,
                });
            }
        }
        engines
    }
}

impl RoundEngines<'_> {
    /// Returns how many engines are loading the model or evicting another one for it.
    pub(super) fn loading(&self, model: &name::ModelName) -> usize {
        self.loading.get(model).copied().unwrap_or(0)
    }

    /// Records that an engine gets an order: a load of the model, or an eviction for it.
    pub(super) fn occupy(
        &mut self,
        need: &fleet::ModelNeed<'_>,
        load_option: &fleet::LoadOption<'_>,
    ) {
        let server = &load_option.record.name;
        let position = self
            .free
            .iter()
            .position(|engine| engine.record.name == *server);
        if let Some(position) = position {
            let engine = self.free.swap_remove(position);
            self.busy.push(BusyEngine {
                record: engine.record,
                remaining: load_option.load_duration,
                hosts_adapters: engine.hosts_adapters,
            });
        }
        *self.loading.entry(need.model.name.clone()).or_default() += 1;
        if !load_option.from_store {
            return;
        }
        if load_option.victim.is_some() {
            self.store_claims.push(need.urgency);
        } else {
            self.store_loads += 1;
        }
    }

    /// Counts the loads from the store that go before one of the given urgency.
    pub(super) fn store_loads_ahead(&self, urgency: f64) -> usize {
        let claims = self.store_claims.iter();
        self.store_loads + claims.filter(|claim| **claim >= urgency).count()
    }
}

/// Lists the models that an engine may evict, the one with the lowest cost first.
fn victims(
    round: &fleet::PlanRound<'_>,
    record: &domain::ServerRecord,
    plan: &fleet::ServerPlan,
) -> Vec<Victim> {
    let mut victims: Vec<_> = record
        .models
        .iter()
        .filter(|held| !held.retiring)
        .map(|held| {
            let standing = round.standing(&held.name);
            let model = round.model(&held.name);
            // Models with adapters never count as idle, since many requests ask for them.
            let has_no_adapters = model.is_none_or(|model| model.adapters.is_empty());
            let since = plan.held_since.get(&held.name);
            let age = since.map(|since| round.now.saturating_duration_since(*since));
            Victim {
                evictable_in: age.map_or(time::Duration::ZERO, |age| {
                    MIN_RESIDENCY.saturating_sub(age)
                }),
                model: held.name.clone(),
                bytes: model.map_or(u64::MAX, |model| model.weights.0),
                value: load_costs::unload_cost(&standing),
                unload_duration: load_costs::unload_time(&standing, round.run_time),
                is_idle: record.copies.are_cached(&held.name) && has_no_adapters && standing.idle,
            }
        })
        .collect();
    victims.sort_by(|one, other| one.cost().total_cmp(&other.cost()));
    victims
}

impl Victim {
    /// Returns the cost of the eviction: the value that is lost, and the seconds that it takes.
    pub(super) fn cost(&self) -> f64 {
        self.value + self.unload_duration.as_secs_f64()
    }
}
