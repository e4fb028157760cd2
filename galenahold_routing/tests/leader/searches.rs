//! Whom an instance asks while it reaches no leader.

use std::collections;
use std::time;

use galenahold_domain::name;
use galenahold_routing::leader;

fn members() -> Vec<name::InstanceName> {
    ["a", "b", "own", "c", "d", "lost"]
        .map(name::InstanceName::from)
        .into()
}

fn view_of_lost_leader(now: time::Instant) -> leader::LeaderView {
    let mut view = leader::LeaderView::default();
    let hint = leader::LeaderHint {
        name: Some("lost".into()),
        term: 5,
    };
    assert!(view.accept(hint, now));
    view.record_unreachable(&"lost".into(), now);
    view
}

#[test]
fn reachable_leader_is_asked() {
    let now = time::Instant::now();
    let mut view = view_of_lost_leader(now);
    let hint = leader::LeaderHint {
        name: Some("b".into()),
        term: 6,
    };
    assert!(view.accept(hint, now));
    let target = leader::LeaderSearch::new(0).next_target(&"own".into(), &view, &members(), now);
    assert_eq!(target, leader::SearchTarget::Leader("b".into()));
}

/// The members were asked one by one, the lost leader among them: where another one was lost as well, an instance could
/// serve an old configuration for more than three seconds.
#[test]
fn two_other_members_are_asked_at_once_before_a_lost_leader_is_tried_again() {
    let now = time::Instant::now();
    let view = view_of_lost_leader(now);
    for rotation in 0..8 {
        let mut search = leader::LeaderSearch::new(rotation);
        let mut asked = collections::BTreeSet::new();
        for _ in 0..2 {
            let target = search.next_target(&"own".into(), &view, &members(), now);
            let leader::SearchTarget::Members(names) = target else {
                panic!("the lost leader is asked first");
            };
            assert_eq!(names.len(), 2);
            asked.extend(names);
            search.record_result(false);
            let target = search.next_target(&"own".into(), &view, &members(), now);
            assert_eq!(target, leader::SearchTarget::Leader("lost".into()));
            search.record_result(false);
        }
        let others: collections::BTreeSet<_> =
            ["a", "b", "c", "d"].map(name::InstanceName::from).into();
        assert_eq!(asked, others);
    }
}

/// Members may serve an instance that alone does not reach the leader.
#[test]
fn members_that_serve_are_asked_again() {
    let now = time::Instant::now();
    let view = view_of_lost_leader(now);
    let mut search = leader::LeaderSearch::new(1);
    let first = search.next_target(&"own".into(), &view, &members(), now);
    assert!(matches!(first, leader::SearchTarget::Members(_)));
    search.record_result(true);
    let second = search.next_target(&"own".into(), &view, &members(), now);
    assert_eq!(second, first);
}

#[test]
fn only_member_is_asked_alone() {
    let now = time::Instant::now();
    let only = vec![name::InstanceName::from("a")];
    let view = leader::LeaderView::default();
    let target = leader::LeaderSearch::new(3).next_target(&"own".into(), &view, &only, now);
    assert_eq!(target, leader::SearchTarget::Members(only));
}
