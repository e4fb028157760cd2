//! Whom an instance asks until it reaches the leader.

use std::mem;
use std::time;

use galenahold_domain::name;

use crate::leader;

/// Number of members that are asked at once: one of them may be lost.
const MEMBERS_AT_ONCE: usize = 2;

/// The state of a search for the leader.
///
/// While no leader is reachable, two members at once are asked in turn, until one serves the call
/// itself. A leader that could not be reached is tried again between them, since the members may know
/// no other.
#[derive(Debug, Clone)]
pub struct LeaderSearch {
    rotation: usize,
    /// Whether the last target were members.
    asked_members: bool,
}

impl LeaderSearch {
    /// Creates a search that begins at any position of the members' list.
    #[must_use]
    pub fn new(rotation: usize) -> Self {
        Self {
            rotation,
            asked_members: false,
        }
    }

    /// Returns whom the instance `own` asks next.
    pub fn next_target(
        &mut self,
        own: &name::InstanceName,
        view: &leader::LeaderView,
        members: &[name::InstanceName],
        now: time::Instant,
    ) -> leader::SearchTarget {
        if let Some(reachable) = view.reachable(now).filter(|name| *name != own) {
            return leader::SearchTarget::Leader(reachable.clone());
        }
        let avoided = view.avoided(now);
        if mem::take(&mut self.asked_members)
            && let Some(avoided) = avoided
        {
            return leader::SearchTarget::Leader(avoided.clone());
        }
        self.asked_members = true;
        let others = members.iter();
        let others = others.filter(|name| *name != own && Some(*name) != avoided);
        let others: Vec<&name::InstanceName> = others.collect();
        let start = self.rotation % others.len().max(1);
        let rotated = others[start..].iter().chain(&others[..start]);
        let asked = rotated.take(MEMBERS_AT_ONCE).copied().cloned();
        leader::SearchTarget::Members(asked.collect())
    }

    /// Records whether the last target served the call, instead of naming a leader or not answering.
    pub fn record_result(&mut self, served: bool) {
        if served {
            self.asked_members = false;
        } else if self.asked_members {
            self.rotation += MEMBERS_AT_ONCE;
        }
    }
}
