//! The table ignores outdated announcements and counts the requests in flight.

use std::time;

use galenahold_domain::{amount, server};
use galenahold_routing::replica;

use crate::fleet_sample::{announcement, candidates, target};

const FRESH: time::Duration = time::Duration::ZERO;
const SECOND: time::Duration = time::Duration::from_secs(1);

fn table() -> replica::ReplicaTable {
    replica::ReplicaTable::new(replica::TableSettings::default())
}

#[test]
fn leaving_state_lasts_for_the_whole_incarnation() {
    let now = time::Instant::now();
    let mut table = table();
    let mut leaving = announcement("one", 1, 2);
    leaving.leaving = true;
    table.announce(&leaving, FRESH, now);
    table.announce(&announcement("one", 1, 1), FRESH, now);
    table.announce(&announcement("one", 1, 3), FRESH, now);
    assert!(candidates(&table, now).is_empty());
}

#[test]
fn new_incarnation_clears_the_leaving_state() {
    let now = time::Instant::now();
    let mut table = table();
    let mut leaving = announcement("one", 1, 2);
    leaving.leaving = true;
    table.announce(&leaving, FRESH, now);
    table.announce(&announcement("one", 2, 1), FRESH, now);
    assert_eq!(candidates(&table, now).len(), 1);
}

#[test]
fn announcement_of_an_earlier_incarnation_is_stale() {
    let now = time::Instant::now();
    let mut table = table();
    table.announce(&announcement("one", 2, 1), FRESH, now);
    let change = table.announce(&announcement("one", 1, 9), FRESH, now);
    assert_eq!(change, replica::TableChange::Stale);
}

#[test]
fn silent_server_gets_no_requests_until_its_next_announcement() {
    let now = time::Instant::now();
    let mut table = table();
    table.announce(&announcement("one", 1, 1), FRESH, now);
    let later = now + 10 * SECOND;
    assert!(candidates(&table, later).is_empty());
    assert_eq!(table.expire(later).len(), 1);
    table.announce(&announcement("one", 1, 2), FRESH, later);
    assert_eq!(candidates(&table, later).len(), 1);
}

/// Guards against a notice of a load that brings back a server without recent announcements.
#[test]
fn expired_server_gets_no_replica_from_a_notice() {
    let now = time::Instant::now();
    let mut table = table();
    table.announce(&announcement("one", 1, 1), FRESH, now);
    let later = now + 10 * SECOND;
    let expired = table.expire(later);
    assert!(!table.has_replica(&target()));
    table.mark_ready(expired[0], amount::IncarnationNumber(1), &target());
    assert!(!table.has_replica(&target()));
}

#[test]
fn loading_replica_is_no_candidate() {
    let now = time::Instant::now();
    let mut table = table();
    let mut loading = announcement("one", 1, 1);
    loading.loaded[0].state = server::ReplicaState::Loading;
    table.announce(&loading, FRESH, now);
    assert!(candidates(&table, now).is_empty());
}

#[test]
fn request_that_ends_after_its_server_restarted_is_ignored() {
    let now = time::Instant::now();
    let mut table = table();
    table.announce(&announcement("one", 1, 1), FRESH, now);
    let key = candidates(&table, now)[0].key;
    table.begin(key, amount::TokenCount(50));
    table.announce(&announcement("one", 2, 1), FRESH, now);
    table.finish(key, amount::TokenCount(50));
    let candidate = candidates(&table, now)[0];
    assert_ne!(candidate.key, key);
    assert_eq!(candidate.local_requests, 0);
}

#[test]
fn local_requests_count_at_once_and_reports_decay() {
    let now = time::Instant::now();
    let mut table = table();
    let mut loaded = announcement("one", 1, 1);
    loaded.load.outstanding_tokens = amount::TokenCount(1_000);
    table.announce(&loaded, FRESH, now);
    let fresh = candidates(&table, now)[0];
    let old = candidates(&table, now + 3 * SECOND)[0];
    assert!(old.tokens < fresh.tokens);
    table.begin(fresh.key, amount::TokenCount(500));
    let busy = candidates(&table, now)[0];
    assert!(busy.tokens >= fresh.tokens + 500.0);
}
