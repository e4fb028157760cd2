//! Periodic planning of loads.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_placement::fleet as placement;
use log::info;

use crate::gateway;
use crate::gateway::control;
use crate::platform;
use crate::task;
use crate::timer;

/// How often loads are planned when nothing else triggers it.
const PLAN_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Minimum time between two planning rounds.
const MIN_PLAN_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Plans loads and executes the resulting orders while this member leads.
pub(crate) struct PlacementLoop<Dialect> {
    parts: sync::Arc<control::HandlerParts<Dialect>>,
    metrics: platform::FleetMetrics,
    tasks: task::TaskGroup,
}

impl<Dialect: gateway::FleetDialect> PlacementLoop<Dialect> {
    /// Creates a loop that executes its orders in `tasks`.
    pub(crate) fn new(
        parts: sync::Arc<control::HandlerParts<Dialect>>,
        metrics: platform::FleetMetrics,
        tasks: task::TaskGroup,
    ) -> Self {
        Self {
            parts,
            metrics,
            tasks,
        }
    }

    /// Starts a task that plans until the task group stops.
    pub(crate) fn start(self, timer: &timer::TimerService) {
        let mut subscription = timer.subscribe(PLAN_PERIOD);
        self.tasks.clone().spawn_until_stop(async move {
            loop {
                tokio::select! {
                    ticked = subscription.tick() => if ticked.is_none() {
                        return;
                    },
                    () = self.parts.replan.notified() => {}
                }
                self.plan_all();
                tokio::time::sleep(MIN_PLAN_INTERVAL).await;
            }
        });
    }

    fn plan_all(&self) {
        let Some(index) = self.parts.declaration() else {
            return;
        };
        for service in &index.declaration().services {
            if let Some(engine) = &service.engine {
                self.plan_service(service, engine);
            }
        }
    }

    fn plan_service(
        &self,
        service: &declaration::DeclaredService,
        engine: &declaration::DeclaredEngine,
    ) {
        let now = time::Instant::now();
        let planned = self.parts.if_leading(|leadership| {
            leadership.roster.expire(now);
            if now < leadership.orders_start_at {
                return None;
            }
            let before = leadership.roster.cursor(now);
            let records = leadership.roster.records();
            let step = leadership.planner.plan(&service.name, engine, records, now);
            for (server, model, retiring) in &step.retiring {
                leadership.roster.change(server, |record| {
                    for held in record.models.iter_mut().filter(|held| held.name == *model) {
                        held.retiring = *retiring;
                    }
                });
            }
            for (server, loading) in &step.loading {
                leadership
                    .roster
                    .change(server, |record| record.loading.clone_from(loading));
            }
            let changed = leadership.roster.cursor(now) != before;
            if let Some(sample) = &step.store_sample {
                log_store_sample(sample);
                let limit = i64::try_from(sample.max_concurrent_loads).unwrap_or(i64::MAX);
                self.metrics.store_limit.set(limit);
            }
            Some((leadership.term, step.orders, step.decisions, changed))
        });
        let Some(Some((term, orders, decisions, changed))) = planned else {
            return;
        };
        self.record_decisions(term, &decisions);
        if changed {
            self.parts.roster_changes.send_replace(());
        }
        for order in orders {
            let model = engine.model(order.action.model());
            let bytes = model.map_or(amount::ByteCount(0), |model| model.weights);
            self.execute_order(term, order, bytes);
        }
    }

    /// Counts and logs the decisions of a round, in one line.
    fn record_decisions(&self, term: u64, decisions: &[placement::LoadDecision]) {
        if decisions.is_empty() {
            return;
        }
        for decision in decisions {
            let evicts = decision.victim.is_some();
            let labels = platform::LoadLabels {
                step: if evicts { "eviction" } else { "load" },
                source: if decision.from_store { "store" } else { "near" },
            };
            self.metrics.load_decisions.get_or_create(&labels).inc();
        }
        let described: Vec<_> = decisions.iter().map(describe_decision).collect();
        info!(
            term = term,
            count = decisions.len(),
            loads = described.join("; ").as_str();
            "loads decided"
        );
    }

    fn execute_order(&self, term: u64, order: placement::EngineOrder, bytes: amount::ByteCount) {
        let parts = sync::Arc::clone(&self.parts);
        self.tasks.spawn_until_stop(async move {
            let receipt = parts.execute_order(term, &order, bytes).await;
            if receipt != placement::OrderReceipt::Accepted {
                parts.replan.notify_one();
            }
        });
    }
}

fn log_store_sample(sample: &placement::StoreSample) {
    info!(
        model:% = sample.model,
        beside = sample.concurrent_loads,
        took_ms = u64::try_from(sample.took.as_millis()).unwrap_or(u64::MAX),
        declared_ms = u64::try_from(sample.declared.as_millis()).unwrap_or(u64::MAX),
        at_once = sample.max_concurrent_loads;
        "load from the weight store ended"
    );
}

/// Returns a decision with its inputs as text: the model, the engine, and what the choice followed from.
fn describe_decision(decision: &placement::LoadDecision) -> String {
    let milliseconds = |span: time::Duration| span.as_millis().to_string();
    let optional = |span: Option<time::Duration>| span.map_or("-".to_owned(), milliseconds);
    let victim = decision.victim.as_ref();
    format!(
        "{} at {} source={} evicts={} urgency={:.2} value={:.2} rate={:.2} waiting={} due_ms={} \
         demand_age_ms={} expected_ms={}",
        decision.model,
        decision.server,
        if decision.from_store { "store" } else { "near" },
        victim.map_or("-", |model| model.as_str()),
        decision.urgency,
        decision.value,
        decision.rate,
        decision.waiting,
        optional(decision.earliest_due),
        optional(decision.demand_age),
        milliseconds(decision.expected),
    )
}
