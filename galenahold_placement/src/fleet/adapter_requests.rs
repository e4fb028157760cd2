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

    /// Returns where the adapters are that the engines of the round hold or may hold.
    pub(super) fn adapter_spreads(
        &self,
        round: &fleet::PlanRound<'_>,
    ) -> collections::HashMap<domain::HeldAdapter, AdapterSpread> {
        let mut spreads = collections::HashMap::<_, AdapterSpread>::new();
        let names = round.records.iter().map(|record| &record.name);
        for plan in names.filter_map(|name| self.servers.get(name)) {
            for (adapter, in_use) in plan.adapters.uses(round.now) {
                let spread = spreads.entry(adapter.clone()).or_default();
                spread.engines += 1;
                spread.in_use |= in_use;
            }
        }
        spreads
    }

    /// Loads an adapter before it is requested, if the engine has free slots: first one in use that a
    /// single other engine holds, then one that no engine holds.
    ///
    /// The loaded adapter is added to `spreads`.
    pub(super) fn preload_adapter(
        &mut self,
        round: &fleet::PlanRound<'_>,
        record: &domain::ServerRecord,
        spreads: &mut collections::HashMap<domain::HeldAdapter, AdapterSpread>,
    ) -> Option<fleet::EngineOrder> {
        let slots = usize::try_from(round.engine.adapter_slots).unwrap_or(usize::MAX);
        let plan = self.servers.get(&record.name)?;
        if !plan.accepts_model_order(round.now) || plan.adapters.len() + FREE_ADAPTER_SLOTS >= slots
        {
            return None;
        }
        let mut absent = None;
        let mut single = None;
        let held = record.models.iter().filter(|held| !held.retiring);
        for adapter in held
            .filter_map(|held| round.model(&held.name))
            .flat_map(declared_adapters)
        {
            match spreads.get(&adapter) {
                None => {
                    absent.get_or_insert(adapter);
                }
                Some(spread) if spread.is_at_risk() && !plan.adapters.knows(&adapter) => {
                    single = Some(adapter);
                    break;
                }
                Some(_) => {}
            }
        }
        let adapter = single.or(absent)?;
        spreads.entry(adapter.clone()).or_default().engines += 1;
        let ready_in = adapter_load_time(round.model(&adapter.model)?);
        let plan = self.plan_of(&record.name, record.started_ms);
        plan.adapters.reserve(adapter.clone(), ready_in, round.now);
        Some(self.order(record, fleet::OrderAction::LoadAdapter(adapter)))
    }
}

/// Engines that hold or may hold an adapter.
#[derive(Debug, Default)]
pub(super) struct AdapterSpread {
    engines: usize,
    in_use: bool,
}

impl AdapterSpread {
    /// Returns whether requests for the adapter fail while one engine loads a model or is lost.
    fn is_at_risk(&self) -> bool {
        self.in_use && self.engines == 1
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
