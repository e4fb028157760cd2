//! Properties that all balancing policies share.

use std::time;

use galenahold_domain::amount;
use galenahold_routing::replica;
use galenahold_routing::replica::ReplicaChoice;
use rand::SeedableRng;

use crate::fleet_sample::{announcement, candidates};

fn three_servers(now: time::Instant) -> replica::ReplicaTable {
    let mut table = replica::ReplicaTable::new(replica::TableSettings::default());
    for server in ["one", "two", "three"] {
        table.announce(&announcement(server, 1, 1), time::Duration::ZERO, now);
    }
    table
}

fn choose_often<C: ReplicaChoice>(mut choice: C) -> Vec<u32> {
    let now = time::Instant::now();
    let mut table = three_servers(now);
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let prefix = replica::PrefixBlocks::default();
    let request = replica::ChoiceRequest {
        model: None,
        tokens: amount::TokenCount(100),
        prefix: &prefix,
    };
    for _ in 0..300 {
        let candidates = candidates(&table, now);
        let key = choice.choose(&candidates, &request, &mut rng);
        table.begin(key.expect("there are candidates"), request.tokens);
    }
    let candidates = candidates(&table, now);
    candidates
        .iter()
        .map(|candidate| candidate.local_requests)
        .collect()
}

#[test]
fn equal_requests_spread_evenly() {
    assert_eq!(choose_often(replica::RoundRobin::default()), [100; 3]);
    assert_eq!(choose_often(replica::LeastOutstanding), [100; 3]);
    let spread = choose_often(replica::TwoChoices);
    assert!(
        spread.iter().all(|count| (90..=110).contains(count)),
        "{spread:?}"
    );
}

#[test]
fn no_candidate_gives_no_replica() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let prefix = replica::PrefixBlocks::default();
    let request = replica::ChoiceRequest {
        model: None,
        tokens: amount::TokenCount(1),
        prefix: &prefix,
    };
    assert_eq!(
        replica::RoundRobin::default().choose(&[], &request, &mut rng),
        None
    );
    assert_eq!(
        replica::LeastOutstanding.choose(&[], &request, &mut rng),
        None
    );
    assert_eq!(replica::TwoChoices.choose(&[], &request, &mut rng), None);
    assert_eq!(
        replica::PrefixAffinity::default().choose(&[], &request, &mut rng),
        None
    );
}

#[test]
fn concurrency_limit_counts_requests_of_others() {
    let now = time::Instant::now();
    let mut table = replica::ReplicaTable::new(replica::TableSettings::default());
    let mut busy = announcement("one", 1, 1);
    busy.load.running = 16;
    table.announce(&busy, time::Duration::ZERO, now);
    assert!(!candidates(&table, now)[0].has_room(16));
    assert!(candidates(&table, now)[0].has_room(17));
}
