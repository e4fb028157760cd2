//! The times that a team's rejected calls were told to come back at.

use std::time;

/// The maximum number of reservations that are kept for a team.
const MAX_RESERVATIONS: usize = 4_096;

/// The reservations of a team's rejected calls.
///
/// A reservation holds no tokens. It only keeps later rejected calls from being told the same time.
#[derive(Debug, Default)]
pub(super) struct RetrySchedule {
    reservations: Vec<RetryReservation>,
}

#[derive(Debug)]
struct RetryReservation {
    rank: u32,
    tokens: u64,
    due_at: time::Instant,
}

impl RetrySchedule {
    /// Returns the tokens of calls that will come back before a call of this rank: of its own and of more
    /// urgent ranks.
    pub(super) fn tokens_before(&mut self, rank: u32, now: time::Instant) -> u64 {
        self.reservations
            .retain(|reservation| reservation.due_at > now);
        let before = self.reservations.iter();
        let before = before.filter(|reservation| reservation.rank <= rank);
        before.map(|reservation| reservation.tokens).sum()
    }

    /// Reserves the tokens of a rejected call for the time that it is told.
    pub(super) fn reserve(&mut self, rank: u32, tokens: u64, due_at: time::Instant) {
        if self.reservations.len() < MAX_RESERVATIONS {
            self.reservations.push(RetryReservation {
                rank,
                tokens,
                due_at,
            });
        }
    }
}
