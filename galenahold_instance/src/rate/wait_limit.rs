//! Bounds how many requests wait for tokens.

use std::collections;
use std::sync;

use galenahold_domain::name;

/// Bounds how many requests wait for tokens: a team may hold as many places as are still free, so that
/// one team alone never shuts the others out.
#[derive(Debug, Clone)]
pub(crate) struct WaitLimit {
    max_permits: usize,
    permits: sync::Arc<sync::Mutex<PermitCounts>>,
}

#[derive(Debug, Default)]
struct PermitCounts {
    total: usize,
    by_team: collections::HashMap<name::TeamName, usize>,
}

/// The place of one request; dropping it frees the place.
#[derive(Debug)]
pub(crate) struct WaitPermit {
    wait_limit: WaitLimit,
    team: name::TeamName,
}

impl WaitLimit {
    /// Creates a room with so many places.
    pub(crate) fn new(max_permits: usize) -> Self {
        Self {
            max_permits,
            permits: sync::Arc::default(),
        }
    }

    /// Takes a place, unless the team's part of the room is full.
    pub(crate) fn try_acquire(&self, team: &name::TeamName) -> Option<WaitPermit> {
        let mut counts = self.lock();
        let held = counts.by_team.get(team).copied().unwrap_or(0);
        if held >= self.max_permits.saturating_sub(counts.total) {
            return None;
        }
        counts.total += 1;
        counts.by_team.insert(team.clone(), held + 1);
        drop(counts);
        Some(WaitPermit {
            wait_limit: self.clone(),
            team: team.clone(),
        })
    }

    fn release(&self, team: &name::TeamName) {
        let mut counts = self.lock();
        counts.total -= 1;
        let Some(held) = counts.by_team.get_mut(team) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            counts.by_team.remove(team);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PermitCounts> {
        self.permits
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for WaitPermit {
    fn drop(&mut self) {
        self.wait_limit.release(&self.team);
    }
}
