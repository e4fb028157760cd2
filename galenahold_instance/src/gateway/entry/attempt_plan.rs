//! Retry rules of a call.

use std::time;

use galenahold_domain::declaration;
use galenahold_domain::name;

/// Maximum sends of one call, including sends that provably did not run.
const MAX_SENDS: u32 = 4;

/// How many latency objectives the answer to a repeatable call may take before another server is
/// tried.
const SLOW_OBJECTIVES: u32 = 2;

/// Tracks the attempts of a call and decides which further ones are allowed.
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
    /// Creates the plan of a call on the given route.
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

    /// Returns the servers that were tried or excluded.
    pub(super) fn tried(&self) -> &[name::ServerName] {
        &self.tried
    }

    /// Returns whether the call was sent to the server before.
    pub(super) fn was_sent_to(&self, server: &name::ServerName) -> bool {
        self.tried.contains(server)
    }

    /// Returns how many times the call was sent.
    pub(super) fn sends(&self) -> u32 {
        self.sends
    }

    /// Excludes a server from further attempts.
    pub(super) fn exclude(&mut self, server: &name::ServerName) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
    }

    /// Records a send to the given server.
    pub(super) fn record_send(&mut self, server: &name::ServerName) {
        self.sends += 1;
        self.exclude(server);
    }

    /// Records that the last send may have run.
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

    /// Returns the deadline for the answer's head, after which another server is tried if one is
    /// allowed.
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
