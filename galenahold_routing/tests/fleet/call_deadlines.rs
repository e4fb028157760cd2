//! The order of waiting calls, and the rejection of calls that cannot be complete in time.

use std::time;

use galenahold_routing::fleet;

use crate::fixture;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Returns a scheduler whose only server, with two slots, runs two calls that take 2 s.
fn full(now: time::Instant) -> (fleet::CallScheduler, Vec<fleet::RunKey>) {
    let mut scheduler = fixture::taught(&[fixture::record("s1", &["m"])], now);
    let runs = (0..2).map(|_| {
        let requirements = fixture::requirements("m", SECOND * 30, now);
        fixture::placed(scheduler.submit(requirements, now)).run
    });
    let runs = runs.collect();
    (scheduler, runs)
}

fn call(
    timeout: time::Duration,
    events: u64,
    rank: u32,
    now: time::Instant,
) -> fleet::CallRequirements {
    let mut requirements = fixture::requirements("m", timeout, now);
    requirements.work.output_events = events;
    requirements.rank = rank;
    requirements.draw = u64::MAX / 2;
    requirements
}

fn refusal(submission: &fleet::CallSubmission) -> fleet::SchedulerRefusal {
    match submission {
        fleet::CallSubmission::Refused(refusal) => *refusal,
        other => panic!("expected the call to be refused, got {other:?}"),
    }
}

/// A call with much time left was placed before one that could then no longer be complete.
#[test]
fn waiting_calls_are_placed_by_rank_and_then_by_remaining_time() {
    let now = time::Instant::now();
    let (mut scheduler, runs) = full(now);
    let patient = fixture::waiting(&scheduler.submit(call(SECOND * 20, 10, 1, now), now));
    let long_answer = fixture::waiting(&scheduler.submit(call(SECOND * 12, 150, 1, now), now));
    let hurried = fixture::waiting(&scheduler.submit(call(SECOND * 10, 10, 1, now), now));
    let urgent = fixture::waiting(&scheduler.submit(call(SECOND * 20, 10, 0, now), now));
    let mut order = Vec::new();
    let mut free = runs;
    while let Some(run) = free.pop() {
        scheduler.finish(run, now);
        for settled in scheduler.poll(now) {
            order.push(settled.ticket);
            free.extend(settled.result.map(|placement| placement.run));
        }
    }
    assert_eq!(order, [urgent, long_answer, hurried, patient]);
}

/// Calls waited up to their deadline and were sent with too little time left for a response.
#[test]
fn waiting_call_is_refused_when_its_response_can_no_longer_be_complete() {
    let now = time::Instant::now();
    let (mut scheduler, _) = full(now);
    let ticket = fixture::waiting(&scheduler.submit(call(SECOND * 8, 100, 1, now), now));
    assert_eq!(scheduler.poll(now + SECOND * 2), []);
    let settled = scheduler.poll(now + SECOND * 4);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].ticket, ticket);
    assert!(settled[0].result.is_err());
}

/// A call that cannot be complete even if it is sent now must not wait for a slot.
#[test]
fn call_that_is_too_long_for_its_deadline_is_refused_at_once_at_full_servers() {
    let now = time::Instant::now();
    let (mut scheduler, _) = full(now);
    let refused = refusal(&scheduler.submit(call(SECOND * 5, 120, 1, now), now));
    assert_eq!(refused.cause, fleet::RefusalCause::Full);
    let mut idle = fixture::taught(&[fixture::record("s1", &["m"])], now);
    fixture::placed(idle.submit(call(SECOND * 5, 120, 1, now), now));
}

/// Refused callers returned together and before a slot was free.
#[test]
fn call_behind_a_long_queue_is_refused_at_once_with_the_predicted_wait() {
    let now = time::Instant::now();
    let (mut scheduler, _) = full(now);
    for _ in 0..3 {
        fixture::waiting(&scheduler.submit(call(SECOND * 3, 10, 0, now), now));
    }
    let mut refuse = |rank, draw| {
        let mut requirements = call(SECOND * 3, 10, rank, now);
        requirements.draw = draw;
        refusal(&scheduler.submit(requirements, now)).retry_after
    };
    let (early, late, less_urgent) = (refuse(0, 0), refuse(0, u64::MAX), refuse(3, 0));
    let predicted = SECOND * 3;
    assert!(
        early >= predicted.mul_f64(0.65) && early < predicted,
        "{early:?}"
    );
    assert!(
        late > predicted && late <= predicted.mul_f64(1.35),
        "{late:?}"
    );
    assert!(less_urgent > early, "{less_urgent:?}");
}
