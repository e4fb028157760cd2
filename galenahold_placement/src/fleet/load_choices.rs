//! Chooses the engine for a model load, and the model to evict for it.

use std::time;

use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_costs;
use crate::fleet::round_engines;

/// Factor by which the value of a model has to exceed that of the model evicted for it.
const EVICTION_MARGIN: f64 = 1.5;

/// Cost of one request per second for the model at an engine that serves one per second: how often their
/// prompts meet grows with both rates.
const MEETING_COST: f64 = 0.1;

/// Cost of placing a popular model at an engine that is twice as slow as the mean, in seconds of load
/// time: its calls stay there for ten seconds and more, until other models are popular.
const PACE_COST: f64 = 3.0;

/// Cost of placing a popular model at an engine that serves another one, in seconds of load time.
const SHARED_ENGINE_COST: f64 = 3.0;

/// Cost of placing a popular model in the only data centre that has it, in seconds of load time; the
/// model would be lost with the data centre.
const SAME_CENTRE_COST: f64 = 2.0;

/// Factor by which a load may take longer at an engine without adapters in use than at one with them. An
/// engine refuses adapter orders while it executes a model order, and each refusal costs a caller its
/// adapter. In the replay of fleet I, a factor of 3 refuses a third of the adapter requests and 2 two fifths,
/// but at 3 a tenth of all exchanges is lost.
const COMPARABLE_FACTOR: f64 = 2.0;

/// Factor by which the urgency of a model has to exceed that of the model for which an engine was
/// prepared by an eviction, to use the engine instead.
const TAKEOVER_FACTOR: f64 = 2.0;

impl fleet::FleetPlanner {
    /// Returns the engine on which the load costs least; `None` if waiting for a busy engine is
    /// faster.
    pub(super) fn best_option<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        engines: &fleet::RoundEngines<'a>,
        need: &fleet::ModelNeed<'_>,
    ) -> Option<fleet::LoadOption<'a>> {
        if let Some(prepared) = self.prepared_option(round, engines, need) {
            return Some(prepared);
        }
        let may_fetch = need.may_fetch
            && engines.store_loads_ahead(need.urgency) < self.store_limit()
            && self.store_window_is_open(round);
        let standing = round.standing(&need.model.name);
        let only_centre = single_centre(round, need, &standing);
        // The best option at an engine without adapters in use, and at one with them.
        let mut best: [Option<fleet::LoadOption<'a>>; 2] = [None, None];
        for engine in &engines.free {
            let reserved = engine.prepared_for.as_ref();
            if reserved.is_some_and(|(model, urgency)| {
                *model != need.model.name && need.urgency < urgency * TAKEOVER_FACTOR
            }) {
                continue;
            }
            let Some(mut load_option) = load_option(round.now, need, &standing, engine, may_fetch)
            else {
                continue;
            };
            if only_centre == Some(&engine.record.data_centre) {
                load_option.cost += SAME_CENTRE_COST;
            }
            let best = &mut best[usize::from(engine.hosts_adapters)];
            if best
                .as_ref()
                .is_none_or(|best| load_option.cost < best.cost)
            {
                *best = Some(load_option);
            }
        }
        let [apart, host] = best;
        let best = match (apart, host) {
            (Some(apart), Some(host)) => {
                let comparable = host.load_duration.mul_f64(COMPARABLE_FACTOR);
                Some(if apart.load_duration <= comparable {
                    apart
                } else {
                    host
                })
            }
            (None, Some(host)) => {
                let comparable = host.load_duration.mul_f64(COMPARABLE_FACTOR);
                let waiting = wait_without_adapters(engines, need, host.from_store);
                waiting
                    .is_none_or(|waiting| waiting > comparable)
                    .then_some(host)
            }
            (apart, None) => apart,
        };
        // Waiting for a busy engine may be faster than loading on a free one.
        let waiting = wait_for_busy_engine(engines, need);
        best.filter(|best| waiting.is_none_or(|waiting| best.load_duration <= waiting))
    }

    /// Returns the load at the engine where another model was evicted for this one, if any.
    pub(super) fn prepared_option<'a>(
        &mut self,
        round: &fleet::PlanRound<'a>,
        engines: &fleet::RoundEngines<'a>,
        need: &fleet::ModelNeed<'_>,
    ) -> Option<fleet::LoadOption<'a>> {
        let engine = engines.free.iter().find(|engine| {
            let prepared_for = engine.prepared_for.as_ref();
            prepared_for.is_some_and(|(model, _)| *model == need.model.name)
        })?;
        let standing = round.standing(&need.model.name);
        let may_fetch =
            engines.store_loads < self.store_limit() && self.store_window_is_open(round);
        let load_option = load_option(round.now, need, &standing, engine, may_fetch)?;
        load_option.victim.is_none().then_some(load_option)
    }

    /// Returns whether the rate of loads from the weight store allows another one now.
    fn store_window_is_open(&mut self, round: &fleet::PlanRound<'_>) -> bool {
        self.store
            .allows_load(round.engine.store_loads_per_s, round.now)
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

impl round_engines::Victim {
    /// Returns whether the model is large enough to be evicted for the need, and worth less.
    fn makes_way(&self, need: &fleet::ModelNeed<'_>, missing: u64) -> bool {
        let allowed = match need.may_evict {
            fleet::Eviction::None => false,
            fleet::Eviction::Idle => self.is_idle,
            fleet::Eviction::LessValuable => self.value * EVICTION_MARGIN < need.value,
        };
        allowed && self.bytes >= missing
    }
}

/// Returns how an engine could load the model, with the model to evict if memory is missing.
fn load_option<'a>(
    now: time::Instant,
    need: &fleet::ModelNeed<'_>,
    standing: &fleet::ModelStanding,
    engine: &round_engines::FreeEngine<'a>,
    may_fetch: bool,
) -> Option<fleet::LoadOption<'a>> {
    let record = engine.record;
    if record.model(&need.model.name).is_some() {
        return None;
    }
    let (mut load_duration, from_store) = load_costs::load_time(need.model, record);
    if from_store && !may_fetch {
        return None;
    }
    let copies = u32::try_from(standing.held + 1).unwrap_or(u32::MAX);
    let mut cost = standing.rate / f64::from(copies) * engine.rate * MEETING_COST;
    // Only models with many calls get further copies.
    if standing.held > 0 || standing.is_popular() {
        cost += (engine.pace - 1.0) * PACE_COST;
        if engine.serves_popular {
            cost += SHARED_ENGINE_COST;
        }
    }
    let mut victim = None;
    if engine.free_bytes < need.model.weights.0 {
        let missing = need.model.weights.0 - engine.free_bytes;
        let mut victims = engine.victims.iter();
        let evicted =
            victims.find(|held| held.evictable_in.is_zero() && held.makes_way(need, missing))?;
        cost += evicted.value;
        load_duration += evicted.unload_duration;
        victim = Some(evicted.model.clone());
    }
    if need
        .leaves_by
        .is_some_and(|leaves_by| now + load_duration >= leaves_by)
    {
        return None;
    }
    cost += load_duration.as_secs_f64();
    Some(fleet::LoadOption {
        record,
        victim,
        from_store,
        load_duration,
        cost,
    })
}

