//! Control instances that a network loses all messages of, or to, without any error.

use std::time;

use galenahold_testkit::{harness, proxy};
use serde_json::json;

use crate::fleet_setup;

/// The bound on the age of a configuration, with slack for the harness.
const FRESHNESS_LIMIT: time::Duration = time::Duration::from_secs(10);
/// How long an instance is watched that must not become ready.
const WATCH_TIME: time::Duration = time::Duration::from_secs(6);

/// Which messages of an instance a cut holds back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutKind {
    Both,
    Outgoing,
    Incoming,
}

#[test]
fn leader_cut_off_both_ways_refuses_while_the_majority_goes_on() {
    assert_cut_is_borne(CutKind::Both);
}

#[test]
fn leader_whose_messages_are_lost_refuses_while_the_majority_goes_on() {
    assert_cut_is_borne(CutKind::Outgoing);
}

#[test]
fn leader_that_hears_nothing_refuses_while_the_majority_goes_on() {
    assert_cut_is_borne(CutKind::Incoming);
}

#[test]
fn entry_instance_that_restarts_beside_a_cut_off_control_instance_is_not_ready() {
    let mut control = fleet_setup::ControlFleet::start();
    let old = control.leader();
    let cut = |from: Option<usize>, to: usize| {
        let beside = [from, Some(to)]
            .iter()
            .all(|end| [Some(old), Some(fleet_setup::ENTRY)].contains(end));
        let between = from.is_some_and(|from| is_far(from, old) && is_far(to, old));
        if beside || between {
            proxy::LinkFault::pass()
        } else {
            proxy::LinkFault::cut()
        }
    };
    control.fleet.links().set_each(cut);
    let cut_off = &control.fleet.instances()[old];
    harness::wait_within("the cut instance is unready", FRESHNESS_LIMIT, || {
        cut_off.is_unready()
    });
    let far = (0..fleet_setup::CONTROL).find(|one| is_far(*one, old));
    let given = control.give_key(far.expect("a far instance"), "far");
    let entry = &mut control.fleet.instances_mut()[fleet_setup::ENTRY];
    entry.kill();
    entry.start().expect("a restart");
    let watched = time::Instant::now();
    while watched.elapsed() < WATCH_TIME {
        assert!(!entry.is_ready(), "ready beside a cut-off control instance");
        std::thread::sleep(time::Duration::from_millis(50));
    }
    control.fleet.links().heal();
    let entry = &mut control.fleet.instances_mut()[fleet_setup::ENTRY];
    entry.wait_ready(fleet_setup::LIMIT).expect("it is ready");
    let look = control.probe.revision(fleet_setup::ENTRY).expect("a look");
    assert!(look.revision >= given.revision, "{look:?}");
}

/// Cuts the leader off and makes sure that both sides keep their promises, then and after healing.
fn assert_cut_is_borne(kind: CutKind) {
    let control = fleet_setup::ControlFleet::start();
    let service = control.start_service();
    let first = control.give_key(fleet_setup::ENTRY, "first");
    let old = control.leader();
    let far = (old + 1) % fleet_setup::CONTROL;
    control.wait_served(old, &first.key);
    let watch = harness::RevisionWatch::start(&control.probe);
    cut_off(&control, old, kind);
    assert_side_refuses(&control, old, &first);
    let second = control.give_key(far, "second");
    let body = json!({ "request": "withdraw", "id": first.id });
    fleet_setup::acknowledged(&control.probe, far, "/v1/keys/withdraw", &body);
    control.wait_served(fleet_setup::ENTRY, &second.key);
    harness::wait_within("the key is refused", FRESHNESS_LIMIT, || {
        let answer = control.read(fleet_setup::ENTRY, &first.key, "late");
        answer.is_some_and(|answer| answer.status == 401)
    });
    assert_side_refuses(&control, old, &first);
    let ran = service.ledger().requests;
    assert!(!ran.iter().any(|request| request.path.contains("cut-off")));
    control.fleet.links().heal();
    control.wait_revision(second.revision + 1);
    control.wait_served(old, &second.key);
    let answer = control.read(old, &first.key, "healed").expect("an answer");
    assert_eq!(answer.status, 401, "{answer:?}");
    control.assert_in_force(old, std::slice::from_ref(&second));
    assert_eq!(watch.finish(), []);
}

/// Makes sure that an instance is unready, runs nothing for a key and acknowledges no change.
fn assert_side_refuses(
    control: &fleet_setup::ControlFleet,
    instance: usize,
    key: &fleet_setup::AcknowledgedKey,
) {
    let process = &control.fleet.instances()[instance];
    harness::wait_within("the cut instance is unready", FRESHNESS_LIMIT, || {
        process.is_unready()
    });
    let answer = control.read(instance, &key.key, "cut-off");
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.verdict.as_deref(), Some("not-run"), "{answer:?}");
    let body = json!({ "request": "cut-off", "team": "councils", "base": key.revision });
    let answer = control.probe.post(instance, "/v1/keys", &body);
    let answer = answer.expect("an answer");
    assert!([503, 504].contains(&answer.status), "{answer:?}");
}

/// Holds back all messages of a kind between one instance and all others.
fn cut_off(control: &fleet_setup::ControlFleet, instance: usize, kind: CutKind) {
    let links = control.fleet.links();
    for other in (0..control.probe.instances()).filter(|other| *other != instance) {
        let out = [
            (Some(instance), other, proxy::LinkDirection::ToServer),
            (Some(other), instance, proxy::LinkDirection::ToClient),
        ];
        let back = [
            (Some(instance), other, proxy::LinkDirection::ToClient),
            (Some(other), instance, proxy::LinkDirection::ToServer),
        ];
        let out = out.iter().filter(|_| kind != CutKind::Incoming);
        let back = back.iter().filter(|_| kind != CutKind::Outgoing);
        for (from, to, direction) in out.chain(back) {
            let link = links.link(*from, *to).expect("a link for each pair");
            link.set(*direction, proxy::LinkFault::cut());
        }
    }
    // Links that all share do not tell who sends: nobody may come around the cut through them.
    for other in 0..control.probe.instances() {
        let shared = links.link(None, other).expect("a shared link");
        shared.set_both(proxy::LinkFault::cut());
    }
}

/// Tells whether an instance is a control instance other than `near`.
fn is_far(instance: usize, near: usize) -> bool {
    instance < fleet_setup::CONTROL && instance != near
}
