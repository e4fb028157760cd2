//! Applies the receipts of orders and the observed state of engines to the plan.

use std::time;

use galenahold_domain::amount;
use galenahold_domain::fleet as domain;

use crate::fleet;
use crate::fleet::adapter_table;

/// Pause after an order that the engine could not execute at the time.
const BUSY_BACKOFF: time::Duration = time::Duration::from_millis(700);

/// Pause after an order that the engine does not support.
const REFUSED_BACKOFF: time::Duration = time::Duration::from_secs(5);

impl fleet::FleetPlanner {
    /// Applies the receipt of an order.
    pub fn apply_receipt(
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
                fleet::OrderReceipt::Unanswered => plan.adapters.mark_unconfirmed(adapter, now),
                _ => plan.adapters.free(adapter),
            },
            fleet::OrderAction::UnloadAdapter(adapter) => {
                if receipt == fleet::OrderReceipt::Done {
                    plan.adapters.free(adapter);
                } else {
                    // The adapter may still be loaded, so it occupies its slot until a notice shows
                    // otherwise.
                    plan.adapters
                        .reserve(adapter.clone(), time::Duration::ZERO, now);
                    plan.adapters.mark_unconfirmed(adapter, now);
                }
            }
            fleet::OrderAction::LoadModel(model) => {
                let from_store = plan.order.as_ref().is_some_and(|open| open.from_store);
                apply_model_receipt(plan, order, receipt, now);
                match receipt {
                    fleet::OrderReceipt::Accepted | fleet::OrderReceipt::Done => {}
                    fleet::OrderReceipt::Unanswered => {
                        self.throughput.record_unknown(order.number);
                    }
                    _ => self.throughput.record_refusal(order.number, now),
                }
                if receipt == fleet::OrderReceipt::Unanswered {
                    let until = now + adapter_table::LATE_ORDER_TIME;
                    plan.add_unconfirmed_load(model.clone(), bytes, from_store, until);
                }
            }
            fleet::OrderAction::UnloadModel(_) => apply_model_receipt(plan, order, receipt, now),
        }
    }

    /// Compares an engine's record with the model order in progress there, and closes the order if
    /// it has ended or timed out.
    pub(super) fn reconcile_order(
        &mut self,
        round: &fleet::PlanRound<'_>,
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
        let mut sample = None;
        if held == loads {
            if loads && order.from_store {
                sample = Some((order.number, order.started_at));
            }
            if !loads {
                plan.adapters.free_model(&model);
            }
            plan.order = None;
        } else if now >= order.timeout_at {
            let bytes = round
                .model(&model)
                .map_or(amount::ByteCount(0), |model| model.weights);
            if loads {
                let until = now + adapter_table::LATE_ORDER_TIME;
                let from_store = order.from_store;
                let number = order.number;
                plan.add_unconfirmed_load(model.clone(), bytes, from_store, until);
                self.throughput.record_unknown(number);
            }
            let plan = self.plan_of(&record.name, record.started_ms);
            plan.order = None;
            plan.evicting_for = None;
        } else {
            return;
        }
        if record.loading.is_some() {
            step.loading.push((record.name.clone(), None));
        }
        let declared = round.model(&model).map(|model| model.store_load);
        if let (Some((number, started_at)), Some(declared)) = (sample, declared) {
            let took = now.saturating_duration_since(started_at);
            let concurrent_loads = self.throughput.record_end(number, declared, took, now);
            step.store_sample = Some(fleet::StoreSample {
                model,
                concurrent_loads,
                took,
                declared,
                max_concurrent_loads: self.throughput.max_concurrent_loads(),
            });
        }
    }
}

/// Closes a model order that the engine did not accept, and pauses further model orders.
pub(super) fn apply_model_receipt(
    plan: &mut fleet::ServerPlan,
    order: &fleet::EngineOrder,
    receipt: fleet::OrderReceipt,
    now: time::Instant,
) {
    let open = plan.order.as_ref();
    if open.is_none_or(|open| open.number != order.number) {
        return;
    }
    let backoff = match receipt {
        // The engine's next notices show the result.
        fleet::OrderReceipt::Accepted | fleet::OrderReceipt::Done => return,
        fleet::OrderReceipt::Refused => REFUSED_BACKOFF,
        fleet::OrderReceipt::Busy
        | fleet::OrderReceipt::Fenced
        | fleet::OrderReceipt::Misplaced
        | fleet::OrderReceipt::Unanswered
        | fleet::OrderReceipt::NotSent => BUSY_BACKOFF,
    };
    plan.order = None;
    plan.evicting_for = None;
    plan.backoff_until = Some(now + backoff);
}
