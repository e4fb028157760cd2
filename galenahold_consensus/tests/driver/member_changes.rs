//! Tests of replacing a member that lost its data folder.

use std::fs;

use crate::local_group;
use crate::polling;

#[test]
fn replaced_member_keeps_the_group_committing_through_a_second_loss() {
    let mut group = local_group::LocalGroup::bootstrap(&["a", "b", "c"]);
    for number in 0..150 {
        group.commit(&format!("command {number}"));
    }
    let (leader_name, _) = group.leader();
    let name = ["a", "b", "c"]
        .into_iter()
        .find(|name| *name != leader_name)
        .expect("follower");
    let old = group.handle(name).status().profile.id;
    group.stop(name);
    fs::remove_dir_all(group.data_folder(name)).expect("remove the data folder");
    group.start(name);
    let joiner = polling::until("the member with the empty data folder asks to join", || {
        let (_, leader) = group.leader();
        leader.status().joiners.first().cloned()
    });
    let timeout = local_group::TIMEOUT;
    poll_until("the joiner is added as a learner", || {
        let (_, leader) = group.leader();
        leader.add_learner(joiner.clone(), timeout).is_ok()
    });
    poll_until("the old identity is removed", || {
        let (_, leader) = group.leader();
        leader.remove(old, timeout).is_ok()
    });
    poll_until("the learner is promoted", || {
        let (_, leader) = group.leader();
        leader.promote(joiner.id, timeout).is_ok()
    });
    poll_until("the group tolerates the loss of one voter", || {
        let (_, leader) = group.leader();
        leader.status().safe_to_lose == Some(1)
    });
    let (second, _) = group.leader();
    group.stop(&second);
    group.commit("after the second loss");
    let lines = group.await_lines(name, 151);
    assert_eq!(lines.last().expect("line"), "after the second loss");
}

fn poll_until(condition: &str, mut attempt: impl FnMut() -> bool) {
    polling::until(condition, || attempt().then_some(()));
}
