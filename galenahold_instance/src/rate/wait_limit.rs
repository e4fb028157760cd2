//! Bounds how many requests wait for tokens.

use std::collections;
use std::sync;

use galenahold_domain::name;

/// Bounds how many requests wait for tokens: a team may hold as many places as are still free, so that
/// one team alone never shuts the others out.
#[derive(Debug, Clone)]
pub(crate) struct WaitLimit {
    most: usize,
    places: sync::Arc<sync::Mutex<PlaceCounts>>,
}

#[derive(Debug, Default)]
struct PlaceCounts {
    total: usize,
    by_team: collections::HashMap<name::TeamName, usize>,
}

/// The place of one request; dropping it frees the place.
#[derive(Debug)]
pub(crate) struct WaitingPlace {
    wait_limit: WaitLimit,
    team: name::TeamName,
}

impl WaitLimit {
    /// Creates a room with so many places.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most,
            places: sync::Arc::default(),
        }
    }

    /// Takes a place, unless the team's part of the room is full.
    pub(crate) fn enter(&self, team: &name::TeamName) -> Option<WaitingPlace> {
        let mut counts = self.lock();
        let held = counts.by_team.get(team).copied().unwrap_or(0);
        if held >= self.most.saturating_sub(counts.total) {
            return None;
        }
        counts.total += 1;
        counts.by_team.insert(team.clone(), held + 1);
        drop(counts);
        Some(WaitingPlace {
            wait_limit: self.clone(),
            team: team.clone(),
        })
    }

    fn leave(&self, team: &name::TeamName) {
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

    fn lock(&self) -> sync::MutexGuard<'_, PlaceCounts> {
        self.places
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.wait_limit.leave(&self.team);
    }
}
