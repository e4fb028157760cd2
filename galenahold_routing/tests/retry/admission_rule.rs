//! The admission rule refuses requests that can't be served in time.

use std::time;

use galenahold_routing::admission;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn cold_start_beyond_the_deadline_is_refused_with_a_retry_time() {
    let rule = admission::AdmissionRule::default();
    let wait = admission::PredictedWait {
        queue: Some(SECOND),
        cold_start: Some(4 * SECOND),
        tokens: None,
    };
    assert_eq!(
        rule.decide(&wait, 5 * SECOND),
        admission::AdmissionDecision::Admit
    );
    let refused = rule.decide(&wait, 3 * SECOND);
    let retry_after = 2 * SECOND;
    assert_eq!(
        refused,
        admission::AdmissionDecision::Refuse { retry_after }
    );
}

#[test]
fn unknown_wait_is_admitted() {
    let rule = admission::AdmissionRule::default();
    let wait = admission::PredictedWait::default();
    assert_eq!(
        rule.decide(&wait, SECOND),
        admission::AdmissionDecision::Admit
    );
}
