//! Recent loads of each team.

use std::collections;
use std::time;

use galenahold_domain::name;

/// Time constant of the exponential decay.
const DECAY_TIME: time::Duration = time::Duration::from_secs(30);

/// Exponentially decaying count of the loads made for each team.
#[derive(Debug, Default)]
pub(super) struct TeamLoads {
    teams: collections::BTreeMap<name::TeamName, DecayingCount>,
}

#[derive(Debug)]
struct DecayingCount {
    count: f64,
    at: time::Instant,
}

impl TeamLoads {
    pub(super) fn record(&mut self, team: &name::TeamName, loads: f64, now: time::Instant) {
        let count = self.count(team, now) + loads;
        self.teams
            .insert(team.clone(), DecayingCount { count, at: now });
    }

    pub(super) fn count(&self, team: &name::TeamName, now: time::Instant) -> f64 {
        self.teams.get(team).map_or(0.0, |decaying| {
            let age = now.saturating_duration_since(decaying.at);
            decaying.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
        })
    }
}
