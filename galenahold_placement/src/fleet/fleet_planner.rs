//! Planner for the engines of declared services.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;

/// How much longer than expected it may take to see that an order has ended.
const ORDER_SLACK: time::Duration = time::Duration::from_secs(4);

/// Bounds of the pace of an engine; the speeds of known fleets differ by a factor of up to 2.7.
const MIN_PACE: f64 = 0.25;
const MAX_PACE: f64 = 4.0;

/// Decides which models and adapters the engines of declared services load and unload, for one
/// leadership.
///
/// Needed models are ordered by the calls that a load still serves in time. A model is loaded on the
/// engine that is nearest to its weights and would evict the model with the least demand. Models with
/// many requests per copy get further copies.
///
/// The memory of an unanswered order stays reserved until the order can no longer be executed, so
/// that no engine is ever ordered to hold more than fits.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    pub(super) servers: collections::BTreeMap<name::ServerName, fleet::ServerPlan>,
    pub(super) demand:
        collections::BTreeMap<(name::ServiceName, name::ModelName), fleet::AggregateDemand>,
    pub(super) store: fleet::StoreWindow,
    pub(super) throughput: fleet::StoreThroughput,
    pub(super) next_number: u64,
}

impl FleetPlanner {
    /// Records an entry instance's request counts for a model.
    pub fn record_demand(
        &mut self,
        instance: &name::InstanceName,
        key: (name::ServiceName, name::ModelName),
        counts: fleet::DemandCounts,
        now: time::Instant,
    ) {
        self.demand
            .entry(key)
            .or_insert_with(|| fleet::AggregateDemand::new(now))
            .record_report(instance, counts, now);
    }

    /// Records that a request was sent to an adapter.
    pub fn record_adapter_use(
        &mut self,
        server: &name::ServerName,
        adapter: &domain::HeldAdapter,
        now: time::Instant,
    ) {
        if let Some(plan) = self.servers.get_mut(server) {
            plan.adapters.touch(adapter, now);
        }
    }

    /// Records the adapters that an engine reports as loaded.
    pub fn record_adapters(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        held: &[domain::HeldAdapter],
        now: time::Instant,
    ) {
        self.plan_of(server, started_ms)
            .adapters
            .apply_notice(held, now);
    }

    /// Records the measured pace of an engine: its time per event relative to the mean engine. A factor
    /// above 1 is slower. It is valid until the engine restarts.
    pub fn record_pace(&mut self, server: &name::ServerName, started_ms: u64, factor: f64) {
        let plan = self.plan_of(server, started_ms);
        if plan.started_ms == started_ms && factor.is_finite() {
            plan.pace = factor.clamp(MIN_PACE, MAX_PACE);
        }
    }

    /// Returns the pace of an engine, 1 if it is not known.
    pub(super) fn pace(&self, record: &domain::ServerRecord) -> f64 {
        let plan = self.servers.get(&record.name);
        let plan = plan.filter(|plan| plan.started_ms == record.started_ms);
        plan.map_or(1.0, |plan| plan.pace)
    }

    /// Plans the next orders for the engines of one service.
    pub fn plan<'a>(
        &mut self,
        service: &'a name::ServiceName,
        engine: &'a declaration::DeclaredEngine,
        records: impl Iterator<Item = &'a domain::ServerRecord>,
        now: time::Instant,
    ) -> fleet::PlanStep {
        let records = records.filter(|record| record.service == *service);
        let round = self.round(service, engine, records.collect(), now);
        let mut step = fleet::PlanStep::default();
        for record in &round.records {
            self.reconcile_order(&round, record, &mut step);
        }
        let mut spreads = self.adapter_spreads(&round);
        for record in round
            .records
            .iter()
            .filter(|record| load_costs::is_usable(record))
        {
            step.orders.extend(self.free_adapter_slot(&round, record));
            step.orders
                .extend(self.preload_adapter(&round, record, &mut spreads));
        }
        let mut engines = self.round_engines(&round);
        for need in self.needs(&round, &engines) {
            let Some(load_option) = self.best_option(&round, &engines, &need) else {
                continue;
            };
            engines.occupy(&need, &load_option);
            self.apply_option(&round, &need, &load_option, &mut step);
        }
        self.load_prepared(&round, &mut engines, &mut step);
        self.preload_models(&round, &mut engines, &mut step);
        step
    }

    /// Returns the planner state of an engine; resets it if the engine has restarted.
    pub(super) fn plan_of(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
    ) -> &mut fleet::ServerPlan {
        let plan = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| fleet::ServerPlan::new(started_ms));
        if plan.started_ms < started_ms {
            *plan = fleet::ServerPlan::new(started_ms);
        }
        plan
    }

    /// Orders a model load, or the eviction that has to precede it.
    pub(super) fn apply_option(
        &mut self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
        load_option: &fleet::LoadOption<'_>,
        step: &mut fleet::PlanStep,
    ) {
        let record = load_option.record;
        let model = need.model.name.clone();
        let (action, time_limit) = if let Some(victim) = &load_option.victim {
            step.retiring
                .push((record.name.clone(), victim.clone(), true));
            (
                fleet::OrderAction::UnloadModel(victim.clone()),
                load_costs::MAX_UNLOAD,
            )
        } else {
            if load_option.from_store {
                self.store.record_start(round.now);
            }
            let loading = domain::ModelLoading {
                model: model.clone(),
                expected_ms: u64::try_from(load_option.load_duration.as_millis())
                    .unwrap_or(u64::MAX),
            };
            step.loading.push((record.name.clone(), Some(loading)));
            (
                fleet::OrderAction::LoadModel(model.clone()),
                load_option.load_duration * 2,
            )
        };
        let standing = round.standing(&model);
        step.decisions.push(fleet::LoadDecision {
            model: model.clone(),
            server: record.name.clone(),
            victim: load_option.victim.clone(),
            from_store: load_option.from_store,
            urgency: need.urgency,
            value: need.value,
            rate: standing.rate,
            waiting: standing.waiting,
            earliest_due: standing
                .earliest_due
                .map(|due_at| due_at.saturating_duration_since(round.now)),
            demand_age: standing.demand_age,
            expected: load_option.load_duration,
        });
        let order = self.order(record, action.clone());
        let from_store = load_option.from_store && load_option.victim.is_none();
        if from_store {
            let (certain, possible) = (self.certain_store_loads(round), self.store_loads(round));
            self.throughput
                .record_start(order.number, certain, possible, round.now);
        }
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.evicting_for = load_option.victim.is_some().then_some(model);
        plan.order = Some(fleet::OpenOrder {
            number: order.number,
            action,
            from_store,
            started_at: round.now,
            ends_at: round.now + load_option.load_duration,
            timeout_at: round.now + time_limit + ORDER_SLACK,
        });
        step.orders.push(order);
    }

    /// Creates the next order for an engine.
    pub(super) fn order(
        &mut self,
        record: &domain::ServerRecord,
        action: fleet::OrderAction,
    ) -> fleet::EngineOrder {
        self.next_number += 1;
        let plan = self.servers.get(&record.name);
        let known = plan.into_iter().flat_map(|plan| plan.adapters.known());
        // An adapter that is being unloaded occupies its slot until the engine confirms the unload.
        let adapters = known.chain(action.adapter()).cloned().collect();
        fleet::EngineOrder {
            adapters,
            number: self.next_number,
            server: record.name.clone(),
            started_ms: record.started_ms,
            address: record.address,
            held: record.models.iter().map(|held| held.name.clone()).collect(),
            action,
        }
    }
}
