//! Sequence of orders to one engine.

use std::time;

use crate::fleet;

/// Pause after an order whose outcome is unclear, since the engine's report lags.
const UNCERTAIN_BACKOFF: time::Duration = time::Duration::from_millis(700);

/// Pause after an engine refused an adapter order because it was busy or had counted other orders.
const ADAPTER_BACKOFF: time::Duration = time::Duration::from_millis(150);

/// Sequences the orders to one engine: they are sent one at a time.
///
/// Each order carries the number of orders that the engine has accepted so far. An unanswered
/// order, also one of an earlier leader, may still be executed seconds later. The engine executes
/// it only if its number is still current, that is, if no other order was accepted since, so that
/// later orders are based on what the engine really holds.
#[derive(Debug, Default)]
pub struct OrderQueue {
    /// The leadership term and the engine's start time for which the count is valid.
    key: (u64, u64),
    /// Number of orders that the engine has accepted since its start, if known.
    accepted_orders: Option<u64>,
    backoff_until: Option<time::Instant>,
}

impl OrderQueue {
    /// Resets the queue if the leadership term or the engine's start time has changed.
    pub fn begin_term(&mut self, term: u64, started_ms: u64) {
        if self.key != (term, started_ms) {
            *self = Self {
                key: (term, started_ms),
                accepted_orders: None,
                backoff_until: None,
            };
        }
    }

    /// Returns the number of orders that the engine has accepted since its start, if known.
    #[must_use]
    pub fn accepted_orders(&self) -> Option<u64> {
        self.accepted_orders
    }

    /// Applies an engine's report; returns false if its count is not reliable.
    ///
    /// A busy engine is executing an order of an earlier leader. An engine that holds other models
    /// or more adapters than `order` states has executed an order that is unknown here. In both
    /// cases another order could exceed the engine's memory.
    #[must_use]
    pub fn apply_report(
        &mut self,
        report: &fleet::EngineReport,
        order: &fleet::EngineOrder,
        now: time::Instant,
    ) -> bool {
        let mut models = report.models.iter();
        let same_models = report.models.len() == order.held.len()
            && models.all(|model| order.held.contains(model));
        let mut adapters = report.adapters.iter();
        let known_adapters = adapters.all(|adapter| order.adapters.contains(adapter));
        let consistent = same_models && known_adapters && !report.busy;
        if consistent {
            self.accepted_orders = Some(report.orders_taken);
        } else {
            self.backoff_until = Some(now + UNCERTAIN_BACKOFF);
        }
        consistent
    }

    /// Returns whether orders may be sent.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Updates the count of accepted orders by the receipt of an order.
    pub fn record_receipt(
        &mut self,
        action: &fleet::OrderAction,
        receipt: fleet::OrderReceipt,
        now: time::Instant,
    ) {
        match receipt {
            fleet::OrderReceipt::Accepted => self.advance(),
            fleet::OrderReceipt::Done => {
                // The engine counts an unload that completes at once, but not an order whose result
                // already holds.
                if matches!(
                    action,
                    fleet::OrderAction::UnloadAdapter(_) | fleet::OrderAction::UnloadModel(_)
                ) {
                    self.advance();
                }
            }
            fleet::OrderReceipt::Busy if !action.is_about_model() => {
                self.accepted_orders = None;
                self.backoff_until = Some(now + ADAPTER_BACKOFF);
            }
            fleet::OrderReceipt::Busy | fleet::OrderReceipt::Unanswered => {
                self.accepted_orders = None;
                self.backoff_until = Some(now + UNCERTAIN_BACKOFF);
            }
            fleet::OrderReceipt::Fenced
            | fleet::OrderReceipt::Misplaced
            | fleet::OrderReceipt::Refused
            | fleet::OrderReceipt::NotSent => {}
        }
    }

    fn advance(&mut self) {
        self.accepted_orders = self
            .accepted_orders
            .map(|accepted_orders| accepted_orders + 1);
    }
}
