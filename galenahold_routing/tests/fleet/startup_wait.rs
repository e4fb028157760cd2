//! Requests that arrive before an instance knows its configuration or all servers.

use std::time;

use galenahold_routing::fleet;

use crate::fixture;

const MILLI: time::Duration = time::Duration::from_millis(1);

#[test]
fn request_at_a_starting_instance_waits_at_most_half_of_its_timeout() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    let arrived = now + MILLI * 400;
    assert_eq!(
        wait.until(arrived, Some(MILLI * 1_500)),
        Some(arrived + MILLI * 750)
    );
}

#[test]
fn wait_at_startup_ends_before_stream_callers_give_up() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    let latest_wait = wait.until(now, Some(MILLI * 30_000));
    assert!(latest_wait.is_some_and(|until| until < now + MILLI * 2_000));
    assert_eq!(wait.until(now, None), latest_wait);
}

#[test]
fn request_does_not_wait_after_the_startup_window() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    assert_eq!(wait.until(now + MILLI * 10_000, Some(MILLI * 8_000)), None);
}

/// After a power loss of all machines, requests arrive before the servers have registered with the new leader.
#[test]
fn request_waits_while_the_roster_is_incomplete() {
    let now = time::Instant::now();
    // By the incomplete roster, the model would have to be loaded from the weight store, which takes 6 s.
    let mut scheduler = fixture::scheduler(&[fixture::record("s0", &["other"])], now);
    scheduler.expect_servers_until(now + MILLI * 1_200);
    let ticket =
        fixture::waiting(&scheduler.submit(fixture::requirements("m", MILLI * 3_000, now), now));
    let later = now + MILLI * 800;
    assert_eq!(scheduler.poll(later), []);
    scheduler.update_server(fixture::record("s1", &["m"]), later);
    let placed = scheduler.poll(later);
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].ticket, ticket);
    assert!(placed[0].result.is_ok());
}

#[test]
fn request_is_refused_when_the_complete_roster_lacks_its_model() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[fixture::record("s1", &["other"])], now);
    scheduler.expect_servers_until(now + MILLI * 1_200);
    fixture::waiting(&scheduler.submit(fixture::requirements("m", MILLI * 3_000, now), now));
    let settled = scheduler.poll(now + MILLI * 1_250);
    assert_eq!(settled.len(), 1);
    assert!(settled[0].result.is_err());
}

#[test]
fn request_is_refused_at_once_when_it_cannot_wait_for_the_complete_roster() {
    let now = time::Instant::now();
    let mut scheduler = fixture::scheduler(&[], now);
    scheduler.expect_servers_until(now + MILLI * 1_200);
    let submission = scheduler.submit(fixture::requirements("m", MILLI * 700, now), now);
    assert!(
        matches!(submission, fleet::CallSubmission::Refused(_)),
        "{submission:?}"
    );
}
