//! Loads that nobody asks for yet, and those for which room was made.

use std::collections;

use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_choices;

impl fleet::FleetPlanner {
    /// Fetches models from the weight store of which no engine has a copy, before they are asked for.
    ///
    /// Only idle models make way that come back from the engine's own disk: whichever of the two is asked
    /// for next, nobody waits for the weight store any more. Once requests come, some of the store's pace
    /// is left to models that are asked for.
    pub(super) fn load_early(
        &mut self,
        round: &fleet::PlanRound<'_>,
        taken: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        let limit = self.store_limit();
        let most = if self.interest.is_empty() {
            limit
        } else {
            limit - 1
        };
        for model in &round.engine.models {
            if self.store_loads(round) + self.rooms_in_making() >= most {
                return;
            }
            if has_copy(round, &model.name) || self.copies(round, &model.name).1 > 0 {
                continue;
            }
            let need = fleet::ModelNeed {
                model,
                worth: 0.0,
                may_evict: fleet::Eviction::Idle,
                may_fetch: true,
            };
            if let Some(option) = self.best_option(round, &need, taken) {
                taken.insert(option.record.name.clone());
                self.take_option(round, &need, &option, step);
            }
        }
    }

    /// Counts the engines where a model makes way for another one.
    pub(super) fn rooms_in_making(&self) -> usize {
        let plans = self.servers.values();
        plans.filter(|plan| plan.next.is_some()).count()
    }

    /// Goes on where a model was unloaded to make room for another.
    pub(super) fn load_into_made_room(
        &mut self,
        round: &fleet::PlanRound<'_>,
        taken: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        for record in round
            .records
            .iter()
            .filter(|record| load_choices::is_usable(record))
        {
            let plan = self.plan_of(&record.name, record.started_ms);
            if !plan.is_free(round.now) {
                continue;
            }
            let Some(model) = plan.next.take() else {
                continue;
            };
            let Some(model) = round.engine.model(&model) else {
                continue;
            };
            if self.copies(round, &model.name).0 > 0 {
                // Another engine got it meanwhile.
                continue;
            }
            let need = fleet::ModelNeed {
                model,
                worth: 0.0,
                may_evict: fleet::Eviction::None,
                may_fetch: true,
            };
            if let Some(option) = self.option(round, &need, record, self.store_loads(round)) {
                taken.insert(record.name.clone());
                self.take_option(round, &need, &option, step);
            }
        }
    }
}

/// Returns whether an engine holds the model, or its weights near by.
pub(super) fn has_copy(round: &fleet::PlanRound<'_>, name: &name::ModelName) -> bool {
    round
        .records
        .iter()
        .any(|record| record.model(name).is_some() || record.copies.are_cached(name))
}
