//! Which attempts of a call may still be made.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

/// Sends of one call at most, those that provably did not run included.
const MAX_SENDS: u32 = 4;

/// Objectives that an answer of a repeatable call may take until another server is tried.
const SLOW_OBJECTIVES: u32 = 2;

/// Which attempts of a call may still be made.
#[derive(Debug, Clone)]
pub(super) struct AttemptPlan {
    kind: declaration::CallKind,
    max_runs: u32,
    objective: time::Duration,
    sends: u32,
    runs: u32,
    tried: Vec<name::ServerName>,
}

impl AttemptPlan {
    /// Creates the plan of a call on a route.
    pub(super) fn new(route: &declaration::DeclaredRoute) -> Self {
        Self {
            kind: route.kind,
            max_runs: route.max_attempts.max(1),
            objective: route.objective,
            sends: 0,
            runs: 0,
            tried: Vec::new(),
        }
    }

    /// Returns the servers that were tried.
    pub(super) fn tried(&self) -> &[name::ServerName] {
        &self.tried
    }

    /// Returns how many times the call was sent.
    pub(super) fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that a server is passed over from now on.
    pub(super) fn exclude(&mut self, server: &name::ServerName) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
    }

    /// Notes a send.
    pub(super) fn begin_send(&mut self, server: &name::ServerName) {
        self.sends += 1;
        self.exclude(server);
    }

    /// Notes that the last send may have run.
    pub(super) fn record_possible_run(&mut self) {
        self.runs += 1;
    }

    /// Returns whether any send may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether the call may be sent again after a send that provably did not run.
    pub(super) fn may_resend(&self) -> bool {
        self.sends < MAX_SENDS
    }

    /// Returns whether the call may be sent again after a send that may have run.
    pub(super) fn may_repeat(&self) -> bool {
        self.kind.may_repeat() && self.runs < self.max_runs && self.sends < MAX_SENDS
    }

    /// Returns until when the head of an answer is waited for, before another server is tried.
    pub(super) fn answer_deadline(
        &self,
        now: time::Instant,
        deadline: time::Instant,
    ) -> time::Instant {
        let last = self.runs + 1 >= self.max_runs || !self.kind.may_repeat();
        if last {
            return deadline;
        }
        deadline.min(now + self.objective * SLOW_OBJECTIVES)
    }
}
