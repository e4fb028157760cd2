//! Loads models in advance, and models for which another one was evicted.

use std::collections;

use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;

impl fleet::FleetPlanner {
    /// Fetches models of which no engine has a copy from the weight store before they are
    /// requested.
    ///
    /// Only idle models are evicted that can be loaded again from the engine's own disk: whichever
    /// of the two models is requested next, no request has to wait for the weight store. Once
    /// requests arrive, part of the store's throughput is left to requested models.
    pub(super) fn preload_models(
        &mut self,
        round: &fleet::PlanRound<'_>,
        used_servers: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        let limit = self.store_limit();
        let max_loads = if self.demand.is_empty() {
            limit
        } else {
            limit - 1
        };
        for model in &round.engine.models {
            if round.standing(&model.name).has_copy || self.copies(round, &model.name).1 > 0 {
                continue;
            }
            if self.store_loads(round) + self.pending_evictions() >= max_loads {
                return;
            }
            let need = fleet::ModelNeed {
                model,
                value: 0.0,
                may_evict: fleet::Eviction::Idle,
                may_fetch: true,
            };
            if let Some(load_option) = self.best_option(round, &need, used_servers) {
                used_servers.insert(load_option.record.name.clone());
                self.apply_option(round, &need, &load_option, step);
            }
        }
    }

    /// Counts the engines on which one model is evicted for another.
    pub(super) fn pending_evictions(&self) -> usize {
        let plans = self.servers.values();
        plans.filter(|plan| plan.evicting_for.is_some()).count()
    }

    /// Loads models for which another model was evicted.
    pub(super) fn load_after_eviction(
        &mut self,
        round: &fleet::PlanRound<'_>,
        used_servers: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        for record in round
            .records
            .iter()
            .filter(|record| load_costs::is_usable(record))
        {
            let plan = self.plan_of(&record.name, record.started_ms);
            if !plan.accepts_model_order(round.now) {
                continue;
            }
            let Some(model) = plan.evicting_for.take() else {
                continue;
            };
            let Some(model) = round.model(&model) else {
                continue;
            };
            if self.copies(round, &model.name).0 > 0 {
                // Another engine has loaded the model in the meantime.
                continue;
            }
            let need = fleet::ModelNeed {
                model,
                value: 0.0,
                may_evict: fleet::Eviction::None,
                may_fetch: true,
            };
            if let Some(load_option) =
                self.load_option(round, &need, record, self.store_loads(round))
            {
                used_servers.insert(record.name.clone());
                self.apply_option(round, &need, &load_option, step);
            }
        }
    }
}
