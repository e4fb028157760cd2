//! The expected length of answers.

use galenahold_routing::fleet;

/// A caller's hint that is always three times too small made long answers look short.
#[test]
fn wrong_hint_is_corrected_by_the_answers_that_were_seen() {
    let mut estimator = fleet::OutputEstimator::default();
    assert_eq!(estimator.expected(Some(100), 1_000), 100);
    for _ in 0..100 {
        estimator.record(Some(100), 300);
    }
    let expected = estimator.expected(Some(100), 1_000);
    assert!((250..=300).contains(&expected), "{expected}");
    assert_eq!(estimator.expected(Some(100), 200), 200);
}

/// Without a hint the stated maximum was taken, which is several times the usual length.
#[test]
fn answer_without_a_hint_has_the_mean_length_of_earlier_ones() {
    let mut estimator = fleet::OutputEstimator::default();
    assert_eq!(estimator.expected(None, 750), 750);
    for observed in [100, 300, 200, 200, 100, 300] {
        estimator.record(None, observed);
    }
    let expected = estimator.expected(None, 750);
    assert!((130..=260).contains(&expected), "{expected}");
    assert_eq!(estimator.expected(None, 50), 50);
}
