//! Limits on kept changes, requests and withdrawn keys: a resend takes no effect even if the record
//! of the request was dropped.

use galenahold_domain::amount;
use galenahold_domain::control;

use crate::fixture;

/// A number above the limits of kept changes, requests and withdrawn keys.
const MANY: usize = 66_000;

/// A number above the limit of kept changes.
const MANY_CHANGES: usize = 5_000;

#[test]
fn no_changes_are_returned_for_a_revision_older_than_the_history() {
    let mut logged = fixture::LoggedState::with_intent();
    for number in 0..MANY_CHANGES {
        let record = fixture::numbered_record(number, "mkoani");
        logged.give(&number.to_string(), record);
    }
    let first = amount::RevisionNumber::ZERO;
    assert_eq!(logged.state.changes_since(first), None);
    let late = amount::RevisionNumber(logged.state.revision().0 - 1_000);
    let changes = logged
        .state
        .changes_since(late)
        .expect("the latest 1,000 changes are kept");
    assert_eq!(changes.len(), 1_000);
    assert_eq!(changes[0].revision(), late.next());
    let latest = changes.last().map(control::ConfigurationChange::revision);
    assert_eq!(latest, Some(logged.state.revision()));
}

#[test]
fn resent_plan_conflicts_after_its_outcome_was_dropped() {
    let mut logged = fixture::LoggedState::with_intent();
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 5;
    let current = logged.state.view();
    let plan =
        galenahold_domain::intent::IntentPlan::between(current.revision, &current.intent, &wanted);
    let command = control::ControlCommand::ConfirmPlan {
        request: fixture::request("juma", "1"),
        base: current.revision,
        intent: wanted,
        digest: plan.digest,
        now_ms: 0,
    };
    assert_eq!(logged.apply(&command), fixture::changed(2));
    // One more than the 10,000 requests that are kept.
    for number in 0..10_001 {
        logged.withdraw(&number.to_string(), &"none".into());
    }
    let outcome = logged.apply(&command);
    assert!(
        matches!(outcome, control::ControlOutcome::Conflict(_)),
        "{outcome:?}"
    );
}

#[test]
fn resent_key_is_refused_after_its_withdrawal_was_dropped() {
    let mut logged = fixture::LoggedState::with_intent();
    let base = logged.state.revision();
    let first = fixture::numbered_record(0, "kibaha");
    logged.give_against("first", base, first.clone());
    logged.withdraw("withdraw", &first.id);
    for number in 1..MANY {
        let record = fixture::numbered_record(number, "kibaha");
        logged.give(&number.to_string(), record);
    }
    // Removing the team withdraws more keys than are kept, so that the first one is dropped.
    let mut without_team = fixture::intent();
    without_team.teams.remove(1);
    without_team.services[0].teams.pop();
    let revision = logged.state.revision().0;
    logged.confirm("juma", "1", revision, &without_team);
    logged.confirm("juma", "2", revision + 1, &fixture::intent());
    assert!(logged.state.view().keys.is_empty());
    let outcome = logged.give_against("first", base, first.clone());
    assert!(
        matches!(outcome, control::ControlOutcome::Invalid { .. }),
        "{outcome:?}"
    );
    let fresh = fixture::numbered_record(MANY, "kibaha");
    let outcome = logged.give("fresh", fresh);
    assert_eq!(outcome, fixture::changed(revision + 3));
}
