//! How many tokens a team's calls of each rank ask for.

use std::collections;
use std::time;

/// The time over which the demand is averaged. A shorter one takes the few requests of a small team for
/// an overload.
const AVERAGING_TIME: time::Duration = time::Duration::from_secs(2);

/// The tokens that a team's requests asked for lately, by rank, each request counted once.
#[derive(Debug, Default)]
pub(super) struct RankDemand {
    ranks: collections::BTreeMap<u32, DecayingSum>,
}

/// A sum whose terms lose weight exponentially with their age.
#[derive(Debug)]
struct DecayingSum {
    tokens: f64,
    updated_at: time::Instant,
}

impl DecayingSum {
    fn at(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens * (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

impl RankDemand {
    /// Records a request.
    pub(super) fn record(&mut self, rank: u32, tokens: u64, now: time::Instant) {
        let sum = self.ranks.entry(rank).or_insert(DecayingSum {
            tokens: 0.0,
            updated_at: now,
        });
        sum.tokens = sum.at(now) + to_float(tokens);
        sum.updated_at = now;
    }

    /// Returns the tokens per second that ranks more urgent than `rank` ask for.
    pub(super) fn rate_before(&self, rank: u32, now: time::Instant) -> f64 {
        let sums = self.ranks.range(..rank).map(|(_, sum)| sum.at(now));
        sums.sum::<f64>() / AVERAGING_TIME.as_secs_f64()
    }

    /// Returns whether the requests of the averaging time exceed what a rate and a burst allow in it.
    pub(super) fn exceeds(&self, rate: u64, burst: u64, now: time::Instant) -> bool {
        let span = AVERAGING_TIME.as_secs_f64();
        self.rate(now) * span > to_float(rate) * span + to_float(burst)
    }

    /// Returns the tokens per second that all ranks ask for.
    pub(super) fn rate(&self, now: time::Instant) -> f64 {
        let sums = self.ranks.values().map(|sum| sum.at(now));
        sums.sum::<f64>() / AVERAGING_TIME.as_secs_f64()
    }

    /// Returns the ranks less urgent than `rank` that asked for at least a token lately.
    pub(super) fn ranks_after(
        &self,
        rank: u32,
        now: time::Instant,
    ) -> impl Iterator<Item = u32> + '_ {
        let after = self.ranks.range(rank.saturating_add(1)..);
        after.filter_map(move |(rank, sum)| (sum.at(now) >= 1.0).then_some(*rank))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 52 bits"
)]
fn to_float(tokens: u64) -> f64 {
    tokens as f64
}
