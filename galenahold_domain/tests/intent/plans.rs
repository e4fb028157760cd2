//! Plans: the lines shown to operators, and the digest.

use expect_test::expect;
use galenahold_domain::amount;
use galenahold_domain::intent;

const BASE: amount::RevisionNumber = amount::RevisionNumber(4);

fn current() -> intent::FleetIntent {
    intent::FleetIntent::from_json(
        r#"{
            "teams": [
                {"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 9000},
                {"name": "b", "rate_tokens_per_s": 2, "burst_tokens": 9000}
            ],
            "models": [{"name": "m", "version": "1", "bytes": 5,
                "adapters": [{"name": "x", "bytes": 1}, {"name": "y", "bytes": 2}]}],
            "services": [{"name": "s", "kind": "models", "models": ["m"], "teams": ["a", "b"]}]
        }"#,
    )
    .expect("the document is parsed")
}

fn wanted() -> intent::FleetIntent {
    let mut wanted = current();
    wanted.teams.remove(1);
    wanted.teams[0].weight = 3;
    wanted.models[0].version = "2".into();
    wanted.models[0].adapters.pop();
    wanted.services[0].teams.pop();
    wanted.services[0].objective.first_token_ms = 900;
    wanted.store.loads_per_second = 3;
    wanted
}

#[test]
fn plan_has_one_line_for_each_step() {
    let plan = intent::IntentPlan::between(BASE, &current(), &wanted());
    expect![[r#"
        change team `a`: weight 1 -> 3
        remove team `b` and withdraw all its keys
        change model `m`: adapters[y].bytes 2 -> none, version "1" -> "2"
        change service `s`: objective.first_token_ms 1700 -> 900, teams ["a","b"] -> ["a"]
        change the weight store's limits: loads_per_second 4 -> 3"#]]
    .assert_eq(&plan.lines().join("\n"));
}

#[test]
fn plan_lists_all_fields_of_added_parts() {
    let empty = intent::FleetIntent::default();
    let plan = intent::IntentPlan::between(BASE, &empty, &current());
    expect![[r#"
        add team `a`: burst_tokens 9000, rate_tokens_per_s 1, weight 1
        add team `b`: burst_tokens 9000, rate_tokens_per_s 2, weight 1
        add model `m`: adapters[x].bytes 1, adapters[y].bytes 2, bytes 5, max_replicas 1, max_request_tokens 8192, min_replicas 0, replica_concurrency 16, version "1"
        add service `s`: deadline_ms 30000, kind "models", models ["m"], objective.availability_per_million 999000, objective.between_tokens_ms 26, objective.first_token_ms 1700, objective.latency_target_per_million 950000, open false, priority 0, teams ["a","b"]"#]]
    .assert_eq(&plan.lines().join("\n"));
}

#[test]
fn reordered_document_results_in_an_empty_plan() {
    let mut shuffled = current();
    shuffled.teams.reverse();
    shuffled.models[0].adapters.reverse();
    shuffled.services[0].teams.reverse();
    let plan = intent::IntentPlan::between(BASE, &current(), &shuffled);
    assert!(plan.is_empty(), "{:?}", plan.lines());
}

#[test]
fn digest_depends_on_base_and_content() {
    let plan = intent::IntentPlan::between(BASE, &current(), &wanted());
    let same = intent::IntentPlan::between(BASE, &current(), &wanted());
    assert_eq!(plan.digest, same.digest);
    let other_base = intent::IntentPlan::between(BASE.next(), &current(), &wanted());
    assert_ne!(plan.digest, other_base.digest);
    let mut other = wanted();
    other.models[0].adapters[0].bytes = amount::ByteCount(2);
    let other_content = intent::IntentPlan::between(BASE, &current(), &other);
    assert_ne!(plan.digest, other_content.digest);
}

#[test]
fn digest_is_stable_across_builds() {
    let plan = intent::IntentPlan::between(BASE, &current(), &wanted());
    expect!["9184d1b07de336c84ba3b615db11526e1342cc4c7bc226d04c49c1011fe3d42e"]
        .assert_eq(&plan.digest);
}
