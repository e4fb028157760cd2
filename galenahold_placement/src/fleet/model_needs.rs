//! Determines which models need a copy, and the value of each.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;
use crate::fleet::load_urgency;

/// Waiting and running requests per copy of a model above which another copy justifies its memory.
const REQUESTS_PER_COPY: u32 = 10;

/// How many times busier than the mean engine one may be before its popular models get further copies.
const BUSY_FACTOR: f64 = 1.5;

/// Weight of a request beyond what the copies of its model carry, relative to one for a model without a
/// copy: the first is served late, the second not at all.
const EXCESS_WEIGHT: f64 = 0.5;

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

/// Bounds of the mean duration of a run as it is inferred from few runs.
const MIN_RUN_TIME: time::Duration = time::Duration::from_millis(300);
const MAX_RUN_TIME: time::Duration = time::Duration::from_secs(8);

impl fleet::FleetPlanner {
    /// Lists the models that need a copy, the most urgent first.
    pub(super) fn needs<'a>(
        &self,
        round: &fleet::PlanRound<'a>,
        engines: &fleet::RoundEngines<'a>,
    ) -> Vec<fleet::ModelNeed<'a>> {
        let mut needs: Vec<_> = round
            .engine
            .models
            .iter()
            .filter_map(|model| self.need(round, engines, model))
            .collect();
        needs.sort_by(|one, other| other.urgency.total_cmp(&one.urgency));
        needs
    }

    /// Returns the need for a first or a further copy of a model, if any.
    pub(super) fn need<'a>(
        &self,
        round: &fleet::PlanRound<'a>,
        engines: &fleet::RoundEngines<'a>,
        model: &'a declaration::DeclaredModel,
    ) -> Option<fleet::ModelNeed<'a>> {
        let demand = self
            .demand
            .get(&(round.service.clone(), model.name.clone()))?;
        let now = round.now;
        let standing = round.standing(&model.name);
        let (held, loading) = (standing.held, engines.loading(&model.name));
        let copies = held + loading;
        if copies == 0 {
            let requested = demand.waiting(now) > 0 || demand.idle_for(now) < RECENT_REQUEST;
            return Some(fleet::ModelNeed {
                model,
                value: standing.value,
                urgency: standing.urgency,
                leaves_by: standing.leaves_by,
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
        let capacity = standing.capacity + f64::from(u32::try_from(loading).unwrap_or(u32::MAX));
        let excess = (standing.rate - capacity * load_costs::RATE_PER_COPY).max(0.0);
        let excess_value = excess * EXCESS_WEIGHT;
        let lacks_second = copies < 2 && standing.rate >= load_costs::POPULAR_RATE;
        let share = if lacks_second {
            load_costs::SECOND_COPY_SHARE
        } else {
            load_costs::FURTHER_COPY_SHARE
        };
        let full = load > copies * REQUESTS_PER_COPY
            || excess > 0.0
            || lacks_second
            || is_on_busy_engines(round, &model.name, loading);
        (loading < MAX_LOADING_COPIES && full).then(|| fleet::ModelNeed {
            model,
            value: (standing.value * share).max(excess_value),
            urgency: (standing.urgency * share).max(
                load_urgency::expected_calls(excess_value) / standing.nearest_load.as_secs_f64(),
            ),
            leaves_by: standing.leaves_by,
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
        let mut nearest_loads = collections::HashMap::<&name::ModelName, time::Duration>::new();
        let models: collections::HashMap<_, _> = engine
            .models
            .iter()
            .map(|model| (&model.name, model))
            .collect();
        for record in records
            .iter()
            .copied()
            .filter(|record| load_costs::is_usable(record))
        {
            for model in record.copies.cached() {
                if let Some(model) = models.get(model) {
                    let (load_duration, _) = load_costs::load_time(model, record);
                    let nearest = nearest_loads.entry(&model.name).or_insert(load_duration);
                    *nearest = load_duration.min(*nearest);
                }
            }
        }
        let mut standings = collections::HashMap::<name::ModelName, fleet::ModelStanding>::new();
        let (mut running, mut rate) = (0.0, 0.0);
        for model in &engine.models {
            let demand = self.demand.get(&(service.clone(), model.name.clone()));
            let nearest_load = nearest_loads.get(&model.name).copied();
            let standing = demand.map_or_else(idle_standing, |demand| {
                standing_of(demand, nearest_load.unwrap_or(model.store_load), now)
            });
            running += f64::from(standing.running);
            rate += standing.rate;
            standings.insert(model.name.clone(), standing);
        }
        let run_time = time::Duration::from_secs_f64(running / f64::max(rate, 1.0))
            .clamp(MIN_RUN_TIME, MAX_RUN_TIME);
        for record in &records {
            let usable = load_costs::is_usable(record);
            let pace = self.pace(record);
            for held in &record.models {
                let standing = standings
                    .entry(held.name.clone())
                    .or_insert_with(idle_standing);
                standing.has_copy = true;
                if usable && !held.retiring {
                    standing.held += 1;
                    standing.capacity += 1.0 / pace;
                }
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
            models,
            weight_bytes: engine.weight_memory.0.saturating_sub(adapters),
            records,
            now,
            standings,
            engine_rates,
            mean_rate,
            run_time,
        }
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

fn standing_of(
    demand: &fleet::AggregateDemand,
    nearest_load: time::Duration,
    now: time::Instant,
) -> fleet::ModelStanding {
    let rate = demand.rate(now);
    let running = demand.running(now);
    let loaded_at = now + nearest_load;
    let (mut waiting, mut remaining) = (0, 0);
    let (mut earliest_due, mut leaves_by) = (None::<time::Instant>, None::<time::Instant>);
    for call in demand.waiting_calls(now) {
        waiting += 1;
        remaining += u32::from(call.leaves_at > loaded_at);
        earliest_due = Some(earliest_due.map_or(call.due_at, |due_at| due_at.min(call.due_at)));
        leaves_by = leaves_by.max(Some(call.leaves_at));
    }
    fleet::ModelStanding {
        rate,
        value: rate + f64::from(remaining) * WAITING_WEIGHT,
        urgency: load_urgency::load_urgency(demand.waiting_calls(now), rate, nearest_load, now),
        nearest_load,
        waiting,
        earliest_due,
        leaves_by: leaves_by.filter(|_| rate < load_costs::POPULAR_RATE),
        demand_age: Some(demand.age(now)),
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
