//! Requests that come before an instance knows its configuration.

use std::time;

use galenahold_routing::fleet;

const MILLI: time::Duration = time::Duration::from_millis(1);

#[test]
fn request_at_an_instance_that_just_started_waits_for_half_of_its_time_at_most() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    let arrived = now + MILLI * 400;
    assert_eq!(
        wait.until(arrived, Some(MILLI * 1_500)),
        Some(arrived + MILLI * 750)
    );
}

#[test]
fn request_waits_no_longer_than_callers_wait_for_the_begin_of_an_answer() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    let patient = wait.until(now, Some(MILLI * 30_000));
    assert!(patient.is_some_and(|until| until < now + MILLI * 2_000));
    assert_eq!(wait.until(now, None), patient);
}

#[test]
fn request_at_an_instance_that_was_cut_off_does_not_wait() {
    let now = time::Instant::now();
    let wait = fleet::StartWait::new(now);
    assert_eq!(wait.until(now + MILLI * 10_000, Some(MILLI * 8_000)), None);
}
