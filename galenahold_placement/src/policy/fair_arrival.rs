//! Load order by waiting time, with fairness between teams.

use crate::policy;

/// Loads the artifact with the oldest waiting request first, and lowers the score of teams that had
/// many recent loads.
///
/// A team that requests many models at once takes turns with teams that request few. The score
/// grows with the wait without bound, so nothing starves.
#[derive(Debug, Default)]
pub struct FairArrival;

impl policy::LoadOrder for FairArrival {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        let waiting = f64::from(candidate.waiting.max(1));
        candidate.oldest_wait.as_secs_f64() * candidate.fair_waiting / waiting
    }
}
