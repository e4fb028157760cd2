//! Loads adapters on engines that hold their models, on request and in advance.

use std::collections;
use std::time;

use galenahold_domain::declaration;
use galenahold_domain::fleet as domain;

use crate::fleet;

/// Adapter slots of an engine that are kept free for the next adapter requests.
const FREE_ADAPTER_SLOTS: usize = 2;

/// Expected time until a slot becomes free at an engine whose adapter slots are all in use: a
/// stream ends every few hundred milliseconds.
const SLOT_RETRY: time::Duration = time::Duration::from_millis(250);

/// The part of an adapter's load time that does not depend on its size.
const ADAPTER_BASE_TIME: time::Duration = time::Duration::from_millis(5);

/// Load time of an adapter in milliseconds per megabyte.
const ADAPTER_MS_PER_MB: f64 = 0.25;

impl fleet::FleetPlanner {
    /// Decides how to serve a request for an adapter at an engine that holds its model.
    pub fn request_adapter(
        &mut self,
        record: &domain::ServerRecord,
        engine: &declaration::DeclaredEngine,
        adapter: &domain::HeldAdapter,
        now: time::Instant,
    ) -> fleet::AdapterDecision {
        let Some(model) = engine.model(&adapter.model) else {
            return fleet::AdapterDecision::Refused {
                reason: "the model is not declared",
                retry_in: None,
            };
        };
        if !record.serves_model(&adapter.model) {
            return fleet::AdapterDecision::Refused {
                reason: "the engine does not hold the model",
                retry_in: None,
            };
        }
        let plan = self.plan_of(&record.name, record.started_ms);
        if let Some(ready_in) = plan.adapters.ready_in(adapter, now) {
            plan.adapters.touch(adapter, now);
            return fleet::AdapterDecision::Available { ready_in };
        }
        if plan.adapters.is_unloading(adapter) {
            return fleet::AdapterDecision::Refused {
                reason: "the adapter is being unloaded",
                retry_in: Some(SLOT_RETRY),
            };
        }
        if let Some(order) = &plan.order {
            return fleet::AdapterDecision::Refused {
                reason: "the engine is executing a model order",
                retry_in: Some(order.ends_at.saturating_duration_since(now)),
            };
        }
        let slots = usize::try_from(engine.adapter_slots).unwrap_or(usize::MAX);
        let mut actions = Vec::new();
        if plan.adapters.len() >= slots {
            let Some(victim) = plan.adapters.victim(now) else {
                return fleet::AdapterDecision::Refused {
                    reason: "all adapter slots of the engine are in use",
                    retry_in: Some(SLOT_RETRY),
                };
            };
            plan.adapters.mark_unloading(&victim);
            actions.push(fleet::OrderAction::UnloadAdapter(victim));
        }
        let ready_in = adapter_load_time(model);
        plan.adapters.reserve(adapter.clone(), ready_in, now);
        plan.adapters.touch(adapter, now);
        actions.push(fleet::OrderAction::LoadAdapter(adapter.clone()));
        let orders = actions
            .into_iter()
            .map(|action| self.order(record, action))
            .collect();
        fleet::AdapterDecision::Order { orders, ready_in }
    }

    /// Unloads the least recently used adapter if the engine has too few free slots.
    ///
    /// While an engine loads a model, which takes seconds, it unloads no adapters. New adapters
    /// then depend on free slots.
    pub(super) fn free_adapter_slot(
        &mut self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
    ) -> Option<fleet::EngineOrder> {
        let slots = usize::try_from(round.engine.adapter_slots).unwrap_or(usize::MAX);
        let plan = self.plan_of(&record.name, record.started_ms);
        if !plan.accepts_model_order(round.now)
            || plan.adapters.retained() + FREE_ADAPTER_SLOTS <= slots
        {
            return None;
        }
        let victim = plan.adapters.victim(round.now)?;
        plan.adapters.mark_unloading(&victim);
        Some(self.order(record, fleet::OrderAction::UnloadAdapter(victim)))
    }

    /// Returns the adapters that some engine holds or may hold.
    pub(super) fn known_adapters(&self) -> collections::HashSet<domain::HeldAdapter> {
        let plans = self.servers.values();
        plans
            .flat_map(|plan| plan.adapters.known().cloned())
            .collect()
    }

    /// Loads an adapter that no engine holds before it is requested, if the engine has free slots.
    ///
    /// `known_adapters` are those that some engine holds or may hold; the loaded one is added.
    pub(super) fn preload_adapter(
        &mut self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
        known_adapters: &mut collections::HashSet<domain::HeldAdapter>,
    ) -> Option<fleet::EngineOrder> {
        let slots = usize::try_from(round.engine.adapter_slots).unwrap_or(usize::MAX);
        let plan = self.servers.get(&record.name)?;
        if !plan.accepts_model_order(round.now) || plan.adapters.len() + FREE_ADAPTER_SLOTS >= slots
        {
            return None;
        }
        let unloaded_adapter = record
            .models
            .iter()
            .filter(|held| !held.retiring)
            .filter_map(|held| round.model(&held.name))
            .flat_map(declared_adapters)
            .find(|adapter| !known_adapters.contains(adapter))?;
        known_adapters.insert(unloaded_adapter.clone());
        let ready_in = adapter_load_time(round.model(&unloaded_adapter.model)?);
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.adapters
            .reserve(unloaded_adapter.clone(), ready_in, round.now);
        Some(self.order(record, fleet::OrderAction::LoadAdapter(unloaded_adapter)))
    }
}

pub(super) fn declared_adapters(
    model: &declaration::DeclaredModel,
) -> impl Iterator<Item = domain::HeldAdapter> {
    model.adapters.iter().map(|adapter| domain::HeldAdapter {
        model: model.name.clone(),
        adapter: adapter.clone(),
    })
}

pub(super) fn adapter_load_time(model: &declaration::DeclaredModel) -> time::Duration {
    const BYTES_PER_MB: f64 = 1_000_000.0;
    #[expect(
        clippy::cast_precision_loss,
        reason = "adapter sizes are far below the range in which f64 loses precision"
    )]
    let megabytes = model.adapter.0 as f64 / BYTES_PER_MB;
    ADAPTER_BASE_TIME + time::Duration::from_secs_f64(megabytes * ADAPTER_MS_PER_MB / 1_000.0)
}
