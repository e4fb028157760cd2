//! Decides what the engines of declared services load and unload.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;
use galenahold_domain::name;

use crate::fleet;
use crate::fleet::load_choices;

/// How much longer than expected the end of an order may stay unseen.
const ORDER_SLACK: time::Duration = time::Duration::from_secs(4);

/// How long an unload may take, which waits for runs to end.
const UNLOAD_TIME: time::Duration = time::Duration::from_secs(12);

/// How long an unload is expected to take at an engine where no run of the model is under way.
const IDLE_UNLOAD: time::Duration = time::Duration::from_millis(60);

/// Decides what the engines of declared services load and unload, for one leadership.
///
/// A model that is asked for and loaded nowhere goes first, at the engine where its weights are nearest
/// and what has to go for it is asked for least. Models with many requests at a copy get further copies.
/// An order that was not answered keeps its memory taken until it can no longer be carried out, so that
/// no engine is ever ordered to hold more than it can.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    pub(super) servers: collections::BTreeMap<name::ServerName, fleet::ServerPlan>,
    pub(super) interest:
        collections::BTreeMap<(name::ServiceName, name::ModelName), fleet::AggregateDemand>,
    pub(super) store: fleet::StoreWindow,
    pub(super) pace: fleet::StoreThroughput,
    pub(super) next_number: u64,
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
            .or_insert_with(|| fleet::AggregateDemand::new(now))
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

    /// Plans for one service of engines.
    pub fn plan<'a>(
        &mut self,
        service: &'a name::ServiceName,
        engine: &'a declaration::DeclaredEngine,
        records: impl Iterator<Item = &'a domain::ServerRecord>,
        now: time::Instant,
    ) -> fleet::PlanStep {
        let round = fleet::PlanRound {
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
        for record in round
            .records
            .iter()
            .filter(|record| load_choices::is_usable(record))
        {
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

    pub(super) fn plan_of(
        &mut self,
        server: &name::ServerName,
        started_ms: u64,
    ) -> &mut fleet::ServerPlan {
        let plan = self
            .servers
            .entry(server.clone())
            .or_insert_with(|| fleet::ServerPlan::new(started_ms));
        if plan.started_ms < started_ms {
            *plan = fleet::ServerPlan::new(started_ms);
        }
        plan
    }

    pub(super) fn take_option(
        &mut self,
        round: &fleet::PlanRound<'_>,
        need: &fleet::ModelNeed<'_>,
        option: &fleet::LoadOption<'_>,
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
        let beside = self.store_loads(round) + 1;
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.next = option.victim.is_some().then_some(model);
        plan.order = Some(fleet::OpenOrder {
            number: order.number,
            action,
            from_store: option.from_store && option.victim.is_none(),
            began_at: round.now,
            beside,
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

    pub(super) fn order(
        &mut self,
        record: &domain::ServerRecord,
        action: fleet::OrderAction,
    ) -> fleet::EngineOrder {
        self.next_number += 1;
        let plan = self.servers.get(&record.name);
        let known = plan.into_iter().flat_map(|plan| plan.adapters.known());
        // One that is to go keeps its place until the engine says that it is gone.
        let adapters = known.chain(action.adapter()).cloned().collect();
        fleet::EngineOrder {
            adapters,
            number: self.next_number,
            server: record.name.clone(),
            started_ms: record.started_ms,
            address: record.address,
            held: record.models.iter().map(|held| held.name.clone()).collect(),
            action,
        }
    }
}
