//! Decides what the engines of declared services load and unload.

use std::collections;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::adapter_table;

/// Loads from the weight store that are under way at once: further ones only slow each other down.
const STORE_LOADS_AT_ONCE: usize = 4;

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

/// How long a model is kept after its load, so that those who waited for it are served.
const KEEP_AFTER_LOAD: time::Duration = time::Duration::from_millis(1_200);

/// How much more a model has to be worth than the one that is unloaded for it.
const EVICTION_MARGIN: f64 = 1.5;

/// What a waiting request is worth against a request a second.
const WAITING_WEIGHT: f64 = 1.0;

/// The share of its worth that a further copy of a model has.
const FURTHER_COPY_SHARE: f64 = 0.3;

/// How long a server rests after an order that it could not take.
const BUSY_REST: time::Duration = time::Duration::from_millis(700);

/// How long a server rests after an order that it does not know.
const REFUSED_REST: time::Duration = time::Duration::from_secs(5);

/// How much longer than expected the end of an order may stay unseen.
const ORDER_SLACK: time::Duration = time::Duration::from_secs(4);

/// How long an unload may take, which waits for runs to end.
const UNLOAD_TIME: time::Duration = time::Duration::from_secs(12);

/// Adapter places of an engine that are kept free for adapters that are asked for next.
const FREE_ADAPTER_PLACES: usize = 2;

/// Loads from the store under way at once up to which models are fetched that nobody asks for.
const EARLY_LOADS_AT_ONCE: usize = STORE_LOADS_AT_ONCE - 1;

/// Requests a second below which a model counts as idle.
const IDLE_RATE: f64 = 0.06;

/// How long an unload is expected to take at an engine where no run of the model is under way.
const IDLE_UNLOAD: time::Duration = time::Duration::from_millis(60);

/// What a run under way adds to what it costs to unload its model, which waits for the run to end.
const RUNNING_COST: f64 = 0.4;

/// By how much longer a load counts at an engine that holds adapters.
const ADAPTER_HOST_FACTOR: f64 = 1.5;

/// The part of an adapter's load that does not depend on its size.
const ADAPTER_BASE: time::Duration = time::Duration::from_millis(5);

/// Milliseconds that a megabyte of an adapter takes to load.
const ADAPTER_MS_PER_MB: f64 = 0.25;

/// Decides what the engines of declared services load and unload, for one leadership.
///
/// A model that is asked for and loaded nowhere goes first, at the engine where its weights are nearest
/// and what has to go for it is asked for least. Models with many requests at a copy get further copies.
/// An order that was not answered keeps its memory taken until it can no longer be carried out, so that
/// no engine is ever ordered to hold more than it can.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    servers: collections::BTreeMap<name::ServerName, fleet::ServerPlan>,
    interest: collections::BTreeMap<(name::ServiceName, name::ModelName), fleet::ModelInterest>,
    store: fleet::StoreWindow,
    next_number: u64,
}

/// What is known in one round of planning.
struct PlanRound<'a> {
    service: &'a name::ServiceName,
    engine: &'a declaration::DeclaredEngine,
    records: Vec<&'a domain::ServerRecord>,
    now: time::Instant,
}

/// A model that should be loaded once more.
struct ModelNeed<'a> {
    model: &'a declaration::DeclaredModel,
    worth: f64,
    /// Which other models may be unloaded for it.
    may_evict: Eviction,
}

/// Which models may be unloaded for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Eviction {
    /// None.
    None,
    /// Idle ones that can be loaded again without the weight store.
    Idle,
    /// Those that are worth less.
    WorthLess,
}

/// A way to load a model at an engine.
struct LoadOption<'a> {
    record: &'a domain::ServerRecord,
    victim: Option<name::ModelName>,
    from_store: bool,
    takes: time::Duration,
    cost: f64,
}

impl FleetPlanner {
    /// Takes up an entry instance's count of a model.
    pub fn note_demand(
        &mut self,
        instance: &name::InstanceName,
        key: (name::ServiceName, name::ModelName),
        counts: fleet::DemandCounts,
        now: time::Instant,
    ) {
        self.interest
            .entry(key)
            .or_insert_with(|| fleet::ModelInterest::new(now))
            .note(
                instance,
                counts.arrivals,
                counts.waiting,
                counts.running,
                now,
            );
    }

