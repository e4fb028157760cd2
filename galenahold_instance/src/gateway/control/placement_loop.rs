//! Plans loads and carries them out while this member leads.

use std::sync;
use std::time;

use galenahold_domain::amount;
use galenahold_domain::declaration;
use galenahold_placement::fleet as placement;
use log::info;

use crate::gateway;
use crate::gateway::control;
use crate::task;
use crate::timer;

/// How often the placement is looked at where nothing happens.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// The shortest time between two looks.
const MIN_REST: time::Duration = time::Duration::from_millis(20);

/// Plans loads and carries them out while this member leads.
pub(crate) struct PlacementLoop<Dialect> {
    parts: sync::Arc<control::HandlerParts<Dialect>>,
    tasks: task::TaskGroup,
}

impl<Dialect: gateway::FleetDialect> PlacementLoop<Dialect> {
    /// Creates a loop whose orders belong to `tasks`.
    pub(crate) fn new(
        parts: sync::Arc<control::HandlerParts<Dialect>>,
        tasks: task::TaskGroup,
    ) -> Self {
        Self { parts, tasks }
    }

    /// Plans until the tasks stop.
    pub(crate) fn start(self, timer: &timer::TimerService) {
        let mut subscription = timer.subscribe(LOOK_PERIOD);
        self.tasks.clone().spawn_until_stop(async move {
            loop {
                tokio::select! {
                    ticked = subscription.tick() => if ticked.is_none() {
                        return;
                    },
                    () = self.parts.planning.notified() => {}
                }
                self.look();
                tokio::time::sleep(MIN_REST).await;
            }
        });
    }

    fn look(&self) {
        let Some(index) = self.parts.declaration() else {
            return;
        };
        for service in &index.declaration().services {
            if let Some(engine) = &service.engine {
                self.look_at(service, engine);
            }
        }
    }

    fn look_at(
        &self,
        service: &declaration::DeclaredService,
        engine: &declaration::DeclaredEngine,
    ) {
        let now = time::Instant::now();
        let planned = self.parts.lead(|leadership| {
            leadership.roster.expire(now);
            if now < leadership.orders_from {
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
            let moved = leadership.roster.cursor(now) != before;
            if let Some(news) = &step.store_throughput {
                log_store_pace(news);
            }
            Some((leadership.term, step.orders, moved))
        });
        let Some(Some((term, orders, moved))) = planned else {
            return;
        };
        if moved {
            self.parts.roster_moves.send_replace(());
        }
        for order in orders {
            let model = engine.model(order.action.model());
            let bytes = model.map_or(amount::ByteCount(0), |model| model.weights);
            self.carry_out(term, order, bytes);
        }
    }

    fn carry_out(&self, term: u64, order: placement::EngineOrder, bytes: amount::ByteCount) {
        let parts = sync::Arc::clone(&self.parts);
        self.tasks.spawn_until_stop(async move {
            let receipt = parts.carry_out(term, &order, bytes).await;
            if receipt != placement::OrderReceipt::Accepted {
                parts.planning.notify_one();
            }
        });
    }
}

fn log_store_pace(news: &placement::StoreSample) {
    info!(
        model:% = news.model,
        beside = news.beside,
        took_ms = u64::try_from(news.took.as_millis()).unwrap_or(u64::MAX),
        declared_ms = u64::try_from(news.declared.as_millis()).unwrap_or(u64::MAX),
        at_once = news.at_once;
        "load from the weight store ended"
    );
}
