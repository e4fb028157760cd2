//! What an instance believes of the leader.

use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;

const LONG_CALL: time::Duration = time::Duration::from_secs(1);

fn hint(name: &str, term: u64) -> leader::LeaderHint {
    leader::LeaderHint {
        name: Some(name::InstanceName::from(name)),
        term,
    }
}

fn view(name: &str, term: u64, now: time::Instant) -> leader::LeaderView {
    let mut view = leader::LeaderView::default();
    assert!(view.accept(hint(name, term), now));
    view
}

/// A member that had not noticed the new leader yet named the lost one, and the instance waited for that again.
#[test]
fn hint_of_an_earlier_term_does_not_replace_a_reachable_leader() {
    let now = time::Instant::now();
    let mut view = view("new", 6, now);
    assert!(!view.accept(hint("lost", 5), now));
    assert_eq!(view.reachable(now), Some(&"new".into()));
    assert!(view.accept(hint("newest", 7), now));
    assert_eq!(view.reachable(now), Some(&"newest".into()));
}

#[test]
fn hint_without_a_term_is_taken_over() {
    let now = time::Instant::now();
    let mut view = view("known", 6, now);
    assert!(view.accept(hint("told by an earlier version", 0), now));
    assert!(!view.accept(hint("lost", 5), now), "the term is kept");
}

/// A group that was founded anew begins with the first term.
#[test]
fn hint_of_an_earlier_term_replaces_an_unreachable_leader() {
    let now = time::Instant::now();
    let mut view = view("lost", 6, now);
    view.record_timeout(&"lost".into(), LONG_CALL, now);
    assert!(view.accept(hint("founder", 1), now));
    assert_eq!(view.reachable(now), Some(&"founder".into()));
}

/// A leader that was killed and elected again was avoided for ten seconds.
#[test]
fn unreachable_leader_is_not_avoided_once_it_leads_a_later_term() {
    let now = time::Instant::now();
    let mut view = view("killed", 5, now);
    view.record_unreachable(&"killed".into(), now);
    assert_eq!(view.reachable(now), None);
    assert!(view.accept(hint("killed", 5), now));
    assert_eq!(view.reachable(now), None, "it leads no later term");
    assert!(view.accept(hint("killed", 7), now));
    assert_eq!(view.reachable(now), Some(&"killed".into()));
}

/// A call whose time was nearly over when a new leader became known made the instance avoid that leader for ten seconds.
#[test]
fn call_with_hardly_any_time_does_not_make_the_leader_unreachable() {
    let now = time::Instant::now();
    let mut view = view("new", 6, now);
    view.record_timeout(&"new".into(), time::Duration::from_millis(20), now);
    assert_eq!(view.reachable(now), Some(&"new".into()));
    view.record_timeout(&"new".into(), LONG_CALL, now);
    assert_eq!(view.reachable(now), None);
    view.record_reached(&"new".into());
    assert_eq!(view.reachable(now), Some(&"new".into()));
}

#[test]
fn other_instance_that_does_not_answer_is_not_taken_for_the_leader() {
    let now = time::Instant::now();
    let mut view = view("leader", 6, now);
    view.record_unreachable(&"member".into(), now);
    assert_eq!(view.reachable(now), Some(&"leader".into()));
}