    /// Takes up that a request was sent to an adapter.
    pub fn note_adapter_use(
        &mut self,
        server: &name::ServerName,
        adapter: &domain::HeldAdapter,
        now: time::Instant,
    ) {
        if let Some(plan) = self.servers.get_mut(server) {
            plan.adapters.touch(adapter, now);
        }
    }

    /// Takes up the adapters that an engine says it holds.
    pub fn note_adapters(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
        held: &[domain::HeldAdapter],
        now: time::Instant,
    ) {
        self.plan_of(server, started_ms).adapters.follow(held, now);
    }

    /// Decides on a wish for an adapter at an engine that holds its model.
    pub fn want_adapter(
        &mut self,
        record: &domain::ServerRecord,
        engine: &declaration::DeclaredEngine,
        adapter: &domain::HeldAdapter,
        now: time::Instant,
    ) -> fleet::AdapterDecision {
        let Some(model) = engine.model(&adapter.model) else {
            return fleet::AdapterDecision::Refused {
                reason: "the model is not declared",
            };
        };
        if !record.serves_model(&adapter.model) {
            return fleet::AdapterDecision::Refused {
                reason: "the engine does not hold the model",
            };
        }
        let plan = self.plan_of(&record.name, record.started_ms);
        if let Some(ready_in) = plan.adapters.ready_in(adapter, now) {
            plan.adapters.touch(adapter, now);
            return fleet::AdapterDecision::Comes { ready_in };
        }
        if plan.order.is_some() {
            return fleet::AdapterDecision::Refused {
                reason: "the engine carries an order about a model out",
            };
        }
        let slots = usize::try_from(engine.adapter_slots).unwrap_or(usize::MAX);
        let mut actions = Vec::new();
        if plan.adapters.len() >= slots {
            let Some(victim) = plan.adapters.victim(now) else {
                return fleet::AdapterDecision::Refused {
                    reason: "all adapter places of the engine are in use",
                };
            };
            plan.adapters.free(&victim);
            actions.push(fleet::OrderAction::UnloadAdapter(victim));
        }
        let ready_in = adapter_time(model);
        plan.adapters.reserve(adapter.clone(), ready_in, now);
        actions.push(fleet::OrderAction::LoadAdapter(adapter.clone()));
        let orders = actions
            .into_iter()
            .map(|action| self.order(record, action))
            .collect();
        fleet::AdapterDecision::Order { orders, ready_in }
    }

