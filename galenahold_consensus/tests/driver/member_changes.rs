//! Replacing a member.

use std::fs;

use crate::local_group;
use crate::waiting;

#[test]
fn lost_folder_is_replaced_and_a_second_loss_costs_nothing() {
    let mut group = local_group::LocalGroup::found(&["a", "b", "c"]);
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
    fs::remove_dir_all(group.data_folder(name)).expect("empty the folder");
    group.start(name);
    let joiner = waiting::until("the new folder asks to join", || {
        let (_, leader) = group.leader();
        leader.status().joiners.first().cloned()
    });
    let patience = local_group::PATIENCE;
    retry("added", || {
        let (_, leader) = group.leader();
        leader.add_learner(joiner.clone(), patience).is_ok()
    });
    retry("old one removed", || {
        let (_, leader) = group.leader();
        leader.remove(old, patience).is_ok()
    });
    retry("promoted", || {
        let (_, leader) = group.leader();
        leader.promote(joiner.id, patience).is_ok()
    });
    retry("one may be lost", || {
        let (_, leader) = group.leader();
        leader.status().safe_to_lose == Some(1)
    });
    let (second, _) = group.leader();
    group.stop(&second);
    group.commit("after the second loss");
    let lines = group.await_lines(name, 151);
    assert_eq!(lines.last().expect("line"), "after the second loss");
}

fn retry(what: &str, mut attempt: impl FnMut() -> bool) {
    waiting::until(what, || attempt().then_some(()));
}
