//! Which models should be loaded, and what they are worth.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_choices;

/// Requests under way at one copy of a model beyond which another copy is worth its memory.
const REQUESTS_PER_COPY: u32 = 10;

/// Requests a second at one copy of a model beyond which another copy is worth its memory: an engine
/// reads prompts between the tokens of its runs, and three long prompts in a row make a pause that
/// callers notice.
const RATE_PER_COPY: f64 = 4.5;

/// Further copies of one model that are loaded at once.
const COPIES_COMING: usize = 2;

/// How long ago a request may have asked for a model that is loaded nowhere and still count as wanting it.
const RECENT: time::Duration = time::Duration::from_secs(3);

/// What a waiting request is worth against a request a second.
const WAITING_WEIGHT: f64 = 1.0;

/// The share of its worth that a further copy of a model has.
const FURTHER_COPY_SHARE: f64 = 0.3;

/// What a run under way adds to what it costs to unload its model, which waits for the run to end.
const RUNNING_COST: f64 = 0.4;

impl fleet::FleetPlanner {
    /// Lists the models that should be loaded, the worthiest first.
    pub(super) fn needs<'a>(&self, round: &fleet::PlanRound<'a>) -> Vec<fleet::ModelNeed<'a>> {
        let mut needs: Vec<_> = round
            .engine
            .models
            .iter()
            .filter_map(|model| self.need(round, model))
            .collect();
        needs.sort_by(|one, other| other.worth.total_cmp(&one.worth));
        needs
    }

    pub(super) fn need<'a>(
        &self,
        round: &fleet::PlanRound<'a>,
        model: &'a declaration::DeclaredModel,
    ) -> Option<fleet::ModelNeed<'a>> {
        let interest = self
            .interest
            .get(&(round.service.clone(), model.name.clone()))?;
        let now = round.now;
        let (held, coming) = self.copies(round, &model.name);
        let copies = held + coming;
        if copies == 0 {
            let wanted = interest.waiting(now) > 0 || interest.idle_for(now) < RECENT;
            return Some(fleet::ModelNeed {
                model,
                worth: self.worth(round, &model.name),
                may_evict: if wanted {
                    fleet::Eviction::WorthLess
                } else {
                    fleet::Eviction::None
                },
                may_fetch: true,
            });
        }
        let load = interest.running(now) + interest.waiting(now);
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        let full = load > copies * REQUESTS_PER_COPY
            || interest.rate(now) > f64::from(copies) * RATE_PER_COPY;
        (coming < COPIES_COMING && full).then(|| fleet::ModelNeed {
            model,
            worth: self.worth(round, &model.name) * FURTHER_COPY_SHARE,
            may_evict: fleet::Eviction::WorthLess,
            // While the first copy is still coming, the store is for models that have none.
            may_fetch: held > 0,
        })
    }

    /// Returns what it is worth that a model is loaded at all.
    pub(super) fn worth(&self, round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
        let key = (round.service.clone(), model.clone());
        self.interest.get(&key).map_or(0.0, |interest| {
            interest.rate(round.now) + f64::from(interest.waiting(round.now)) * WAITING_WEIGHT
        })
    }

    /// Counts the engines that hold a model and those that load it.
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
        let coming = round
            .records
            .iter()
            .filter_map(|record| self.servers.get(&record.name))
            .filter(|plan| {
                let loads = plan.order.as_ref().is_some_and(|order| {
                    matches!(&order.action, fleet::OrderAction::LoadModel(loaded) if loaded == model)
                });
                loads || plan.next.as_ref() == Some(model)
            })
            .count();
        (held, coming)
    }

    /// Returns what it costs to unload one copy of a model now.
    pub(super) fn cost_of_unload(
        &self,
        round: &fleet::PlanRound<'_>,
        model: &name::ModelName,
    ) -> f64 {
        let key = (round.service.clone(), model.clone());
        let interest = self.interest.get(&key);
        let running = interest.map_or(0, |interest| interest.running(round.now));
        let (held, _) = self.copies(round, model);
        let there = f64::from(running) / f64::from(u32::try_from(held.max(1)).unwrap_or(u32::MAX));
        self.worth_there(round, model) + there * RUNNING_COST
    }

    /// Returns what one copy of a model is worth.
    pub(super) fn worth_there(&self, round: &fleet::PlanRound<'_>, model: &name::ModelName) -> f64 {
        let worth = self.worth(round, model);
        let (held, _) = self.copies(round, model);
        match u32::try_from(held).unwrap_or(u32::MAX) {
            0 | 1 => worth,
            copies => worth * FURTHER_COPY_SHARE / f64::from(copies),
        }
    }
}
