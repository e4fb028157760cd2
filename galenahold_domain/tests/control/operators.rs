//! Concurrent and resent requests of operators.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;

use crate::fixture;

#[test]
fn second_of_two_concurrent_plans_conflicts_despite_equal_request_numbers() {
    let mut logged = fixture::LoggedState::with_intent();
    let mut first = fixture::intent();
    first.teams[0].weight = 5;
    let mut second = fixture::intent();
    second.teams[1].weight = 7;
    let current = logged.state.view();
    let base = current.revision;
    let plan = intent::IntentPlan::between(base, &current.intent, &second);
    assert_eq!(logged.confirm("amina", "1", 1, &first), fixture::changed(2));
    let outcome = logged.apply(&control::ControlCommand::ConfirmPlan {
        request: fixture::request("juma", "1"),
        base,
        intent: second,
        digest: plan.digest,
        now_ms: 0,
    });
    let control::ControlOutcome::Conflict(conflict) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(conflict.current, amount::RevisionNumber(2));
    assert_eq!(conflict.operator.as_str(), "amina");
    assert_eq!(conflict.summary, ["change team `mkoani`: weight 1 -> 5"]);
}

#[test]
fn resent_request_gets_its_first_outcome_after_later_changes() {
    let mut logged = fixture::LoggedState::with_intent();
    let current = logged.state.view();
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 5;
    let plan = intent::IntentPlan::between(current.revision, &current.intent, &wanted);
    let command = control::ControlCommand::ConfirmPlan {
        request: fixture::request("amina", "1"),
        base: current.revision,
        intent: wanted,
        digest: plan.digest,
        now_ms: 0,
    };
    assert_eq!(logged.apply(&command), fixture::changed(2));
    assert_eq!(
        logged.confirm("juma", "1", 2, &fixture::intent()),
        fixture::changed(3)
    );
    let before = logged.state.view();
    assert_eq!(logged.apply(&command), fixture::changed(2));
    assert_eq!(logged.state.view(), before);
}

#[test]
fn delta_has_the_effect_of_the_whole_plan_and_its_resend_is_recognized() {
    let mut logged = fixture::LoggedState::with_intent();
    let mut whole = fixture::LoggedState::with_intent();
    let current = logged.state.view();
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 5;
    wanted.models[0].adapters.pop();
    wanted.services.pop();
    let plan = intent::IntentPlan::between(current.revision, &current.intent, &wanted);
    let confirm = |current: &intent::FleetIntent| {
        control::ControlCommand::confirm(
            fixture::request("amina", "1"),
            amount::RevisionNumber(1),
            current,
            &wanted,
            plan.digest.clone(),
            0,
        )
    };
    let first = confirm(&current.intent);
    assert_eq!(logged.apply(&first), fixture::changed(2));
    assert_eq!(whole.confirm("amina", "1", 1, &wanted), fixture::changed(2));
    assert_eq!(logged.state.view(), whole.state.view());
    let resent = confirm(&logged.state.view().intent);
    assert_ne!(
        resent, first,
        "the delta is empty once the wanted intent is in force"
    );
    assert_eq!(logged.apply(&resent), fixture::changed(2));
}

#[test]
fn delta_against_an_outdated_intent_conflicts() {
    let mut logged = fixture::LoggedState::with_intent();
    let current = logged.state.view();
    let mut mine = fixture::intent();
    mine.teams[0].weight = 5;
    let plan = intent::IntentPlan::between(current.revision, &current.intent, &mine);
    let command = control::ControlCommand::confirm(
        fixture::request("amina", "1"),
        current.revision,
        &current.intent,
        &mine,
        plan.digest,
        0,
    );
    let mut theirs = fixture::intent();
    theirs.teams[1].weight = 7;
    assert_eq!(logged.confirm("juma", "1", 1, &theirs), fixture::changed(2));
    let outcome = logged.apply(&command);
    assert!(
        matches!(&outcome, control::ControlOutcome::Conflict(conflict)
            if conflict.operator.as_str() == "juma"),
        "{outcome:?}"
    );
}

#[test]
fn state_refuses_an_invalid_plan() {
    let mut logged = fixture::LoggedState::with_intent();
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 0;
    let outcome = logged.confirm("amina", "1", 1, &wanted);
    assert_eq!(
        outcome,
        control::ControlOutcome::Invalid {
            reasons: vec!["teams[0].weight: 0: must be 1 or more".to_owned()]
        }
    );
    assert_eq!(logged.state.revision(), amount::RevisionNumber(1));
}

#[test]
fn request_number_reused_for_another_request_is_refused() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    let outcome = logged.give("1", fixture::key_record(2, "mkoani"));
    assert_eq!(outcome, control::ControlOutcome::RequestReused);
    assert_eq!(logged.state.revision(), amount::RevisionNumber(2));
}

#[test]
fn plan_with_a_different_digest_changes_nothing() {
    let mut logged = fixture::LoggedState::with_intent();
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 5;
    let outcome = logged.apply(&control::ControlCommand::ConfirmPlan {
        request: fixture::request("amina", "1"),
        base: amount::RevisionNumber(1),
        intent: wanted,
        digest: "other".to_owned(),
        now_ms: 0,
    });
    assert!(
        matches!(outcome, control::ControlOutcome::DigestDiffers { .. }),
        "{outcome:?}"
    );
    assert_eq!(logged.state.revision(), amount::RevisionNumber(1));
}

#[test]
fn plan_is_accepted_when_only_keys_changed_since_its_base() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "mkoani"));
    let mut wanted = fixture::intent();
    wanted.teams[0].weight = 5;
    assert_eq!(logged.confirm("juma", "1", 1, &wanted), fixture::changed(3));
}

#[test]
fn old_resend_never_restores_a_withdrawn_key() {
    let mut logged = fixture::LoggedState::with_intent();
    let base = logged.state.revision();
    let record = fixture::key_record(1, "mkoani");
    logged.give_against("1", base, record.clone());
    logged.withdraw("2", &record.id);
    let outcome = logged.give_against("resent-under-another-number", base, record);
    assert!(
        matches!(outcome, control::ControlOutcome::Invalid { .. }),
        "{outcome:?}"
    );
    assert!(logged.state.view().keys.is_empty());
}

#[test]
fn key_of_a_removed_team_stays_withdrawn_when_the_team_returns() {
    let mut logged = fixture::LoggedState::with_intent();
    logged.give("1", fixture::key_record(1, "kibaha"));
    let mut wanted = fixture::intent();
    wanted.teams.remove(1);
    wanted.services[0].teams.pop();
    assert_eq!(logged.confirm("juma", "1", 2, &wanted), fixture::changed(3));
    assert_eq!(
        logged.confirm("juma", "2", 3, &fixture::intent()),
        fixture::changed(4)
    );
    assert!(logged.state.view().keys.is_empty());
}
