//! Failing servers are taken out of service and return after a probe; half of the candidates always stay.

use std::time;

use galenahold_routing::{breaker, replica};

use crate::fleet_sample::{announcement, candidates};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn fleet(servers: u32, now: time::Instant) -> Vec<replica::ReplicaCandidate> {
    let mut table = replica::ReplicaTable::new(replica::TableSettings::default());
    for index in 0..servers {
        let announcement = announcement(&format!("server-{index}"), 1, 1);
        table.announce(&announcement, time::Duration::ZERO, now);
    }
    candidates(&table, now)
}

/// Reports as many errors as open a circuit.
fn fail_often(breaker: &mut breaker::CircuitBreaker, key: replica::ServerKey, now: time::Instant) {
    for _ in 0..3 {
        breaker.begin(key, now);
        breaker.fail(key, now);
    }
}

#[test]
fn server_leaves_service_after_consecutive_errors_only() {
    let now = time::Instant::now();
    let key = fleet(1, now)[0].server;
    let mut breaker = breaker::CircuitBreaker::new(breaker::BreakerSettings::default());
    for _ in 0..5 {
        breaker.fail(key, now);
        breaker.fail(key, now);
        breaker.succeed(key);
    }
    assert!(breaker.allows(key, now));
    fail_often(&mut breaker, key, now);
    assert!(!breaker.allows(key, now));
}

#[test]
fn one_probe_at_a_time_brings_a_server_back() {
    let now = time::Instant::now();
    let key = fleet(1, now)[0].server;
    let mut breaker = breaker::CircuitBreaker::new(breaker::BreakerSettings::default());
    fail_often(&mut breaker, key, now);
    let later = now + SECOND;
    assert!(breaker.allows(key, later));
    breaker.begin(key, later);
    assert!(!breaker.allows(key, later));
    breaker.succeed(key);
    assert!(breaker.allows(key, later));
}

#[test]
fn failed_probe_doubles_the_pause() {
    let now = time::Instant::now();
    let key = fleet(1, now)[0].server;
    let settings = breaker::BreakerSettings::default().with_initial_pause(SECOND);
    let mut breaker = breaker::CircuitBreaker::new(settings);
    fail_often(&mut breaker, key, now);
    let probe_at = now + SECOND;
    breaker.begin(key, probe_at);
    breaker.fail(key, probe_at);
    assert!(!breaker.allows(key, probe_at + SECOND));
    assert!(breaker.allows(key, probe_at + 2 * SECOND));
}

#[test]
fn half_of_the_candidates_stay_when_all_fail() {
    let now = time::Instant::now();
    for servers in 1..8 {
        let mut breaker = breaker::CircuitBreaker::new(breaker::BreakerSettings::default());
        let mut candidates = fleet(servers, now);
        for candidate in &candidates {
            fail_often(&mut breaker, candidate.server, now);
        }
        breaker.admit(&mut candidates, now);
        assert_eq!(candidates.len(), servers.div_ceil(2) as usize);
    }
}

#[test]
fn healthy_candidates_are_kept_before_failing_ones() {
    let now = time::Instant::now();
    let mut breaker = breaker::CircuitBreaker::new(breaker::BreakerSettings::default());
    let mut candidates = fleet(4, now);
    let failing = candidates[0].server;
    fail_often(&mut breaker, failing, now);
    breaker.admit(&mut candidates, now);
    assert_eq!(candidates.len(), 3);
    assert!(
        candidates
            .iter()
            .all(|candidate| candidate.server != failing)
    );
}
