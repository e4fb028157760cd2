//! The orders to one engine.

use std::time;

use galenahold_placement::fleet as placement;

/// How long an engine gets no order after one whose end is not clear: its report lags.
const QUIET_TIME: time::Duration = time::Duration::from_millis(700);

/// The orders to one engine, which go out one after the other.
#[derive(Debug, Default)]
pub(super) struct OrderLine {
    /// The leadership and the engine's start that the counts are of.
    key: (u64, u64),
    /// Orders that the engine has taken since its start, where that is known.
    pub(super) taken: Option<u64>,
    quiet_until: Option<time::Instant>,
}

impl OrderLine {
    /// Begins anew where the leadership or the engine's start is another.
    pub(super) fn enter(&mut self, term: u64, started_ms: u64) {
        if self.key != (term, started_ms) {
            *self = Self {
                key: (term, started_ms),
                taken: None,
                quiet_until: None,
            };
        }
    }

    /// Returns whether orders may go out.
    pub(super) fn is_open(&self, now: time::Instant) -> bool {
        self.quiet_until.is_none_or(|until| now >= until)
    }

    /// Counts an order by its receipt.
    pub(super) fn count(
        &mut self,
        action: &placement::OrderAction,
        receipt: placement::OrderReceipt,
        now: time::Instant,
    ) {
        match receipt {
            placement::OrderReceipt::Accepted => self.advance(),
            placement::OrderReceipt::Done => {
                // An unload that was done at once counts as an order; what held already does not.
                if matches!(
                    action,
                    placement::OrderAction::UnloadAdapter(_)
                        | placement::OrderAction::UnloadModel(_)
                ) {
                    self.advance();
                }
            }
            placement::OrderReceipt::Busy | placement::OrderReceipt::Unanswered => {
                self.taken = None;
                self.quiet_until = Some(now + QUIET_TIME);
            }
            placement::OrderReceipt::Fenced
            | placement::OrderReceipt::Misplaced
            | placement::OrderReceipt::Refused
            | placement::OrderReceipt::NotSent => {}
        }
    }

    fn advance(&mut self) {
        self.taken = self.taken.map(|taken| taken + 1);
    }
}
