//! Loads models in advance, and models for which another one was evicted.

use crate::fleet;

impl fleet::FleetPlanner {
    /// Fetches models of which no engine has a copy from the weight store before they are
    /// requested, those that were requested lately first.
    ///
    /// Only idle models are evicted that can be loaded again from the engine's own disk: whichever
    /// of the two models is requested next, no request has to wait for the weight store. Once
    /// requests arrive, part of the store's throughput is left to requested models.
    pub(super) fn preload_models<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        engines: &mut fleet::RoundEngines<'a>,
        step: &mut fleet::PlanStep,
    ) {
        let limit = self.store_limit();
        let max_loads = if self.demand.is_empty() {
            limit
        } else {
            limit - 1
        };
        if engines.store_loads + self.pending_evictions() >= max_loads {
            return;
        }
        let mut absent: Vec<_> = round
            .engine
            .models
            .iter()
            .map(|model| (round.standing(&model.name), model))
            .filter(|(standing, model)| !standing.has_copy && engines.loading(&model.name) == 0)
            .collect();
        absent.sort_by(|one, other| other.0.rate.total_cmp(&one.0.rate));
        for (_, model) in absent {
            if engines.store_loads + self.pending_evictions() >= max_loads {
                return;
            }
            let need = fleet::ModelNeed {
                model,
                value: 0.0,
                urgency: 0.0,
                leaves_by: None,
                may_evict: fleet::Eviction::Idle,
                may_fetch: true,
            };
            if let Some(load_option) = self.best_option(round, engines, &need) {
                engines.occupy(&need, &load_option);
                self.apply_option(round, &need, &load_option, step);
            }
        }
    }

    /// Counts the engines on which one model is evicted for another.
    pub(super) fn pending_evictions(&self) -> usize {
        let plans = self.servers.values();
        plans.filter(|plan| plan.evicting_for.is_some()).count()
    }

    /// Loads models that nobody requests and for which another model was evicted. Those that are
    /// requested have been loaded in the order of their urgency.
    pub(super) fn load_prepared<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        engines: &mut fleet::RoundEngines<'a>,
        step: &mut fleet::PlanStep,
    ) {
        let prepared: Vec<_> = engines
            .free
            .iter()
            .filter_map(|engine| Some(engine.prepared_for.as_ref()?.0.clone()))
            .collect();
        for name in prepared {
            let key = (round.service.clone(), name);
            if self.demand.contains_key(&key) {
                continue;
            }
            let Some(model) = round.model(&key.1) else {
                continue;
            };
            if round.standing(&model.name).held > 0 {
                // Another engine has loaded the model in the meantime.
                continue;
            }
            let need = fleet::ModelNeed {
                model,
                value: 0.0,
                urgency: 0.0,
                leaves_by: None,
                may_evict: fleet::Eviction::None,
                may_fetch: true,
            };
            if let Some(load_option) = self.prepared_option(round, engines, &need) {
                engines.occupy(&need, &load_option);
                self.apply_option(round, &need, &load_option, step);
            }
        }
    }
}
