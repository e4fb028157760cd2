//! Where a model is loaded, and what makes way for it.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;

/// Loads from the weight store that are under way at once while no model is asked for yet: nobody waits for
/// them, and how long they take shows the store's pace.
const IDLE_STORE_LOADS: usize = 4;

/// How long a model is kept after its load, so that those who waited for it are served.
const KEEP_AFTER_LOAD: time::Duration = time::Duration::from_millis(1_200);

/// How much more a model has to be worth than the one that is unloaded for it.
const EVICTION_MARGIN: f64 = 1.5;

/// Requests a second below which a model counts as idle.
const IDLE_RATE: f64 = 0.06;

/// By how much longer a load counts at an engine that holds adapters.
const ADAPTER_HOST_FACTOR: f64 = 1.5;

impl fleet::FleetPlanner {
    pub(super) fn best_option<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        need: &fleet::ModelNeed<'_>,
        taken: &collections::HashSet<name::ServerName>,
    ) -> Option<fleet::LoadOption<'a>> {
        let store_loads = self.store_loads(round);
        let mut best: Option<fleet::LoadOption<'a>> = None;
        for record in &round.records {
            if taken.contains(&record.name) || !is_usable(record) {
                continue;
            }
            let Some(option) = self.option(round, need, record, store_loads) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| option.cost < best.cost) {
                best = Some(option);
            }
        }
        // An engine that is busy now may still have the model loaded first.
        let waiting = self.cost_of_waiting(round, need);
        best.filter(|best| waiting.is_none_or(|waiting| best.takes <= waiting))
    }

    /// Returns when a busy engine with a copy near by could have the model loaded.
    pub(super) fn cost_of_waiting(
        &self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
    ) -> Option<time::Duration> {
        round
            .records
            .iter()
            .filter(|record| is_usable(record))
            .filter_map(|record| {
                let (takes, from_store) = load_time(need.model, record);
                let order = self.servers.get(&record.name)?.order.as_ref()?;
                let rest = order.ends_at.saturating_duration_since(round.now);
                (!from_store).then_some(rest + takes)
            })
            .min()
    }

    pub(super) fn option<'a>(
        &mut self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
        record: &'a domain::ServerRecord,
        store_loads: usize,
    ) -> Option<fleet::LoadOption<'a>> {
        let now = round.now;
        let plan = self.plan_of(&record.name, record.started_ms);
        if !plan.is_free(now) || plan.next.is_some() || record.model(&need.model.name).is_some() {
            return None;
        }
        let doubtful = plan.doubtful_bytes(|model| record.model(model).is_some(), now);
        let (takes, from_store) = load_time(need.model, record);
        if from_store {
            let room = self.store.has_room(round.engine.store_loads_per_s, now);
            if !need.may_fetch || store_loads >= self.store_limit() || !room {
                return None;
            }
        }
        let free = free_bytes(round.engine, record).saturating_sub(doubtful);
        let mut cost = takes.as_secs_f64();
        if self
            .servers
            .get(&record.name)
            .is_some_and(|plan| plan.adapters.len() > 0)
        {
            // No adapter is loaded there meanwhile.
            cost *= ADAPTER_HOST_FACTOR;
        }
        let mut victim = None;
        if free < need.model.weights.0 {
            let missing = need.model.weights.0 - free;
            let (model, worth) = self.victim(round, record, missing, need.may_evict)?;
            if need.may_evict == fleet::Eviction::WorthLess && worth * EVICTION_MARGIN >= need.worth
            {
                return None;
            }
            cost += worth;
            victim = Some(model);
        }
        Some(fleet::LoadOption {
            record,
            victim,
            from_store,
            takes,
            cost,
        })
    }

    /// Finds the model of an engine that is worth least there and large enough.
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
            .filter(|held| !held.retiring && self.may_go(round, record, &held.name, eviction))
            .filter(|held| {
                let kept = plan.held_since.get(&held.name);
                kept.is_none_or(|since| {
                    round.now.saturating_duration_since(*since) >= KEEP_AFTER_LOAD
                })
            })
            .filter(|held| {
                let model = round.engine.model(&held.name);
                model.is_none_or(|model| model.weights.0 >= missing)
            })
            .map(|held| (held.name.clone(), self.cost_of_unload(round, &held.name)))
            .min_by(|one, other| one.1.total_cmp(&other.1))
    }

    pub(super) fn may_go(
        &self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
        model: &name::ModelName,
        eviction: fleet::Eviction,
    ) -> bool {
        match eviction {
            fleet::Eviction::None => false,
            fleet::Eviction::Idle => self.is_spare(round, record, model),
            fleet::Eviction::WorthLess => true,
        }
    }

    /// Returns whether a model is idle and comes back without the weight store.
    ///
    /// Models with adapters are left alone: they are the ones that many ask for.
    pub(super) fn is_spare(
        &self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
        name: &name::ModelName,
    ) -> bool {
        let near = record.copies.are_cached(name);
        let model = round.engine.model(name);
        let plain = model.is_none_or(|model| model.adapters.is_empty());
        let interest = self.interest.get(&(round.service.clone(), name.clone()));
        let idle = interest.is_none_or(|interest| {
            interest.rate(round.now) < IDLE_RATE
                && interest.waiting(round.now) == 0
                && interest.running(round.now) == 0
        });
        near && plain && idle
    }

    /// Counts the loads from the store that are or may be under way; what an engine that is gone was loading is
    /// not.
    pub(super) fn store_loads(&self, round: &fleet::PlanRound<'_>) -> usize {
        let counts = round.records.iter().filter_map(|record| {
            let plan = self.servers.get(&record.name)?;
            let ordered = plan.order.as_ref().is_some_and(|order| order.from_store);
            Some(usize::from(ordered) + plan.doubtful_fetches(record, round.now))
        });
        counts.sum()
    }

    /// Returns how many loads from the store may be under way at once.
    pub(super) fn store_limit(&self) -> usize {
        if self.interest.is_empty() {
            return IDLE_STORE_LOADS;
        }
        self.pace.at_once()
    }
}

/// Returns whether orders and requests may go to an engine.
pub(super) fn is_usable(record: &domain::ServerRecord) -> bool {
    record.is_open() && !record.silent && !record.leaves_soon
}

/// Returns how long a load takes at an engine, and whether it needs the weight store.
pub(super) fn load_time(
    model: &declaration::DeclaredModel,
    record: &domain::ServerRecord,
) -> (time::Duration, bool) {
    if record.copies.are_in_memory(&model.name) {
        (model.memory_load, false)
    } else if record.copies.are_on_disk(&model.name) {
        (model.disk_load, false)
    } else {
        (model.store_load, true)
    }
}

/// Returns the memory for weights that is free, with room kept for all adapter places.
pub(super) fn free_bytes(
    engine: &declaration::DeclaredEngine,
    record: &domain::ServerRecord,
) -> u64 {
    let weights = |name: &name::ModelName| engine.model(name).map_or(0, |model| model.weights.0);
    let held: u64 = record.models.iter().map(|held| weights(&held.name)).sum();
    let largest = engine.models.iter().map(|model| model.adapter.0).max();
    let adapters = largest.unwrap_or(0) * u64::from(engine.adapter_slots);
    engine
        .weight_memory
        .0
        .saturating_sub(held)
        .saturating_sub(adapters)
}
