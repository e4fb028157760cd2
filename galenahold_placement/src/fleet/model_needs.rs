//! Determines which models need a copy, and the value of each.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;

/// Waiting and running requests per copy of a model above which another copy justifies its memory.
const REQUESTS_PER_COPY: u32 = 10;

/// Requests per second per copy of a model above which another copy justifies its memory. An engine
/// processes prompts between the tokens of its runs, and three long prompts in a row cause a pause
/// that callers notice.
const RATE_PER_COPY: f64 = 4.5;

/// How many times busier than the mean engine one may be before its popular models get further copies.
const BUSY_FACTOR: f64 = 1.5;

/// Requests per second at an engine below which it never counts as busy: prompts seldom meet.
const MIN_BUSY_RATE: f64 = 1.0;

/// The least share of the mean engine's rate that a model has to bring to each engine to get a further
/// copy; without the others there is nothing to move.
const OWN_SHARE: f64 = 0.5;

/// Maximum number of further copies of one model that are loaded at the same time.
const MAX_LOADING_COPIES: usize = 2;

/// How recent the last request for a model without a copy has to be for other models to be evicted
/// for it.
const RECENT_REQUEST: time::Duration = time::Duration::from_secs(3);

/// Request rate per second below which a model counts as idle.
const IDLE_RATE: f64 = 0.06;

/// Value of a waiting request, relative to a rate of one request per second.
const WAITING_WEIGHT: f64 = 1.0;

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
                value: round.standing(&model.name).value,
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
            || demand.rate(now) > f64::from(copies) * RATE_PER_COPY
            || is_on_busy_engines(round, &model.name, loading);
        (loading < MAX_LOADING_COPIES && full).then(|| fleet::ModelNeed {
            model,
            value: round.standing(&model.name).value * load_costs::FURTHER_COPY_SHARE,
            may_evict: fleet::Eviction::LessValuable,
            // While the first copy is still loading, the store is reserved for models without a
            // copy.
            may_fetch: held > 0,
        })
    }

    /// Derives what the round knows about each model from the engines' records and the demand.
    pub(super) fn round<'a>(
        &self,
        service: &'a name::ServiceName,
        engine: &'a declaration::DeclaredEngine,
        records: Vec<&'a domain::ServerRecord>,
        now: time::Instant,
    ) -> fleet::PlanRound<'a> {
        let mut standings = collections::HashMap::<name::ModelName, fleet::ModelStanding>::new();
        for model in &engine.models {
            let demand = self.demand.get(&(service.clone(), model.name.clone()));
            let standing = demand.map_or_else(idle_standing, |demand| standing_of(demand, now));
            standings.insert(model.name.clone(), standing);
        }
        for record in &records {
            let usable = load_costs::is_usable(record);
            for held in &record.models {
                let standing = standings
                    .entry(held.name.clone())
                    .or_insert_with(idle_standing);
                standing.has_copy = true;
                standing.held += usize::from(usable && !held.retiring);
            }
            for model in record.copies.cached() {
                if let Some(standing) = standings.get_mut(model) {
                    standing.has_copy = true;
                }
            }
        }
        let engine_rates = engine_rates(&records, &mut standings);
        let engines = u32::try_from(engine_rates.len().max(1)).unwrap_or(u32::MAX);
        let mean_rate = engine_rates.values().sum::<f64>() / f64::from(engines);
        let largest = engine.models.iter().map(|model| model.adapter.0).max();
        let adapters = largest.unwrap_or(0) * u64::from(engine.adapter_slots);
        fleet::PlanRound {
            service,
            engine,
            models: engine
                .models
                .iter()
                .map(|model| (&model.name, model))
                .collect(),
            weight_bytes: engine.weight_memory.0.saturating_sub(adapters),
            names: records.iter().map(|record| &record.name).collect(),
            records,
            now,
            standings,
            engine_rates,
            mean_rate,
        }
    }

    /// Counts the engines that hold a model, and those that are loading it or evicting another
    /// model for it.
    pub(super) fn copies(
        &self,
        round: &fleet::PlanRound<'_>,
        model: &name::ModelName,
    ) -> (usize, usize) {
        let loading = self
            .servers
            .iter()
            .filter(|(_, plan)| plan.loads(model))
            .filter(|(name, _)| round.names.contains(name))
            .count();
        (round.standing(model).held, loading)
    }
}

/// Returns whether the engines that serve the model are much busier than the others, largely because of
/// it.
///
/// Load pattern: popular models share an engine while most engines serve rare ones. Their prompts then
/// delay each other's tokens although the fleet as a whole is far from busy.
fn is_on_busy_engines(
    round: &fleet::PlanRound<'_>,
    model: &name::ModelName,
    loading: usize,
) -> bool {
    let standing = round.standing(model);
    let held = f64::from(u32::try_from(standing.held).unwrap_or(u32::MAX));
    let copies = held + f64::from(u32::try_from(loading).unwrap_or(u32::MAX));
    if held == 0.0 {
        return false;
    }
    // The copies that are loading will take their share.
    let expected = standing.engine_rate * held / copies;
    let busy = (round.mean_rate * BUSY_FACTOR).max(MIN_BUSY_RATE);
    expected > busy && standing.rate / copies > round.mean_rate * OWN_SHARE
}

/// Returns the expected request rate of each usable engine, and records it in the standings of the
/// models that the engine serves.
fn engine_rates<'a>(
    records: &[&'a domain::ServerRecord],
    standings: &mut collections::HashMap<name::ModelName, fleet::ModelStanding>,
) -> collections::HashMap<&'a name::ServerName, f64> {
    let mut rates = collections::HashMap::new();
    let usable = records
        .iter()
        .filter(|record| load_costs::is_usable(record));
    for record in usable {
        let served = || record.models.iter().filter(|held| !held.retiring);
        let rate: f64 = served()
            .filter_map(|held| standings.get(&held.name))
            .map(|standing| standing.rate / load_costs::copies_of(standing))
            .sum();
        for held in served() {
            if let Some(standing) = standings.get_mut(&held.name) {
                standing.engine_rate += rate / load_costs::copies_of(standing);
            }
        }
        rates.insert(&record.name, rate);
    }
    rates
}

fn standing_of(demand: &fleet::AggregateDemand, now: time::Instant) -> fleet::ModelStanding {
    let rate = demand.rate(now);
    let waiting = demand.waiting(now);
    let running = demand.running(now);
    fleet::ModelStanding {
        rate,
        value: rate + f64::from(waiting) * WAITING_WEIGHT,
        running,
        idle: rate < IDLE_RATE && waiting == 0 && running == 0,
        ..fleet::ModelStanding::default()
    }
}

/// Returns the standing of a model that nobody requested.
fn idle_standing() -> fleet::ModelStanding {
    fleet::ModelStanding {
        idle: true,
        ..fleet::ModelStanding::default()
    }
}