    /// Plans for one service of engines.
    pub fn plan<'a>(
        &mut self,
        service: &'a name::ServiceName,
        engine: &'a declaration::DeclaredEngine,
        records: impl Iterator<Item = &'a domain::ServerRecord>,
        now: time::Instant,
    ) -> fleet::PlanStep {
        let round = PlanRound {
            service,
            engine,
            records: records
                .filter(|record| record.service == *service)
                .collect(),
            now,
        };
        let mut step = fleet::PlanStep::default();
        for record in &round.records {
            self.follow(&round, record, &mut step);
        }
        for record in round.records.iter().filter(|record| is_usable(record)) {
            step.orders.extend(self.free_adapter_place(&round, record));
            step.orders.extend(self.early_adapter(&round, record));
        }
        let mut taken = collections::HashSet::new();
        self.load_into_made_room(&round, &mut taken, &mut step);
        for need in self.needs(&round) {
            let Some(option) = self.best_option(&round, &need, &taken) else {
                continue;
            };
            taken.insert(option.record.name.clone());
            self.take_option(&round, &need, &option, &mut step);
        }
        self.load_early(&round, &mut taken, &mut step);
        step
    }

    /// Takes up the receipt of an order.
    pub fn settle(
        &mut self,
        order: &fleet::EngineOrder,
        receipt: fleet::OrderReceipt,
        bytes: amount::ByteCount,
        now: time::Instant,
    ) {
        let Some(plan) = self.servers.get_mut(&order.server) else {
            return;
        };
        if plan.started_ms != order.started_ms {
            return;
        }
        match &order.action {
            fleet::OrderAction::LoadAdapter(adapter) => match receipt {
                fleet::OrderReceipt::Accepted | fleet::OrderReceipt::Done => {}
                fleet::OrderReceipt::Unanswered => plan.adapters.doubt(adapter, now),
                _ => plan.adapters.free(adapter),
            },
            fleet::OrderAction::UnloadAdapter(adapter) => {
                if receipt != fleet::OrderReceipt::Done {
                    // It may still be there and takes its place until a notice shows otherwise.
                    plan.adapters
                        .reserve(adapter.clone(), time::Duration::ZERO, now);
                    plan.adapters.doubt(adapter, now);
                }
            }
            fleet::OrderAction::LoadModel(model) => {
                settle_model_order(plan, order, receipt, now);
                if receipt == fleet::OrderReceipt::Unanswered {
                    let until = now + adapter_table::LATE_ORDER_TIME;
                    plan.doubt(model.clone(), bytes, until);
                }
            }
            fleet::OrderAction::UnloadModel(_) => settle_model_order(plan, order, receipt, now),
        }
    }

    fn plan_of(&mut self, server: &name::ServerName, started_ms: u64) -> &mut fleet::ServerPlan {
        let plan = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| fleet::ServerPlan::new(started_ms));
        if plan.started_ms < started_ms {
            *plan = fleet::ServerPlan::new(started_ms);
        }
        plan
    }

    /// Compares an engine's record with the order under way there.
    fn follow(
        &mut self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
        step: &mut fleet::PlanStep,
    ) {
        let now = round.now;
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.held_since
            .retain(|model, _| record.model(model).is_some());
        for model in &record.models {
            plan.held_since.entry(model.name.clone()).or_insert(now);
        }
        let Some(order) = &plan.order else {
            if record.loading.is_some() {
                step.loading.push((record.name.clone(), None));
            }
            for model in record.models.iter().filter(|model| model.retiring) {
                step.retiring
                    .push((record.name.clone(), model.name.clone(), false));
            }
            return;
        };
        let model = order.action.model().clone();
        let loads = matches!(order.action, fleet::OrderAction::LoadModel(_));
        let held = record.model(&model).is_some();
        if held == loads {
            if !loads {
                plan.adapters.free_model(&model);
            }
            plan.order = None;
        } else if now >= order.due_at {
            let bytes = round
                .engine
                .model(&model)
                .map_or(amount::ByteCount(0), |model| model.weights);
            if loads {
                let until = now + adapter_table::LATE_ORDER_TIME;
                plan.doubt(model, bytes, until);
            }
            plan.order = None;
            plan.next = None;
        } else {
            return;
        }
        if record.loading.is_some() {
            step.loading.push((record.name.clone(), None));
        }
    }

    /// Unloads the adapter that was unused for longest where too few places are free.
    ///
    /// While an engine loads a model, which takes seconds, it unloads no adapter: only free places serve
    /// new adapters then.
    fn free_adapter_place(
        &mut self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
    ) -> Option<fleet::EngineOrder> {
        let slots = usize::try_from(round.engine.adapter_slots).unwrap_or(usize::MAX);
        let plan = self.plan_of(&record.name, record.started_ms);
        if !plan.is_free(round.now) || plan.adapters.len() + FREE_ADAPTER_PLACES <= slots {
            return None;
        }
        let victim = plan.adapters.victim(round.now)?;
        plan.adapters.free(&victim);
        Some(self.order(record, fleet::OrderAction::UnloadAdapter(victim)))
    }

    /// Loads an adapter that no engine holds, before it is asked for, where places are free.
    fn early_adapter(
        &mut self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
    ) -> Option<fleet::EngineOrder> {
        let slots = usize::try_from(round.engine.adapter_slots).unwrap_or(usize::MAX);
        let plan = self.servers.get(&record.name)?;
        if !plan.is_free(round.now) || plan.adapters.len() + FREE_ADAPTER_PLACES >= slots {
            return None;
        }
        let wanted = record
            .models
            .iter()
            .filter(|held| !held.retiring)
            .filter_map(|held| round.engine.model(&held.name))
            .flat_map(declared_adapters)
            .find(|adapter| {
                let held = |plan: &fleet::ServerPlan| plan.adapters.may_hold(adapter);
                !self.servers.values().any(held)
            })?;
        let ready_in = adapter_time(round.engine.model(&wanted.model)?);
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.adapters.reserve(wanted.clone(), ready_in, round.now);
        Some(self.order(record, fleet::OrderAction::LoadAdapter(wanted)))
    }

    /// Fetches models from the weight store of which no engine has a copy, before they are asked for.
    ///
    /// Only idle models make way that come back from the engine's own disk: whichever of the two is asked
    /// for next, nobody waits for the weight store any more. Once requests come, some of the store's pace
    /// is left to models that are asked for.
    fn load_early(
        &mut self,
        round: &PlanRound<'_>,
        taken: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        let most = if self.interest.is_empty() {
            STORE_LOADS_AT_ONCE
        } else {
            EARLY_LOADS_AT_ONCE
        };
        for model in &round.engine.models {
            if self.store_loads() + self.rooms_in_making() >= most {
                return;
            }
            if has_copy(round, &model.name) || self.copies(round, &model.name).1 > 0 {
                continue;
            }
            let need = ModelNeed {
                model,
                worth: 0.0,
                may_evict: Eviction::Idle,
            };
            if let Some(option) = self.best_option(round, &need, taken) {
                taken.insert(option.record.name.clone());
                self.take_option(round, &need, &option, step);
            }
        }
    }

    /// Counts the engines where a model makes way for another one.
    fn rooms_in_making(&self) -> usize {
        let plans = self.servers.values();
        plans.filter(|plan| plan.next.is_some()).count()
    }

    /// Goes on where a model was unloaded to make room for another.
    fn load_into_made_room(
        &mut self,
        round: &PlanRound<'_>,
        taken: &mut collections::HashSet<name::ServerName>,
        step: &mut fleet::PlanStep,
    ) {
        for record in round.records.iter().filter(|record| is_usable(record)) {
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
            let need = ModelNeed {
                model,
                worth: 0.0,
                may_evict: Eviction::None,
            };
            if let Some(option) = self.option(round, &need, record, self.store_loads()) {
                taken.insert(record.name.clone());
                self.take_option(round, &need, &option, step);
            }
        }
    }

    /// Lists the models that should be loaded, the worthiest first.
    fn needs<'a>(&self, round: &PlanRound<'a>) -> Vec<ModelNeed<'a>> {
        let mut needs: Vec<_> = round
            .engine
            .models
            .iter()
            .filter_map(|model| self.need(round, model))
            .collect();
        needs.sort_by(|one, other| other.worth.total_cmp(&one.worth));
        needs
    }

    fn need<'a>(
        &self,
        round: &PlanRound<'a>,
        model: &'a declaration::DeclaredModel,
    ) -> Option<ModelNeed<'a>> {
        let interest = self
            .interest
            .get(&(round.service.clone(), model.name.clone()))?;
        let now = round.now;
        let (held, coming) = self.copies(round, &model.name);
        let copies = held + coming;
        if copies == 0 {
            let wanted = interest.waiting(now) > 0 || interest.idle_for(now) < RECENT;
            return Some(ModelNeed {
                model,
                worth: self.worth(round, &model.name),
                may_evict: if wanted {
                    Eviction::WorthLess
                } else {
                    Eviction::None
                },
            });
        }
        let load = interest.running(now) + interest.waiting(now);
        let copies = u32::try_from(copies).unwrap_or(u32::MAX);
        let full = load > copies * REQUESTS_PER_COPY
            || interest.rate(now) > f64::from(copies) * RATE_PER_COPY;
        (coming < COPIES_COMING && full).then(|| ModelNeed {
            model,
            worth: self.worth(round, &model.name) * FURTHER_COPY_SHARE,
            may_evict: Eviction::WorthLess,
        })
    }

    /// Returns what it is worth that a model is loaded at all.
    fn worth(&self, round: &PlanRound<'_>, model: &name::ModelName) -> f64 {
        let key = (round.service.clone(), model.clone());
        self.interest.get(&key).map_or(0.0, |interest| {
            interest.rate(round.now) + f64::from(interest.waiting(round.now)) * WAITING_WEIGHT
        })
    }

    /// Counts the engines that hold a model and those that load it.
    fn copies(&self, round: &PlanRound<'_>, model: &name::ModelName) -> (usize, usize) {
        let usable = round.records.iter().filter(|record| is_usable(record));
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

    fn best_option<'a>(
        &mut self,
        round: &PlanRound<'a>,
        need: &ModelNeed<'_>,
        taken: &collections::HashSet<name::ServerName>,
    ) -> Option<LoadOption<'a>> {
        let store_loads = self.store_loads();
        let mut best: Option<LoadOption<'a>> = None;
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
    fn cost_of_waiting(
        &self,
        round: &PlanRound<'_>,
        need: &ModelNeed<'_>,
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

    fn option<'a>(
        &mut self,
        round: &PlanRound<'_>,
        need: &ModelNeed<'_>,
        record: &'a domain::ServerRecord,
        store_loads: usize,
    ) -> Option<LoadOption<'a>> {
        let now = round.now;
        let plan = self.plan_of(&record.name, record.started_ms);
        if !plan.is_free(now) || plan.next.is_some() || record.model(&need.model.name).is_some() {
            return None;
        }
        let doubtful = plan.doubtful_bytes(|model| record.model(model).is_some(), now);
        let (takes, from_store) = load_time(need.model, record);
        if from_store {
            let room = self.store.has_room(round.engine.store_loads_per_s, now);
            if store_loads >= STORE_LOADS_AT_ONCE || !room {
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
            if need.may_evict == Eviction::WorthLess && worth * EVICTION_MARGIN >= need.worth {
                return None;
            }
            cost += worth;
            victim = Some(model);
        }
        Some(LoadOption {
            record,
            victim,
            from_store,
            takes,
            cost,
        })
    }

    /// Finds the model of an engine that is worth least there and large enough.
    fn victim(
        &self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
        missing: u64,
        eviction: Eviction,
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

    fn may_go(
        &self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
        model: &name::ModelName,
        eviction: Eviction,
    ) -> bool {
        match eviction {
            Eviction::None => false,
            Eviction::Idle => self.is_spare(round, record, model),
            Eviction::WorthLess => true,
        }
    }

    /// Returns whether a model is idle and comes back without the weight store.
    ///
    /// Models with adapters are left alone: they are the ones that many ask for.
    fn is_spare(
        &self,
        round: &PlanRound<'_>,
        record: &domain::ServerRecord,
        name: &name::ModelName,
    ) -> bool {
        let near = record.in_memory.contains(name) || record.on_disk.contains(name);
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

    /// Returns what it costs to unload one copy of a model now.
    fn cost_of_unload(&self, round: &PlanRound<'_>, model: &name::ModelName) -> f64 {
        let key = (round.service.clone(), model.clone());
        let interest = self.interest.get(&key);
        let running = interest.map_or(0, |interest| interest.running(round.now));
        let (held, _) = self.copies(round, model);
        let there = f64::from(running) / f64::from(u32::try_from(held.max(1)).unwrap_or(u32::MAX));
        self.worth_there(round, model) + there * RUNNING_COST
    }

    /// Returns what one copy of a model is worth.
    fn worth_there(&self, round: &PlanRound<'_>, model: &name::ModelName) -> f64 {
        let worth = self.worth(round, model);
        let (held, _) = self.copies(round, model);
        match u32::try_from(held).unwrap_or(u32::MAX) {
            0 | 1 => worth,
            copies => worth * FURTHER_COPY_SHARE / f64::from(copies),
        }
    }

    fn take_option(
        &mut self,
        round: &PlanRound<'_>,
        need: &ModelNeed<'_>,
        option: &LoadOption<'_>,
        step: &mut fleet::PlanStep,
    ) {
        let record = option.record;
        let model = need.model.name.clone();
        let (action, takes) = if let Some(victim) = &option.victim {
            step.retiring
                .push((record.name.clone(), victim.clone(), true));
            (fleet::OrderAction::UnloadModel(victim.clone()), UNLOAD_TIME)
        } else {
            if option.from_store {
                self.store.count(round.now);
            }
            let loading = domain::ModelLoading {
                model: model.clone(),
                expected_ms: u64::try_from(option.takes.as_millis()).unwrap_or(u64::MAX),
            };
            step.loading.push((record.name.clone(), Some(loading)));
            (
                fleet::OrderAction::LoadModel(model.clone()),
                option.takes * 2,
            )
        };
        let order = self.order(record, action.clone());
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.next = option.victim.is_some().then_some(model);
        plan.order = Some(fleet::OpenOrder {
            number: order.number,
            action,
            from_store: option.from_store && option.victim.is_none(),
            ends_at: round.now
                + if option.victim.is_some() {
                    IDLE_UNLOAD + option.takes
                } else {
                    option.takes
                },
            due_at: round.now + takes + ORDER_SLACK,
        });
        step.orders.push(order);
    }

    fn store_loads(&self) -> usize {
        let orders = self.servers.values().filter_map(|plan| plan.order.as_ref());
        orders.filter(|order| order.from_store).count()
    }

    fn order(
        &mut self,
        record: &domain::ServerRecord,
        action: fleet::OrderAction,
    ) -> fleet::EngineOrder {
        self.next_number += 1;
        fleet::EngineOrder {
            number: self.next_number,
            server: record.name.clone(),
            started_ms: record.started_ms,
            address: record.address,
            held: record.models.iter().map(|held| held.name.clone()).collect(),
            action,
        }
    }
}

fn settle_model_order(
    plan: &mut fleet::ServerPlan,
    order: &fleet::EngineOrder,
    receipt: fleet::OrderReceipt,
    now: time::Instant,
) {
    let open = plan.order.as_ref();
    if open.is_none_or(|open| open.number != order.number) {
        return;
    }
    let rest = match receipt {
        // The engine's next notices show what it holds.
        fleet::OrderReceipt::Accepted | fleet::OrderReceipt::Done => return,
        fleet::OrderReceipt::Refused => REFUSED_REST,
        fleet::OrderReceipt::Busy
        | fleet::OrderReceipt::Fenced
        | fleet::OrderReceipt::Misplaced
        | fleet::OrderReceipt::Unanswered
        | fleet::OrderReceipt::NotSent => BUSY_REST,
    };
    plan.order = None;
    plan.next = None;
    plan.rests_until = Some(now + rest);
}

/// Returns whether orders and requests may go to an engine.
fn is_usable(record: &domain::ServerRecord) -> bool {
    record.is_open() && !record.silent && !record.leaves_soon
}

/// Returns how long a load takes at an engine, and whether it needs the weight store.
fn load_time(
    model: &declaration::DeclaredModel,
    record: &domain::ServerRecord,
) -> (time::Duration, bool) {
    if record.in_memory.contains(&model.name) {
        (model.memory_load, false)
    } else if record.on_disk.contains(&model.name) {
        (model.disk_load, false)
    } else {
        (model.store_load, true)
    }
}

/// Returns the memory for weights that is free, with room kept for all adapter places.
fn free_bytes(engine: &declaration::DeclaredEngine, record: &domain::ServerRecord) -> u64 {
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

/// Returns whether an engine holds the model, or its weights near by.
fn has_copy(round: &PlanRound<'_>, name: &name::ModelName) -> bool {
    round.records.iter().any(|record| {
        record.model(name).is_some()
            || record.in_memory.contains(name)
            || record.on_disk.contains(name)
    })
}

fn declared_adapters(
    model: &declaration::DeclaredModel,
) -> impl Iterator<Item = domain::HeldAdapter> {
    model.adapters.iter().map(|adapter| domain::HeldAdapter {
        model: model.name.clone(),
        adapter: adapter.clone(),
    })
}

fn adapter_time(model: &declaration::DeclaredModel) -> time::Duration {
    const BYTES_PER_MB: f64 = 1_000_000.0;
    #[expect(clippy::cast_precision_loss, reason = "an adapter has far fewer bytes")]
    let megabytes = model.adapter.0 as f64 / BYTES_PER_MB;
    ADAPTER_BASE + time::Duration::from_secs_f64(megabytes * ADAPTER_MS_PER_MB / 1_000.0)
}
