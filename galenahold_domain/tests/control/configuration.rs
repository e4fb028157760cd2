//! How instances apply changes of the configuration in order, and look up its parts.

use std::sync;

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::name;

use crate::fixture;

fn index() -> control::ConfigurationIndex {
    let logged = fixture::LoggedState::with_intent();
    control::ConfigurationIndex::new(logged.state.view())
}

#[test]
fn applying_all_changes_reproduces_the_view() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    logged.give("2", fixture::key_record(2, "kibaha"));
    logged.withdraw("3", fixture::caller_key(1).id());
    let mut wanted = fixture::intent();
    wanted.teams.remove(1);
    wanted.services[0].teams.pop();
    wanted.models[0].adapters.reverse();
    assert_eq!(logged.confirm("boot", "2", 4, &wanted), fixture::changed(5));
    let mut view = control::ConfigurationView::default();
    let changes = logged.state.changes_since(view.revision);
    for change in changes.expect("all changes are kept") {
        view.apply(&change)
            .expect("the change makes the next revision");
    }
    assert_eq!(view, *logged.state.view());
    assert!(
        view.keys.is_empty(),
        "the key of the removed team is removed as well"
    );
}

#[test]
fn view_refuses_a_repeated_change_and_a_gap() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    logged.give("2", fixture::key_record(2, "mkoani"));
    let changes = logged
        .state
        .changes_since(amount::RevisionNumber::ZERO)
        .expect("all changes are kept");
    let mut view = control::ConfigurationView::default();
    view.apply(&changes[0])
        .expect("the change makes the next revision");
    let before = view.clone();
    assert!(
        view.apply(&changes[0]).is_err(),
        "a repeated change is refused"
    );
    assert!(
        view.apply(&changes[2]).is_err(),
        "a change after a gap is refused"
    );
    assert_eq!(view, before);
}

#[test]
fn no_changes_are_returned_for_a_revision_ahead_of_the_state() {
    let logged = fixture::LoggedState::with_intent();
    let ahead = amount::RevisionNumber(2);
    assert_eq!(logged.state.changes_since(ahead), None);
    let same = logged.state.changes_since(amount::RevisionNumber(1));
    assert_eq!(same, Some(Vec::new()));
}

#[test]
fn path_matches_the_longest_prefix_of_whole_segments() {
    let index = index();
    let service = |path: &str| {
        index
            .service_for_path(path)
            .map(|service| service.name.to_string())
    };
    assert_eq!(service("/orders").as_deref(), Some("foundry-desk"));
    assert_eq!(service("/orders/7").as_deref(), Some("foundry-desk"));
    assert_eq!(service("/orders/records/9").as_deref(), Some("records"));
    assert_eq!(service("/orders/recordsx").as_deref(), Some("foundry-desk"));
    assert_eq!(service("/ordersx"), None);
    assert_eq!(service("/"), None);
    assert_eq!(service(""), None);
}

#[test]
fn adapter_resolves_to_its_model_and_is_offered_with_it() {
    let index = index();
    let resolved = index
        .resolve_model("surveys")
        .expect("the adapter is found");
    assert_eq!(resolved.model.name.as_str(), "alama-llm");
    assert_eq!(resolved.adapter.map(|adapter| adapter.bytes.0), Some(20));
    let offering: Vec<&str> = index
        .services_offering("surveys")
        .map(|service| service.name.as_str())
        .collect();
    assert_eq!(offering, ["drafts"]);
    assert!(index.resolve_model("nothing").is_none());
}

#[test]
fn team_may_call_only_services_that_admit_it() {
    let index = index();
    let kibaha = name::TeamName::from("kibaha");
    assert!(index.may_call("drafts", Some(&kibaha)));
    assert!(!index.may_call("foundry-desk", Some(&kibaha)));
    assert!(!index.may_call("foundry-desk", None));
    assert!(index.may_call("records", None));
}

#[test]
fn key_admits_its_team_until_it_is_withdrawn() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    let index = control::ConfigurationIndex::new(logged.state.view());
    let key = fixture::caller_key(1);
    let team = index.admitted_team(&key).expect("the key is in force");
    assert_eq!(team.name.as_str(), "mkoani");
    assert!(index.admitted_team(&fixture::caller_key(2)).is_none());
    logged.withdraw("2", key.id());
    let index = index.with_view(logged.state.view());
    assert!(index.admitted_team(&key).is_none());
}

#[test]
fn key_change_does_not_copy_the_intent() {
    let mut logged = fixture::LoggedState::with_intent();
    let before = logged.state.view();
    logged.give("1", fixture::key_record(1, "mkoani"));
    let after = logged.state.view();
    assert!(sync::Arc::ptr_eq(&before.intent, &after.intent));
}
