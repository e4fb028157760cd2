//! A team with few requests and a bucket of about two of them, at many instances.

use std::time;

use galenahold_domain::{amount, intent, name};

use crate::team_replay;

const REQUEST: std::ops::Range<u64> = 1_000..2_000;
const BURST: u64 = 3_600;

fn small_team(rate: u64) -> intent::TeamIntent {
    intent::TeamIntent {
        name: name::TeamName::from("small"),
        rate_tokens_per_s: amount::TokensPerSecond(rate),
        burst_tokens: amount::TokenCount(BURST),
        weight: 1,
    }
}

/// Returns how many callers one exact bucket would refuse if each may wait for 400 ms.
fn refused_by_exact_bucket(rate: u64, callers: &[team_replay::ReplayCaller]) -> usize {
    let (rate, burst) = (f64::from(u32::try_from(rate).expect("small")), 3_600.0);
    let (mut level, mut last, mut refused) = (burst, 0.0, 0);
    for caller in callers {
        let at = caller.at.as_secs_f64();
        let tokens = f64::from(u32::try_from(caller.tokens).expect("small"));
        level = f64::min(burst, level + (at - last) * rate);
        last = at;
        // A negative level stands for the tokens of those that wait.
        if (tokens - level) / rate > 0.4 {
            refused += 1;
        } else {
            level -= tokens;
        }
    }
    refused
}

fn replay(instances: usize, rate: u64, load: f64, seed: u64) -> (usize, usize, usize) {
    let template = team_replay::ReplayCaller {
        team: 0,
        rank: 0,
        tokens: 0,
        at: time::Duration::ZERO,
        patience: time::Duration::from_secs(8),
        retries: false,
    };
    let per_s = load * f64::from(u32::try_from(rate).expect("small")) / 1_500.0;
    let span = time::Duration::from_mins(1);
    let callers = team_replay::poisson_callers(&template, REQUEST, per_s, span, seed);
    let exact = refused_by_exact_bucket(rate, &callers);
    let teams = vec![small_team(rate)];
    let replay = team_replay::TeamReplay::new(instances, teams, callers, seed).run();
    let refused = replay
        .results
        .iter()
        .filter(|result| result.refusals > 0)
        .count();
    (replay.results.len(), refused, exact)
}

/// Guards against refusals below the limit for two causes: the leader kept the claims of requests that were
/// refused, and spent tokens held back the refill until they were stated. Before, 71 of 382 callers were
/// refused at 59 instances.
#[test]
fn small_team_at_many_instances_is_refused_hardly_more_often_than_by_one_bucket() {
    for (instances, load) in [(1, 0.6), (59, 0.3), (59, 0.6), (59, 0.8), (86, 0.8)] {
        let mut sums = (0, 0, 0);
        for seed in 1..=4 {
            let (callers, refused, exact) = replay(instances, 3_000, load, seed);
            sums = (sums.0 + callers, sums.1 + refused, sums.2 + exact);
        }
        let (callers, refused, exact) = sums;
        println!("{instances} instances, load {load}: {refused} of {callers}, one bucket {exact}");
        // Messages to the leader take a part of the time for which a request waits.
        assert!(
            refused <= exact + callers / 50,
            "{refused} of {callers} refused at {instances} instances with load {load}, one bucket {exact}"
        );
    }
}
