//! The known leader, and whether it is reachable.

use std::time;

use galenahold_domain::name;

use crate::leader;

/// How long a leader that could not be reached is avoided.
const AVOIDANCE_TIME: time::Duration = time::Duration::from_secs(10);

/// The shortest limit of a call whose timeout says something about the instance that was called.
pub const MIN_PROOF_TIME: time::Duration = time::Duration::from_millis(300);

/// The leader that an instance knows from the hints of others, and whether it can be reached.
#[derive(Debug, Clone, Default)]
pub struct LeaderView {
    hint: leader::LeaderHint,
    unreachable: Option<UnreachableLeader>,
}

/// A leader that this instance could not reach, although others may.
#[derive(Debug, Clone)]
struct UnreachableLeader {
    name: name::InstanceName,
    /// The known term when the leader could not be reached.
    term: u64,
    until: time::Instant,
}

impl LeaderView {
    /// Returns the known leader, reachable or not.
    #[must_use]
    pub fn known(&self) -> Option<&name::InstanceName> {
        self.hint.name.as_ref()
    }

    /// Returns the known leader, unless it is avoided as unreachable.
    #[must_use]
    pub fn reachable(&self, now: time::Instant) -> Option<&name::InstanceName> {
        self.known().filter(|name| self.avoided(now) != Some(name))
    }

    /// Returns the last leader that could not be reached, while it is avoided: for a limited time, and
    /// until it leads a later term.
    #[must_use]
    pub fn avoided(&self, now: time::Instant) -> Option<&name::InstanceName> {
        let unreachable = self.unreachable.as_ref()?;
        let leads_again =
            self.known() == Some(&unreachable.name) && self.hint.term > unreachable.term;
        (now < unreachable.until && !leads_again).then_some(&unreachable.name)
    }

    /// Takes a hint over, unless it is of an earlier term than that of a reachable leader: the instance
    /// that gave it has not noticed the new leader yet.
    ///
    /// Returns whether it was taken over. Without a reachable leader, an earlier term may be that of a
    /// group that was founded anew.
    pub fn accept(&mut self, hint: leader::LeaderHint, now: time::Instant) -> bool {
        let is_earlier = hint.term != 0 && hint.term < self.hint.term;
        if is_earlier && self.reachable(now).is_some() {
            return false;
        }
        let term = if hint.term == 0 {
            self.hint.term
        } else {
            hint.term
        };
        self.hint = leader::LeaderHint { term, ..hint };
        true
    }

    /// Records that an instance did not answer a call within its limit; the leader is then avoided.
    ///
    /// A call that had hardly any time left when it was sent says nothing.
    pub fn record_timeout(
        &mut self,
        target: &name::InstanceName,
        limit: time::Duration,
        now: time::Instant,
    ) {
        if limit >= MIN_PROOF_TIME {
            self.record_unreachable(target, now);
        }
    }

    /// Records that an instance could not be reached; the leader is then avoided.
    pub fn record_unreachable(&mut self, target: &name::InstanceName, now: time::Instant) {
        if self.known() == Some(target) {
            self.unreachable = Some(UnreachableLeader {
                name: target.clone(),
                term: self.hint.term,
                until: now + AVOIDANCE_TIME,
            });
        }
    }

    /// Records that an instance has answered as the leader; it is avoided no longer.
    pub fn record_reached(&mut self, target: &name::InstanceName) {
        self.unreachable
            .take_if(|unreachable| unreachable.name == *target);
    }
}
