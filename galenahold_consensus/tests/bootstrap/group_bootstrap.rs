//! Tests of when a member may bootstrap a group and when it joins one.

use std::time;

use galenahold_consensus::bootstrap;
use galenahold_consensus::core;
use galenahold_consensus::member;
use galenahold_consensus::message;

const NAMES: [&str; 3] = ["a", "b", "c"];

#[test]
fn bootstrap_waits_until_all_voters_have_greeted() {
    let mut bootstrapper = new_bootstrap("a", 1);
    assert_eq!(bootstrapper.creation_step(), None);
    greet(&mut bootstrapper, "b", 2);
    assert_eq!(bootstrapper.creation_step(), None);
    greet(&mut bootstrapper, "c", 3);
    let Some(bootstrap::BootstrapStep::Create(genesis)) = bootstrapper.creation_step() else {
        panic!("the voter with the lowest name must bootstrap once all voters have greeted");
    };
    let ids = [1, 2, 3].map(member::MemberId::new);
    assert_eq!(genesis.voters().collect::<Vec<_>>(), ids);
}

#[test]
fn only_the_voter_with_the_lowest_name_bootstraps() {
    let mut other_voter = new_bootstrap("b", 2);
    greet(&mut other_voter, "a", 1);
    greet(&mut other_voter, "c", 3);
    assert_eq!(other_voter.creation_step(), None);
}

#[test]
fn emptied_voter_does_not_bootstrap_a_second_group() {
    let mut bootstrapper = new_bootstrap("a", 4);
    let cluster = member::ClusterId::new(9);
    bootstrapper.receive(message::BootstrapBody::Founded { cluster });
    greet(&mut bootstrapper, "b", 2);
    greet(&mut bootstrapper, "c", 3);
    assert_eq!(bootstrapper.creation_step(), None);
}

#[test]
fn greeting_with_a_new_identity_replaces_the_earlier_greeting_of_the_voter() {
    let mut bootstrapper = new_bootstrap("a", 1);
    greet(&mut bootstrapper, "b", 2);
    greet(&mut bootstrapper, "b", 5);
    greet(&mut bootstrapper, "c", 3);
    let Some(bootstrap::BootstrapStep::Create(genesis)) = bootstrapper.creation_step() else {
        panic!("the voter with the lowest name must bootstrap once all voters have greeted");
    };
    assert!(genesis.is_voter(member::MemberId::new(5)));
    assert!(!genesis.contains(member::MemberId::new(2)));
}

#[test]
fn welcome_for_another_member_identity_is_ignored() {
    let mut other_voter = new_bootstrap("b", 2);
    let welcome = |guest| message::BootstrapBody::Welcome {
        cluster: member::ClusterId::new(9),
        genesis: member::MembershipList::default(),
        guest: member::MemberId::new(guest),
    };
    assert_eq!(other_voter.receive(welcome(7)), None);
    assert!(other_voter.receive(welcome(2)).is_some());
}

#[test]
fn joiner_is_listed_only_while_it_keeps_greeting() {
    let at = |seconds| core::MonotonicTime::from(time::Duration::from_secs(seconds));
    let mut table = bootstrap::JoinerTable::default();
    table.record(profile("d", 4), at(1));
    table.record(profile("d", 5), at(2));
    assert_eq!(table.current(at(3)), [profile("d", 5)]);
    assert_eq!(table.current(at(9)), []);
    table.record(profile("d", 5), at(9));
    table.remove_members(&member::MembershipList::of_voters(vec![profile("d", 5)]));
    assert_eq!(table.current(at(9)), []);
}

fn new_bootstrap(name: &str, id: u128) -> bootstrap::GroupBootstrap {
    bootstrap::GroupBootstrap::new(
        profile(name, id),
        NAMES
            .map(|name| member::MemberEndpoint::new(name, name))
            .to_vec(),
        time::Duration::from_millis(50),
        core::MonotonicTime::default(),
    )
}

fn greet(receiver: &mut bootstrap::GroupBootstrap, name: &str, id: u128) {
    let greeting = message::BootstrapBody::Greeting(profile(name, id));
    assert_eq!(receiver.receive(greeting), None);
}

fn profile(name: &str, id: u128) -> member::MemberProfile {
    member::MemberProfile {
        id: member::MemberId::new(id),
        endpoint: member::MemberEndpoint::new(name, name),
    }
}
