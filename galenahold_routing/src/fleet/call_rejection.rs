//! The rejection of calls that cannot be served in time.

use std::time;

use crate::fleet;

/// How long a slot is expected to stay occupied when all slots are.
const SLOT_TIME: time::Duration = time::Duration::from_millis(150);

/// Retry time of a call that finds no server at all.
const NO_SERVER_RETRY: time::Duration = time::Duration::from_millis(700);

/// Minimum retry time of a refused call.
const MIN_RETRY: time::Duration = time::Duration::from_millis(200);

/// Decides whether a call that cannot be placed now may wait or is refused.
#[derive(Debug)]
pub(super) struct CallRejection<'a> {
    /// The known servers.
    pub(super) servers: &'a fleet::ServerSet,
    /// The load times of models.
    pub(super) estimate: &'a fleet::LoadEstimate,
    /// When the instance stops.
    pub(super) closes_at: Option<time::Instant>,
    /// Until when the roster may lack servers that exist.
    pub(super) roster_complete_by: Option<time::Instant>,
    /// The time of the decision.
    pub(super) now: time::Instant,
}

impl CallRejection<'_> {
    /// Returns the reason to refuse a call that cannot be placed now, or `None` if it may wait.
    pub(super) fn refusal(
        &self,
        requirements: &fleet::CallRequirements,
        calls_ahead: usize,
        has_room: bool,
    ) -> Option<fleet::SchedulerRefusal> {
        let closes_at = self.closes_at.unwrap_or(requirements.wait_deadline);
        let until = requirements.wait_deadline.min(closes_at);
        let time_left = until.saturating_duration_since(self.now);
        let eligible = self.servers.eligible(requirements, self.now).count();
        let (cause, expected) = if let Some(rounds) = calls_ahead.checked_div(eligible) {
            let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
            (fleet::RefusalCause::Full, SLOT_TIME.saturating_mul(rounds))
        } else {
            let (cause, expected) = self.until_loaded(requirements);
            if let Some(opens_in) = self.servers.until_opened(requirements, self.now)
                && (cause == fleet::RefusalCause::NoServer || opens_in <= expected)
            {
                return Some(fleet::SchedulerRefusal {
                    cause: fleet::RefusalCause::Closed,
                    retry_after: opens_in,
                });
            }
            let roster_wait = self.roster_wait();
            (
                cause,
                roster_wait.map_or(expected, |wait| wait.min(expected)),
            )
        };
        let refused = expected >= time_left || !has_room;
        refused.then(|| fleet::SchedulerRefusal {
            cause,
            retry_after: expected.max(MIN_RETRY),
        })
    }

    /// Estimates when a server can take the call, if none can now.
    fn until_loaded(
        &self,
        requirements: &fleet::CallRequirements,
    ) -> (fleet::RefusalCause, time::Duration) {
        let mut of_service = self
            .servers
            .of_service(&requirements.service)
            .filter(|server| server.record.is_open())
            .peekable();
        let Some(target) = requirements
            .target
            .as_ref()
            .filter(|_| of_service.peek().is_some())
        else {
            return (fleet::RefusalCause::NoServer, NO_SERVER_RETRY);
        };
        let expected =
            self.estimate
                .until_loaded(&requirements.service, &target.model, of_service, self.now);
        (fleet::RefusalCause::NotLoaded, expected)
    }

    /// Returns the time until the roster lists all servers, or `None` if that time has passed.
    fn roster_wait(&self) -> Option<time::Duration> {
        let complete_by = self
            .roster_complete_by
            .filter(|complete_by| self.now < *complete_by)?;
        Some(complete_by - self.now)
    }
}
