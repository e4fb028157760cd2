//! Limit on the requests that wait for tokens.

use std::collections;
use std::sync;

use galenahold_domain::name;

/// Limits the number of requests that wait for tokens. A team may hold at most as many permits as are
/// free, so that no single team locks out the others.
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

/// The permit of one waiting request; dropping it releases the permit.
#[derive(Debug)]
pub(crate) struct WaitPermit {
    wait_limit: WaitLimit,
    team: name::TeamName,
}

impl WaitLimit {
    /// Creates a limit with `max_permits` permits in total.
    pub(crate) fn new(max_permits: usize) -> Self {
        Self {
            max_permits,
            permits: sync::Arc::default(),
        }
    }

    /// Acquires a permit; `None` if the team has reached its share.
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
