//! The rejection of calls that cannot be served in time.

use std::time;

use crate::fleet;

/// How long a slot is expected to stay occupied when all slots are, before any call has ended.
const SLOT_TIME: time::Duration = time::Duration::from_millis(150);

/// Retry time of a call that finds no server at all.
const NO_SERVER_RETRY: time::Duration = time::Duration::from_millis(700);

/// Minimum retry time of a refused call.
const MIN_RETRY: time::Duration = time::Duration::from_millis(200);

/// Largest deviation of a retry time, as a share, so that refused callers do not return together.
const RETRY_JITTER: f64 = 0.3;

/// Increase of the retry time with each step of rank, as a share: the most urgent callers return first.
const RANK_SHARE: f64 = 0.25;

/// Ranks beyond this one do not increase the retry time further.
const LAST_RANK: u32 = 4;

/// Decides whether a call that cannot be placed now may wait or is refused.
///
/// Workload: callers compete for too few slots, and some calls are so late that a response would come after
/// their deadline. A call waits only as long as its response can still be complete.
#[derive(Debug)]
pub(super) struct CallRejection<'a> {
    /// The known servers.
    pub(super) servers: &'a fleet::ServerSet,
    /// What is known about the service; `None` before a declaration.
    pub(super) profile: Option<&'a fleet::ServiceProfile>,
    /// The load times of models.
    pub(super) estimate: &'a fleet::LoadEstimate,
    /// The number of instances that share the servers.
    pub(super) instances: u32,
    /// When the instance stops.
    pub(super) closes_at: Option<time::Instant>,
    /// Until when the roster may lack servers that exist.
    pub(super) roster_complete_by: Option<time::Instant>,
    /// The age of the view of other instances' calls.
    pub(super) view_age: Option<time::Duration>,
    /// The time of the decision.
    pub(super) now: time::Instant,
}

/// When a server is expected to take a call that cannot be placed now.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedWait {
    cause: fleet::RefusalCause,
    /// Time until a server can take the call.
    wait: time::Duration,
}

impl CallRejection<'_> {
    /// Predicts the wait of a call behind `calls_ahead` others.
    pub(super) fn expected_wait(
        &self,
        requirements: &fleet::CallRequirements,
        block: fleet::SelectionBlock,
        calls_ahead: usize,
    ) -> ExpectedWait {
        if self
            .servers
            .eligible(requirements, self.now)
            .next()
            .is_some()
        {
            return ExpectedWait {
                cause: fleet::RefusalCause::Full,
                wait: self.slot_wait(requirements, block, calls_ahead),
            };
        }
        let (cause, wait) = self.until_loaded(requirements);
        if let Some(opens_in) = self.servers.until_opened(requirements, self.now)
            && (cause == fleet::RefusalCause::NoServer || opens_in <= wait)
        {
            return ExpectedWait {
                cause: fleet::RefusalCause::Closed,
                wait: opens_in,
            };
        }
        let roster_wait = self.roster_wait();
        ExpectedWait {
            cause,
            wait: roster_wait.map_or(wait, |roster_wait| roster_wait.min(wait)),
        }
    }

    /// Returns the refusal of a call that may not wait, or `None` if it may.
    pub(super) fn refusal(
        &self,
        requirements: &fleet::CallRequirements,
        latest_start: time::Instant,
        expected: ExpectedWait,
        has_room: bool,
    ) -> Option<fleet::SchedulerRefusal> {
        let until = self
            .closes_at
            .map_or(latest_start, |closes_at| latest_start.min(closes_at));
        let time_left = until.saturating_duration_since(self.now);
        let ExpectedWait { cause, wait } = expected;
        let is_refused = if cause == fleet::RefusalCause::Closed {
            // A server that states a pause takes no call before its end.
            true
        } else {
            wait >= time_left || !has_room
        };
        is_refused.then(|| fleet::SchedulerRefusal {
            cause,
            retry_after: spread(cause, wait, requirements),
        })
    }

    /// Returns when a call has to be sent at the latest: its response can then still be complete before the
    /// deadline and begin before a caller abandons it.
    pub(super) fn latest_start(&self, requirements: &fleet::CallRequirements) -> time::Instant {
        let ends_at = requirements.wait_deadline.min(requirements.deadline);
        let forecast = requirements.target.as_ref().and_then(|target| {
            let paces = self
                .servers
                .eligible(requirements, self.now)
                .map(fleet::SchedulerServer::pace);
            let best = paces.min_by(f64::total_cmp).unwrap_or(1.0);
            let idle = fleet::CallUse::default();
            self.profile?
                .forecast(&target.model, &requirements.work, best, idle, 1)
        });
        let Some(forecast) = forecast else {
            return ends_at;
        };
        let begins_by = requirements.wait_deadline.checked_sub(forecast.first);
        let complete_by = requirements.deadline.checked_sub(forecast.total);
        let latest = begins_by
            .unwrap_or(self.now)
            .min(complete_by.unwrap_or(self.now));
        latest.min(ends_at)
    }

    /// Predicts when one of the servers that hold the call's model has a slot for it.
    fn slot_wait(
        &self,
        requirements: &fleet::CallRequirements,
        block: fleet::SelectionBlock,
        calls_ahead: usize,
    ) -> time::Duration {
        if block == fleet::SelectionBlock::Prompt {
            return time::Duration::ZERO;
        }
        let weight = fleet::ViewWeight::at_age(self.view_age);
        let (mut servers, mut above, mut own_slots) = (0, 0, 0.0);
        for server in self.servers.eligible(requirements, self.now) {
            let used = server.total(weight);
            servers += 1;
            above += used.running.saturating_sub(server.record.slots);
            own_slots += server.own_slots(self.instances);
        }
        let calls_ahead = u32::try_from(calls_ahead).unwrap_or(u32::MAX);
        let duration_s = self
            .profile
            .and_then(fleet::ServiceProfile::mean_duration_s)
            .filter(|_| requirements.target.is_some() && own_slots > 0.0);
        let Some(duration_s) = duration_s else {
            let rounds = calls_ahead.checked_div(servers).unwrap_or(0);
            return SLOT_TIME.saturating_mul(rounds);
        };
        let share = own_slots / self.all_slots(requirements).max(1.0);
        let before = f64::from(calls_ahead) + f64::from(above) * share.min(1.0);
        fleet::duration(before * duration_s / own_slots)
    }

    fn all_slots(&self, requirements: &fleet::CallRequirements) -> f64 {
        let servers = self.servers.eligible(requirements, self.now);
        servers.map(|server| f64::from(server.record.slots)).sum()
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

/// Returns the time after which a refused caller should return, given when its call can be served.
fn spread(
    cause: fleet::RefusalCause,
    wait: time::Duration,
    requirements: &fleet::CallRequirements,
) -> time::Duration {
    let [high, low, ..] = requirements.draw.to_be_bytes().map(f64::from);
    let chance = (high * 256.0 + low) / 65_536.0;
    let rank_factor = 1.0 + RANK_SHARE * f64::from(requirements.rank.min(LAST_RANK));
    match cause {
        // The end of a pause is stated by the server.
        fleet::RefusalCause::Closed => wait,
        fleet::RefusalCause::NoServer => wait.max(MIN_RETRY),
        // Before the load completes a retry is of no use.
        fleet::RefusalCause::NotLoaded => wait.max(MIN_RETRY).mul_f64(1.0 + RETRY_JITTER * chance),
        fleet::RefusalCause::Full => {
            let jitter = 1.0 + RETRY_JITTER * (2.0 * chance - 1.0);
            wait.max(MIN_RETRY).mul_f64(jitter * rank_factor)
        }
    }
}
