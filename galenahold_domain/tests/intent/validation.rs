//! Validation of intents: all problems are collected, each with the path of its field.

use expect_test::{Expect, expect};
use galenahold_domain::amount;
use galenahold_domain::intent;

fn check_problems(text: &str, expected: &Expect) {
    check_problems_with_engine(text, None, expected);
}

fn check_problems_with_engine(text: &str, engine: Option<u64>, expected: &Expect) {
    let intent = intent::FleetIntent::from_json(text).expect("the document is parsed");
    let engine = engine.map(amount::ByteCount);
    let validation = intent::IntentValidation::of(&intent, engine);
    expected.assert_eq(&validation.lines().join("\n"));
    assert_eq!(validation.is_valid(), validation.problems().is_empty());
}

#[test]
fn valid_intent_has_no_problems() {
    check_problems(
        r#"{
            "teams": [{"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 8192}],
            "models": [{"name": "org/m", "version": "1", "bytes": 1,
                "adapters": [{"name": "x", "bytes": 1}]}],
            "services": [
                {"name": "s", "kind": "models", "models": ["org/m"], "teams": ["a"]},
                {"name": "t", "kind": "plain", "path_prefix": "/t", "open": true},
                {"name": "u", "kind": "plain", "path_prefix": "/t/u", "teams": []}
            ]
        }"#,
        &expect![""],
    );
}

#[test]
fn zero_amounts_and_duplicate_names_of_teams_are_problems() {
    check_problems(
        r#"{"teams": [
            {"name": "a", "rate_tokens_per_s": 0, "burst_tokens": 0, "weight": 0},
            {"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 1}
        ]}"#,
        &expect![[r"
            teams[0].rate_tokens_per_s: 0: must be 1 or more
            teams[0].burst_tokens: 0: must be 1 or more
            teams[0].weight: 0: must be 1 or more
            teams[1].name: `a`: must not name a team twice"]],
    );
}

#[test]
fn burst_below_the_largest_request_is_a_problem() {
    check_problems(
        r#"{
            "teams": [
                {"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 600},
                {"name": "b", "rate_tokens_per_s": 1, "burst_tokens": 600}
            ],
            "models": [
                {"name": "m", "version": "1", "bytes": 1, "max_request_tokens": 700},
                {"name": "n", "version": "1", "bytes": 1, "max_request_tokens": 600}
            ],
            "services": [
                {"name": "s", "kind": "models", "models": ["n", "m"], "teams": ["b"]},
                {"name": "t", "kind": "models", "models": ["n"], "teams": ["a", "b"]},
                {"name": "u", "kind": "plain", "path_prefix": "/u", "call_tokens": 601, "teams": ["a"]}
            ]
        }"#,
        &expect![[r"
            teams[0].burst_tokens: 600: must be 601 or more, the largest request of `u`
            teams[1].burst_tokens: 600: must be 700 or more, the largest request of `m`"]],
    );
}

#[test]
fn invalid_models_and_adapters_are_problems() {
    check_problems(
        r#"{"models": [
            {"name": "m", "version": "", "bytes": 0, "min_replicas": 3, "max_replicas": 2,
             "max_request_tokens": 0, "replica_concurrency": 0,
             "adapters": [{"name": "n", "bytes": 0}, {"name": "x", "bytes": 1}]},
            {"name": "n", "version": "1", "bytes": 1, "adapters": [{"name": "x", "bytes": 1}]}
        ]}"#,
        &expect![[r"
            models[0].version: ``: must not be empty
            models[0].bytes: 0: must be 1 or more
            models[0].max_request_tokens: 0: must be 1 or more
            models[0].replica_concurrency: 0: must be 1 or more
            models[0].min_replicas: 3: must be 2 or less, max_replicas
            models[0].adapters[0].name: `n`: must be unique among models and adapters
            models[0].adapters[0].bytes: 0: must be 1 or more
            models[1].adapters[0].name: `x`: must be unique among models and adapters"]],
    );
}

#[test]
fn model_too_large_for_the_largest_engine_is_a_problem() {
    let text = r#"{"models": [
        {"name": "m", "version": "1", "bytes": 90,
         "adapters": [{"name": "x", "bytes": 10}, {"name": "y", "bytes": 11}]},
        {"name": "n", "version": "1", "bytes": 100}
    ]}"#;
    check_problems_with_engine(
        text,
        Some(100),
        &expect![
            "models[0].bytes: 90: must fit with its largest adapter of 11 bytes into the largest engine of 100 bytes"
        ],
    );
    check_problems_with_engine(text, None, &expect![""]);
}

#[test]
fn unknown_and_duplicate_references_of_services_are_problems() {
    check_problems(
        r#"{
            "teams": [{"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 8192}],
            "models": [{"name": "m", "version": "1", "bytes": 1}],
            "services": [
                {"name": "s", "kind": "models", "models": ["m", "o", "m"], "teams": ["a", "b", "a"]},
                {"name": "s", "kind": "models", "models": [], "deadline_ms": 0}
            ]
        }"#,
        &expect![[r"
            services[0].models[1]: `o`: must be a model of this intent
            services[0].models[2]: `m`: must not name a model twice
            services[0].teams[1]: `b`: must be a team of this intent
            services[0].teams[2]: `a`: must not name a team twice
            services[1].name: `s`: must not name a service twice
            services[1].models: []: must name a model
            services[1].deadline_ms: 0: must be 1 or more"]],
    );
}

#[test]
fn invalid_path_prefixes_and_methods_are_problems() {
    check_problems(
        r#"{"services": [
            {"name": "a", "kind": "plain", "path_prefix": "orders"},
            {"name": "b", "kind": "plain", "path_prefix": "/"},
            {"name": "c", "kind": "plain", "path_prefix": "/v1/orders"},
            {"name": "d", "kind": "plain", "path_prefix": "/V1"},
            {"name": "e", "kind": "plain", "path_prefix": "/v10"},
            {"name": "f", "kind": "plain", "path_prefix": "/x/../v1"},
            {"name": "g", "kind": "plain", "path_prefix": "/x/"},
            {"name": "h", "kind": "plain", "path_prefix": "/%76"},
            {"name": "i", "kind": "plain", "path_prefix": "/v10", "idempotent_methods": ["put"]}
        ]}"#,
        &expect![[r"
            services[0].path_prefix: `orders`: must begin with `/`
            services[1].path_prefix: `/`: must not cover all paths
            services[2].path_prefix: `/v1/orders`: must not shadow `/v1`, which serves models
            services[3].path_prefix: `/V1`: must not shadow `/v1`, which serves models
            services[5].path_prefix: `/x/../v1`: must have segments of letters, digits and `-._~` that are not empty, `.` or `..`
            services[6].path_prefix: `/x/`: must have segments of letters, digits and `-._~` that are not empty, `.` or `..`
            services[7].path_prefix: `/%76`: must have segments of letters, digits and `-._~` that are not empty, `.` or `..`
            services[8].path_prefix: `/v10`: must not be the prefix of another service
            services[8].idempotent_methods[0]: `put`: must be a method in capital letters"]],
    );
}

#[test]
fn open_service_with_teams_or_charges_is_a_problem() {
    check_problems(
        r#"{
            "teams": [{"name": "a", "rate_tokens_per_s": 1, "burst_tokens": 8192}],
            "models": [{"name": "m", "version": "1", "bytes": 1}],
            "services": [
                {"name": "s", "kind": "models", "models": ["m"], "open": true},
                {"name": "t", "kind": "plain", "path_prefix": "/t", "open": true,
                 "teams": ["a"], "call_tokens": 1}
            ]
        }"#,
        &expect![[r"
            services[0].open: true: must be false for models, whose tokens are charged to a team
            services[1].teams: 1 named: must be empty while `open` is true, since all may call
            services[1].call_tokens: 1: must be 0 while `open` is true, since there is no team to charge"]],
    );
}

#[test]
fn names_that_need_quoting_are_problems() {
    check_problems(
        r#"{"teams": [
            {"name": "", "rate_tokens_per_s": 1, "burst_tokens": 1},
            {"name": "a b", "rate_tokens_per_s": 1, "burst_tokens": 1},
            {"name": "a\"", "rate_tokens_per_s": 1, "burst_tokens": 1},
            {"name": "a,b=c", "rate_tokens_per_s": 1, "burst_tokens": 1},
            {"name": "a\nb", "rate_tokens_per_s": 1, "burst_tokens": 1},
            {"name": "\u00e9", "rate_tokens_per_s": 1, "burst_tokens": 1}
        ]}"#,
        &expect![[r#"
            teams[0].name: ``: must not be empty
            teams[1].name: `a b`: must be visible ASCII without quotes, commas, equals signs and backslashes
            teams[2].name: `a\"`: must be visible ASCII without quotes, commas, equals signs and backslashes
            teams[3].name: `a,b=c`: must be visible ASCII without quotes, commas, equals signs and backslashes
            teams[4].name: `a\nb`: must be visible ASCII without quotes, commas, equals signs and backslashes
            teams[5].name: `\u{e9}`: must be visible ASCII without quotes, commas, equals signs and backslashes"#]],
    );
}

#[test]
fn invalid_store_limits_and_objectives_are_problems() {
    check_problems(
        r#"{
            "services": [{"name": "s", "kind": "plain", "path_prefix": "/s", "objective":
                {"first_token_ms": 0, "availability_per_million": 1000001}}],
            "store": {"loads_per_second": 0, "loads_in_flight": 0, "adapters_in_flight": 0}
        }"#,
        &expect![[r"
            services[0].objective.first_token_ms: 0: must be 1 or more
            services[0].objective.availability_per_million: 1000001: must be from 1 to 1000000
            store.loads_per_second: 0: must be 1 or more
            store.loads_in_flight: 0: must be 1 or more
            store.adapters_in_flight: 0: must be 1 or more"]],
    );
}
