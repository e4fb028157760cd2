//! Determines which models need a copy, and the value of each.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_choices;

/// Waiting and running requests per copy of a model above which another copy justifies its memory.
const REQUESTS_PER_COPY: u32 = 10;

/// Requests per second per copy of a model above which another copy justifies its memory. An engine
/// processes prompts between the tokens of its runs, and three long prompts in a row cause a pause
/// that callers notice.
const RATE_PER_COPY: f64 = 4.5;

/// Maximum number of further copies of one model that are loaded at the same time.
const MAX_LOADING_COPIES: usize = 2;

/// How recent the last request for a model without a copy has to be for other models to be evicted
/// for it.
const RECENT_REQUEST: time::Duration = time::Duration::from_secs(3);

/// Value of a waiting request, relative to a rate of one request per second.
const WAITING_WEIGHT: f64 = 1.0;

/// Value of a further copy of a model as a share of the value of the first.
const FURTHER_COPY_SHARE: f64 = 0.3;

/// Cost of each running request in the unload cost of a model, since the unload waits for running
/// requests to end.
const RUNNING_COST: f64 = 0.4;

impl fleet::FleetPlanner {
    /// Lists the models that need a copy, the most valuable first.
    pub(super) fn needs<'a>(&self, round: &fleet::PlanRound<'a>) -> Vec<fleet::ModelNeed<'a>> {
        let mut needs: Vec<_> = round
            .engine
            .models
            .iter()
            .filter_map(|model| self.need(round, model))
            .collect();
        needs.sort_by(|one, other| other.value.total_cmp(&one.value));
        needs
    }

    /// Returns the need for a first or a further copy of a model, if any.
    pub(super) fn need<'a>(
        &self,
        round: &fleet::PlanRound<'a>,
        model: &'a declaration::DeclaredModel,
    ) -> Option<fleet::ModelNeed<'a>> {
        let demand = self
            .demand
            .get(&(round.service.clone(), model.name.clone()))?;
        let now = round.now;
        let (held, loading) = self.copies(round, &model.name);
        let copies = held + loading;
        if copies == 0 {
            let requested = demand.waiting(now) > 0 || demand.idle_for(now) < RECENT_REQUEST;
            return Some(fleet::ModelNeed {
                model,
                value: self.value(round, &model.name),
                may_evict: if requested {
                    fleet::Eviction::LessValuable
                } else {
                    fleet::Eviction::None
                },
                may_fetch: true,
            });
        }
        let load = demand.running(now) + demand.waiting(now);
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        let full = load > copies * REQUESTS_PER_COPY
            || demand.rate(now) > f64::from(copies) * RATE_PER_COPY;
        (loading < MAX_LOADING_COPIES && full).then(|| fleet::ModelNeed {
            model,
            value: self.value(round, &model.name) * FURTHER_COPY_SHARE,
            may_evict: fleet::Eviction::LessValuable,
            // While the first copy is still loading, the store is reserved for models without a
            // copy.
            may_fetch: held > 0,
        })
    }

    /// Returns the value of having a model loaded at all.
    pub(super) fn value(&self, round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
        let key = (round.service.clone(), model.clone());
        self.demand.get(&key).map_or(0.0, |demand| {
            demand.rate(round.now) + f64::from(demand.waiting(round.now)) * WAITING_WEIGHT
        })
    }

    /// Counts the engines that hold a model, and those that are loading it or evicting another
    /// model for it.
    pub(super) fn copies(
        &self,
        round: &fleet::PlanRound<'_>,
        model: &name::ModelName,
    ) -> (usize, usize) {
        let usable = round
            .records
            .iter()
            .filter(|record| load_choices::is_usable(record));
        let held = usable.filter(|record| record.serves_model(model)).count();
        let loading = round
            .records
            .iter()
            .filter_map(|record| self.servers.get(&record.name))
            .filter(|plan| {
                let loads = plan.order.as_ref().is_some_and(|order| {
                    matches!(&order.action, fleet::OrderAction::LoadModel(loaded) if loaded == model)
                });
                loads || plan.evicting_for.as_ref() == Some(model)
            })
            .count();
        (held, loading)
    }

    /// Returns the cost of unloading one copy of a model now.
    pub(super) fn unload_cost(&self, round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
        let key = (round.service.clone(), model.clone());
        let demand = self.demand.get(&key);
        let running = demand.map_or(0, |demand| demand.running(round.now));
        let (held, _) = self.copies(round, model);
        let running_per_copy =
            f64::from(running) / f64::from(u32::try_from(held.max(1)).unwrap_or(u32::MAX));
        self.copy_value(round, model) + running_per_copy * RUNNING_COST
    }

    /// Returns the value of one copy of a model.
    pub(super) fn copy_value(&self, round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
        let value = self.value(round, model);
        let (held, _) = self.copies(round, model);
        match u32::try_from(held).unwrap_or(u32::MAX) {
            0 | 1 => value,
            copies => value * FURTHER_COPY_SHARE / f64::from(copies),
        }
    }
}