/// Returns the data centre of all engines that serve the model, if there is just one.
fn single_centre<'a>(
    round: &fleet::PlanRound<'a>,
    need: &fleet::ModelNeed<'_>,
    standing: &fleet::ModelStanding,
) -> Option<&'a name::DataCentreName> {
    if standing.held == 0 {
        return None;
    }
    let serving = round
        .records
        .iter()
        .filter(|record| load_costs::is_usable(record) && record.serves_model(&need.model.name));
    let mut centres = serving.map(|record| &record.data_centre);
    let first = centres.next()?;
    centres.all(|centre| centre == first).then_some(first)
}

/// Returns the shortest time in which a busy engine that has the weights nearby could load the model.
fn wait_for_busy_engine(
    engines: &fleet::RoundEngines<'_>,
    need: &fleet::ModelNeed<'_>,
) -> Option<time::Duration> {
    let near = engines.busy.iter().filter_map(|engine| {
        let (load_duration, from_store) = load_costs::load_time(need.model, engine.record);
        (!from_store).then_some(engine.remaining + load_duration)
    });
    near.min()
}

/// Returns the shortest time in which an engine without adapters in use could load the model that is
/// busy, or whose models have just been loaded.
fn wait_without_adapters(
    engines: &fleet::RoundEngines<'_>,
    need: &fleet::ModelNeed<'_>,
    may_fetch: bool,
) -> Option<time::Duration> {
    let busy = engines
        .busy
        .iter()
        .filter(|engine| !engine.hosts_adapters)
        .map(|engine| (engine.record, engine.remaining));
    let fresh = engines
        .free
        .iter()
        .filter(|engine| !engine.hosts_adapters)
        .filter_map(|engine| {
            let missing = need.model.weights.0.saturating_sub(engine.free_bytes);
            let mut victims = engine.victims.iter();
            let victim = victims.find(|victim| victim.makes_way(need, missing))?;
            Some((engine.record, victim.evictable_in + victim.unload_duration))
        });
    let waits = busy.chain(fresh).filter_map(|(record, remaining)| {
        let (load_duration, from_store) = load_costs::load_time(need.model, record);
        (may_fetch || !from_store).then_some(remaining + load_duration)
    });
    waits.min()
}
