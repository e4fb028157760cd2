//! Loads first what waits longest, for teams that had few loads of late.

use crate::policy;

/// Loads first what waits longest, with the wait of teams counted less for which much was loaded of
/// late.
///
/// A team that asks for many models at once gets them in turn with the other teams' few. The wait
/// grows without bound, so nothing starves.
#[derive(Debug, Default)]
pub struct FairArrival;

impl policy::LoadOrder for FairArrival {
    fn score(&self, candidate: &policy::LoadCandidate) -> f64 {
        let waiting = f64::from(candidate.waiting.max(1));
        candidate.oldest_wait.as_secs_f64() * candidate.fair_waiting / waiting
    }
}
