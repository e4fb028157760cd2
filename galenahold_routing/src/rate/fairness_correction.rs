//! Fleet-wide correction of the weights in fair queues.

use std::collections;
use std::time;

use galenahold_domain::name;

/// Decay time of the counts of served tokens.
const AVERAGING_TIME: time::Duration = time::Duration::from_secs(2);

/// Minimum factor by which a weight is reduced.
const MIN_FACTOR: f64 = 0.02;

/// Exponent by which the excess over the fair share reduces a weight.
const EXCESS_EXPONENT: i32 = 4;

/// Corrects the weights of teams by the tokens that they were served over the whole fleet.
///
/// An instance sees only its own queues. A team that is served more than its fair share of the whole
/// fleet gets a lower weight at every instance, by the fourth power of its excess; other teams keep
/// their weights.
#[derive(Debug, Default)]
pub struct FairnessCorrection {
    teams: collections::BTreeMap<name::TeamName, ServedShare>,
}

#[derive(Debug)]
struct ServedShare {
    weight: f64,
    served: f64,
    updated_at: time::Instant,
}

impl FairnessCorrection {
    /// Sets the weight that the intent gives a team.
    pub fn set_weight(&mut self, team: &name::TeamName, weight: u32, now: time::Instant) {
        let share = self.share_mut(team, now);
        share.weight = f64::from(weight.max(1));
    }

    /// Removes a team.
    pub fn remove(&mut self, team: &name::TeamName) {
        self.teams.remove(team);
    }

    /// Records tokens that a team was served at any instance.
    #[expect(
        clippy::cast_precision_loss,
        reason = "shares need no more than 52 bits"
    )]
    pub fn record(&mut self, team: &name::TeamName, tokens: u64, now: time::Instant) {
        let share = self.share_mut(team, now);
        share.decay(now);
        share.served += tokens as f64;
    }

    /// Returns a team's corrected weight.
    #[must_use]
    pub fn weight(&self, team: &name::TeamName, now: time::Instant) -> f64 {
        let Some(own) = self.teams.get(team) else {
            return 1.0;
        };
        let active = self
            .teams
            .values()
            .filter(|share| share.served_at(now) >= 1.0);
        let (weights, served) = active.fold((0.0, 0.0), |(weights, served), share| {
            (weights + share.weight, served + share.served_at(now))
        });
        let own_served = own.served_at(now);
        if own_served < 1.0 || served <= 0.0 {
            return own.weight;
        }
        let fair = own.weight / weights;
        let actual = own_served / served;
        let shortfall = fair / actual;
        own.weight * shortfall.powi(EXCESS_EXPONENT).clamp(MIN_FACTOR, 1.0)
    }

    fn share_mut(&mut self, team: &name::TeamName, now: time::Instant) -> &mut ServedShare {
        self.teams.entry(team.clone()).or_insert(ServedShare {
            weight: 1.0,
            served: 0.0,
            updated_at: now,
        })
    }
}

impl ServedShare {
    fn served_at(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.served * (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: time::Instant) {
        self.served = self.served_at(now);
        self.updated_at = now;
    }
}
