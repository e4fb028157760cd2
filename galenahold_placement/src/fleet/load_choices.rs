//! Chooses the engine for a model load, and the model to evict for it.

use std::collections;
use std::time;

use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;

/// Minimum time for which a model stays loaded, so that the requests that waited for it are served.
const MIN_RESIDENCY: time::Duration = time::Duration::from_millis(1_200);

/// Factor by which the value of a model has to exceed that of the model evicted for it.
const EVICTION_MARGIN: f64 = 1.5;

/// Cost of one request per second for the model at an engine that serves one per second: how often their
/// prompts meet grows with both rates.
const MEETING_COST: f64 = 0.1;

/// Factor on the cost of a load at an engine that holds adapters.
const ADAPTER_HOST_FACTOR: f64 = 1.5;

impl fleet::FleetPlanner {
    /// Returns the engine on which the load costs least; `None` if waiting for a busy engine is
    /// faster.
    pub(super) fn best_option<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        need: &fleet::ModelNeed<'_>,
        used_servers: &collections::HashSet<name::ServerName>,
    ) -> Option<fleet::LoadOption<'a>> {
        let store_loads = self.store_loads(round);
        let mut best: Option<fleet::LoadOption<'a>> = None;
        for record in &round.records {
            if used_servers.contains(&record.name) || !load_costs::is_usable(record) {
                continue;
            }
            let Some(load_option) = self.load_option(round, need, record, store_loads) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|best| load_option.cost < best.cost)
            {
                best = Some(load_option);
            }
        }
        // Waiting for a busy engine may be faster than loading on a free one.
        let waiting = self.wait_for_busy_engine(round, need);
        best.filter(|best| waiting.is_none_or(|waiting| best.load_duration <= waiting))
    }

    /// Returns the shortest time in which a busy engine that has the weights nearby could load the
    /// model.
    pub(super) fn wait_for_busy_engine(
        &self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
    ) -> Option<time::Duration> {
        round
            .records
            .iter()
            .filter(|record| load_costs::is_usable(record))
            .filter_map(|record| {
                let (load_duration, from_store) = load_costs::load_time(need.model, record);
                let order = self.servers.get(&record.name)?.order.as_ref()?;
                let remaining = order.ends_at.saturating_duration_since(round.now);
                (!from_store).then_some(remaining + load_duration)
            })
            .min()
    }

    /// Returns how an engine could load the model, with the model to evict if memory is missing.
    pub(super) fn load_option<'a>(
        &mut self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
        record: &'a domain::ServerRecord,
        store_loads: usize,
    ) -> Option<fleet::LoadOption<'a>> {
        let now = round.now;
        let plan = self.plan_of(&record.name, record.started_ms);
        if !plan.accepts_model_order(now)
            || plan.evicting_for.is_some()
            || record.model(&need.model.name).is_some()
        {
            return None;
        }
        let unconfirmed = plan.unconfirmed_bytes(|model| record.model(model).is_some(), now);
        let (load_duration, from_store) = load_costs::load_time(need.model, record);
        if from_store {
            let allowed = self.store.allows_load(round.engine.store_loads_per_s, now);
            if !need.may_fetch || store_loads >= self.store_limit() || !allowed {
                return None;
            }
        }
        let free = round.free_bytes(record).saturating_sub(unconfirmed);
        let mut cost = load_duration.as_secs_f64();
        if self
            .servers
            .get(&record.name)
            .is_some_and(|plan| plan.adapters.len() > 0)
        {
            // The engine loads no adapters during the model load.
            cost *= ADAPTER_HOST_FACTOR;
        }
        let standing = round.standing(&need.model.name);
        let copies = u32::try_from(standing.held + 1).unwrap_or(u32::MAX);
        cost += standing.rate / f64::from(copies) * round.engine_rate(&record.name) * MEETING_COST;
        let mut victim = None;
        if free < need.model.weights.0 {
            let missing = need.model.weights.0 - free;
            let (model, value) = self.victim(round, record, missing, need.may_evict)?;
            if need.may_evict == fleet::Eviction::LessValuable
                && value * EVICTION_MARGIN >= need.value
            {
                return None;
            }
            cost += value;
            victim = Some(model);
        }
        Some(fleet::LoadOption {
            record,
            victim,
            from_store,
            load_duration,
            cost,
        })
    }

    /// Returns the model of an engine with the lowest unload cost among those that are large
    /// enough.
    pub(super) fn victim(
        &self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
        missing: u64,
        eviction: fleet::Eviction,
    ) -> Option<(name::ModelName, f64)> {
        let plan = self.servers.get(&record.name)?;
        record
            .models
            .iter()
            .filter(|held| !held.retiring && is_evictable(round, record, &held.name, eviction))
            .filter(|held| {
                let held_since = plan.held_since.get(&held.name);
                held_since.is_none_or(|since| {
                    round.now.saturating_duration_since(*since) >= MIN_RESIDENCY
                })
            })
            .filter(|held| {
                let model = round.model(&held.name);
                model.is_none_or(|model| model.weights.0 >= missing)
            })
            .map(|held| {
                (
                    held.name.clone(),
                    load_costs::unload_cost(round, &held.name),
                )
            })
            .min_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// Counts the loads from the store that are or may be in progress. Loads of engines that are no
    /// longer in the roster do not count.
    pub(super) fn store_loads(&self, round: &fleet::PlanRound<'_>) -> usize {
        let counts = round.records.iter().filter_map(|record| {
            let plan = self.servers.get(&record.name)?;
            let ordered = plan.order.as_ref().is_some_and(|order| order.from_store);
            Some(usize::from(ordered) + plan.unconfirmed_fetches(record, round.now))
        });
        counts.sum()
    }

    /// Counts the loads from the store that are in progress for certain.
    ///
    /// A load whose time at full speed has passed may have ended: engines report about once a second.
    pub(super) fn certain_store_loads(&self, round: &fleet::PlanRound<'_>) -> usize {
        let open = round.records.iter().filter_map(|record| {
            let plan = self.servers.get(&record.name)?;
            plan.order
                .as_ref()
                .filter(|order| order.from_store && round.now < order.ends_at)
        });
        open.count()
    }

    /// Returns the maximum number of concurrent loads from the store.
    ///
    /// Before the first request no further load tries whether the store handles more: a slow load would
    /// still hold the store when requests arrive.
    pub(super) fn store_limit(&self) -> usize {
        if self.demand.is_empty() {
            return self.throughput.full_speed_loads();
        }
        self.throughput.max_concurrent_loads()
    }
}

/// Returns whether the restriction allows the eviction of a model.
fn is_evictable(
    round: &fleet::PlanRound<'_>,
    record: &domain::ServerRecord,
    model: &name::ModelName,
    eviction: fleet::Eviction,
) -> bool {
    match eviction {
        fleet::Eviction::None => false,
        fleet::Eviction::Idle => is_idle_and_near(round, record, model),
        fleet::Eviction::LessValuable => true,
    }
}

/// Returns whether a model is idle and can be loaded again without the weight store.
///
/// Models with adapters never count as idle, since many requests ask for them.
fn is_idle_and_near(
    round: &fleet::PlanRound<'_>,
    record: &domain::ServerRecord,
    name: &name::ModelName,
) -> bool {
    let model = round.model(name);
    let has_no_adapters = model.is_none_or(|model| model.adapters.is_empty());
    record.copies.are_cached(name) && has_no_adapters && round.standing(name).idle
}
