//! The orders to one engine.

use std::time;

use crate::fleet;

/// How long an engine gets no order after one whose end is not clear: its report lags.
const UNCERTAIN_BACKOFF: time::Duration = time::Duration::from_millis(700);

/// How long an engine gets no order after it refused one about an adapter: it has no hand free, or its
/// count is another.
const ADAPTER_BACKOFF: time::Duration = time::Duration::from_millis(150);

/// The orders to one engine, which go out one after the other.
///
/// Each order names the count of orders that the engine has taken. An order that was never answered may be
/// carried out seconds later, also one of an earlier leader: named counts let it pass only if nothing was
/// ordered since, so that what is ordered next rests on what the engine really holds.
#[derive(Debug, Default)]
pub struct OrderQueue {
    /// The leadership and the engine's start that the counts are of.
    key: (u64, u64),
    /// Orders that the engine has taken since its start, where that is known.
    accepted_orders: Option<u64>,
    backoff_until: Option<time::Instant>,
}

impl OrderQueue {
    /// Begins anew where the leadership or the engine's start is another.
    pub fn begin_term(&mut self, term: u64, started_ms: u64) {
        if self.key != (term, started_ms) {
            *self = Self {
                key: (term, started_ms),
                accepted_orders: None,
                backoff_until: None,
            };
        }
    }

    /// Returns how many orders the engine has taken since its start, where that is known.
    #[must_use]
    pub fn accepted_orders(&self) -> Option<u64> {
        self.accepted_orders
    }

    /// Takes up an engine's report; false where its count cannot be built on.
    ///
    /// An engine that is busy carries out an order that an earlier leader gave, and one that holds other
    /// models or further adapters than `order` says has carried one out that is not known here: what is
    /// ordered on top could be more than it has room for.
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

    /// Returns whether orders may go out.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }

    /// Counts an order by its receipt.
    pub fn count(
        &mut self,
        action: &fleet::OrderAction,
        receipt: fleet::OrderReceipt,
        now: time::Instant,
    ) {
        match receipt {
            fleet::OrderReceipt::Accepted => self.advance(),
            fleet::OrderReceipt::Done => {
                // An unload that was done at once counts as an order; what held already does not.
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
