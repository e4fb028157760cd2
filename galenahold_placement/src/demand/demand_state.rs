//! Demand for one model or adapter, summed over all instances.

use std::collections;
use std::time;

use galenahold_domain::name;

use crate::demand;

/// Latest demand of each instance for one model or adapter, with the totals over all instances.
#[derive(Debug, Default)]
pub(crate) struct DemandState {
    by_instance: collections::BTreeMap<name::InstanceName, InstanceDemand>,
    waiting: u32,
    oldest_since: Option<time::Instant>,
}

#[derive(Debug)]
struct InstanceDemand {
    waiting: u32,
    oldest_since: time::Instant,
    teams: Vec<demand::TeamDemand>,
}

impl DemandState {
    /// Replaces the demand that the instance reported before.
    pub(crate) fn update(
        &mut self,
        instance: &name::InstanceName,
        demand: &demand::ArtifactDemand,
        now: time::Instant,
    ) {
        if demand.waiting == 0 {
            self.remove(instance);
            return;
        }
        let reported = InstanceDemand {
            waiting: demand.waiting,
            oldest_since: now.checked_sub(demand.oldest_wait).unwrap_or(now),
            teams: demand.teams.clone(),
        };
        self.by_instance.insert(instance.clone(), reported);
        self.update_totals();
    }

    /// Removes the demand of an instance.
    pub(crate) fn remove(&mut self, instance: &name::InstanceName) {
        if self.by_instance.remove(instance).is_some() {
            self.update_totals();
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns when the oldest waiting request arrived.
    pub(crate) fn oldest_since(&self) -> Option<time::Instant> {
        self.oldest_since
    }

    /// Returns the waiting requests by team, separately for each instance.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &demand::TeamDemand> {
        self.by_instance.values().flat_map(|demand| &demand.teams)
    }

    fn update_totals(&mut self) {
        let demands = self.by_instance.values();
        self.waiting = demands.map(|demand| demand.waiting).sum();
        let demands = self.by_instance.values();
        self.oldest_since = demands.map(|demand| demand.oldest_since).min();
    }
}
