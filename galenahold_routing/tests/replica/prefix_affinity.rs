//! Prefix affinity applies cache events and keeps the load bounded.

use std::time;

use galenahold_domain::{amount, name, server};
use galenahold_routing::replica;
use galenahold_routing::replica::ReplicaChoice;
use rand::SeedableRng;

use crate::fleet_sample::{MODEL, announcement, candidates};

const PROMPT: &str = "Flood marks of the Rufiji delta are cast in bronze plaques that name the \
    height, the day and the village; the survey notes follow, one line a mark, for engineers.";

struct Fleet {
    now: time::Instant,
    table: replica::ReplicaTable,
    choice: replica::PrefixAffinity,
    rng: rand::rngs::StdRng,
    model: name::ModelName,
    prefix: replica::PrefixBlocks,
}

impl Fleet {
    fn new() -> Self {
        let now = time::Instant::now();
        let mut table = replica::ReplicaTable::new(replica::TableSettings::default());
        for server in ["one", "two", "three", "four"] {
            table.announce(&announcement(server, 1, 1), time::Duration::ZERO, now);
        }
        Self {
            now,
            table,
            choice: replica::PrefixAffinity::default(),
            rng: rand::rngs::StdRng::seed_from_u64(7),
            model: name::ModelName::from(MODEL),
            prefix: replica::PrefixBlocks::of_text(PROMPT, 64),
        }
    }

    fn choose(&mut self) -> replica::ReplicaKey {
        let candidates = candidates(&self.table, self.now);
        let request = replica::ChoiceRequest {
            model: Some(&self.model),
            tokens: amount::TokenCount(1_000),
            prefix: &self.prefix,
        };
        let key = self.choice.choose(&candidates, &request, &mut self.rng);
        key.expect("there are candidates")
    }

    fn matched(&self, server: replica::ServerKey) -> usize {
        let request = replica::ChoiceRequest {
            model: Some(&self.model),
            tokens: amount::TokenCount(1_000),
            prefix: &self.prefix,
        };
        self.choice.matched(server, &request)
    }

    fn event(&self, sequence: u64) -> server::CacheEvent {
        server::CacheEvent {
            name: name::ServerName::from("one"),
            incarnation: amount::IncarnationNumber(1),
            sequence,
            model: self.model.clone(),
            stored: Vec::new(),
            removed: Vec::new(),
            cleared: false,
        }
    }

    fn other_server(&mut self) -> replica::ServerKey {
        let chosen = self.choose();
        let candidates = candidates(&self.table, self.now);
        let other = candidates.iter().find(|candidate| candidate.key != chosen);
        other.expect("there are four servers").server
    }
}

#[test]
fn block_hash_covers_the_hash_before_it_and_64_bytes() {
    let text = "a".repeat(130);
    let blocks = replica::PrefixBlocks::of_text(&text, 64);
    assert_eq!(blocks.hashes().len(), 2);
    assert_eq!(blocks.hashes()[0], FIRST_BLOCK_OF_A);
    assert_ne!(blocks.hashes()[0], blocks.hashes()[1]);
}

/// The first 8 bytes of SHA-256 over 8 zero bytes and 64 times the letter `a`.
const FIRST_BLOCK_OF_A: u64 = 0xf8b1_d7f8_515f_7f75;

#[test]
fn same_prompt_goes_to_the_same_replica() {
    let mut fleet = Fleet::new();
    let first = fleet.choose();
    assert!((0..50).all(|_| fleet.choose() == first));
}

#[test]
fn cache_events_override_rendezvous_hashing() {
    let mut fleet = Fleet::new();
    let server = fleet.other_server();
    let mut stored = fleet.event(1);
    stored.stored = fleet.prefix.hashes().to_vec();
    fleet.choice.apply_cache_event(server, &stored);
    let key = fleet.choose();
    assert_eq!(
        fleet
            .table
            .replica(key)
            .expect("the chosen replica is in the table")
            .server(),
        server
    );
    let mut removed = fleet.event(2);
    removed.removed = fleet.prefix.hashes().to_vec();
    fleet.choice.apply_cache_event(server, &removed);
    assert_ne!(fleet.choose(), key);
}

#[test]
fn gap_in_events_clears_the_view() {
    let mut fleet = Fleet::new();
    let server = fleet.other_server();
    let mut stored = fleet.event(1);
    stored.stored = fleet.prefix.hashes().to_vec();
    fleet.choice.apply_cache_event(server, &stored);
    assert!(fleet.matched(server) > 0);
    fleet.choice.apply_cache_event(server, &fleet.event(3));
    assert_eq!(fleet.matched(server), 0);
}

#[test]
fn late_event_is_dropped() {
    let mut fleet = Fleet::new();
    let server = fleet.other_server();
    fleet.choice.apply_cache_event(server, &fleet.event(2));
    let mut late = fleet.event(1);
    late.stored = fleet.prefix.hashes().to_vec();
    fleet.choice.apply_cache_event(server, &late);
    assert_eq!(fleet.matched(server), 0);
}

#[test]
fn overloaded_replica_is_not_chosen() {
    let mut fleet = Fleet::new();
    let first = fleet.choose();
    fleet.table.begin(first, amount::TokenCount(100_000));
    assert_ne!(fleet.choose(), first);
}
