//! Every problem of a file is reported with its position and the allowed values.

use expect_test::expect;
use galenahold_settings::{InstanceSettings, ProblemKind, SettingsErrorKind};

/// Valid settings of a control instance; the tests replace parts of the text.
const CONTROL: &str = r#"{
    "cluster": "pwani",
    "instance": {"name": "c1", "data_centre": "a", "region": "pwani", "roles": ["control"]},
    "listen": {"peers": "127.0.0.1:7101", "platform": "127.0.0.1:0"},
    "data_folder": "/data",
}"#;

fn message(text: &str) -> String {
    InstanceSettings::from_text(text, "c1.jsonc")
        .unwrap_err()
        .to_string()
}

/// Returns the error message for the valid settings with one part replaced.
fn message_with(part: &str, replacement: &str) -> String {
    assert!(CONTROL.contains(part));
    assert!(InstanceSettings::from_text(CONTROL, "c1.jsonc").is_ok());
    message(&CONTROL.replace(part, replacement))
}

#[test]
fn all_problems_of_a_file_are_reported_at_once_with_positions() {
    let text = r#"{
    "cluster": "pwani west",
    "instance": {"name": "c1", "data_centre": "a", "roles": ["contol", "entry", "entry"]},
    "listen": {"callers": "localhost:80", "peers": "127.0.0.1:7101", "peers": "127.0.0.1:7102"},
    "timing": {"hartbeat_ms": 5, "election_timeout_ms": 1, "drain_ms": "5s", "notice_ms": 1.5},
    "operator": [],
    "data_folder": "/data",
}"#;
    let error = InstanceSettings::from_text(text, "c1.jsonc").unwrap_err();
    assert_eq!(error.kind(), SettingsErrorKind::Invalid);
    let kinds: Vec<_> = error
        .problems()
        .iter()
        .map(|problem| problem.kind)
        .collect();
    assert!(kinds.contains(&ProblemKind::DuplicateField));
    expect![[r#"
        12 problems in settings c1.jsonc
        c1.jsonc:2:16: `cluster` is not valid: "pwani west"; allowed: a name of 1 to 63 letters, digits, "-", "_" or "."
        c1.jsonc:3:17: field `instance.region` is missing; allowed: a name of 1 to 63 letters, digits, "-", "_" or "."
        c1.jsonc:3:62: `instance.roles[0]` is not valid: "contol"; allowed: one of "entry", "control"
        c1.jsonc:3:81: `instance.roles[2]` is not valid: "entry" appears twice in the list; allowed: each value at most once
        c1.jsonc:4:15: field `listen.platform` is missing; allowed: "IP:PORT" with a numeric IP address, such as "10.0.0.1:7100"; port 0 takes any free port
        c1.jsonc:4:27: `listen.callers` is not valid: "localhost:80"; allowed: "IP:PORT" with a numeric IP address, such as "10.0.0.1:7100"; port 0 takes any free port
        c1.jsonc:4:70: duplicate field `listen.peers`
        c1.jsonc:5:16: unknown field `timing.hartbeat_ms`; did you mean `heartbeat_ms`?; allowed: election_timeout_ms, heartbeat_ms, key_freshness_ms, announcement_ttl_ms, notice_ms, drain_ms, grant_lease_ms, clock_drift_per_million
        c1.jsonc:5:57: `timing.election_timeout_ms` is out of range: 1; allowed: a whole number from 20 to 60000 (milliseconds)
        c1.jsonc:5:72: `timing.drain_ms` has the wrong type: "5s"; allowed: a whole number from 0 to 3600000 (milliseconds)
        c1.jsonc:5:91: `timing.notice_ms` has the wrong type: 1.5; allowed: a whole number from 0 to 600000 (milliseconds)
        c1.jsonc:6:5: unknown field `operator`; did you mean `operators`?; allowed: cluster, instance, listen, advertise, data_folder, peers, relay, operators, limits, timing, retry, placement, fencing"#]].assert_eq(&error.to_string());
}

#[test]
fn text_that_is_not_json_is_reported_with_its_position() {
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:2:17: cannot be read as JSON with comments: Expected comma"#]]
    .assert_eq(&message("{\n  \"cluster\": \"a\"\n  \"peers\": []\n}"));
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:2:1: cannot be read as JSON with comments: the file does not hold an object { ... }"#]]
    .assert_eq(&message("// nothing\n[1]"));
}

#[test]
fn control_role_without_data_folder_is_refused() {
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:1:1: field `data_folder` is missing; allowed: a path in quotes; the role "control" needs a data folder"#]].assert_eq(&message_with("\"data_folder\": \"/data\",", ""));
}

#[test]
fn entry_role_without_addresses_or_peers_and_with_data_folder_is_refused() {
    expect![[r#"
        4 problems in settings c1.jsonc
        c1.jsonc:1:1: field `peers` is missing; allowed: the instances of the control group; an instance without the role "control" needs at least one
        c1.jsonc:4:15: field `listen.callers` is missing; allowed: "IP:PORT" with a numeric IP address, such as "10.0.0.1:7100"; port 0 takes any free port; the role "entry" needs it
        c1.jsonc:4:15: field `listen.backends` is missing; allowed: "IP:PORT" with a numeric IP address, such as "10.0.0.1:7100"; port 0 takes any free port; the role "entry" needs it
        c1.jsonc:5:20: `data_folder` is inconsistent: the instance lacks the role "control"; allowed: no data folder without the role "control""#]].assert_eq(&message_with("[\"control\"]", "[\"entry\"]"));
}

#[test]
fn instance_without_role_is_refused() {
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:3:80: `instance.roles` is inconsistent: an instance needs a role; allowed: "entry", "control" or both"#]].assert_eq(&message_with("[\"control\"]", "[]"));
}

#[test]
fn operator_api_without_operators_is_refused() {
    let api = "\"listen\": {\"operators\": \"127.0.0.1:9\", ";
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:1:1: field `operators` is missing; allowed: at least one operator; `listen.operators` needs it"#]].assert_eq(&message_with("\"listen\": {", api));
}

#[test]
fn duplicate_peers_and_the_instance_itself_as_peer_are_refused() {
    let peers = r#""peers": [
        {"name": "c1", "address": "10.0.0.1:1", "data_centre": "a", "control": true},
        {"name": "c2", "address": "10.0.0.1:1", "data_centre": "a", "control": true},
        {"name": "c2", "address": "10.0.0.2:0", "data_centre": "a", "control": true},
    ], "relay": ["c2", "c9"], "cluster""#;
    expect![[r#"
        6 problems in settings c1.jsonc
        c1.jsonc:3:18: `peers[0].name` is inconsistent: the instance's own name; allowed: names of other instances
        c1.jsonc:4:35: `peers[1].address` is inconsistent: the same value as `peers[0].address`; allowed: a unique value
        c1.jsonc:5:18: `peers[2].name` is inconsistent: the same value as `peers[1].name`; allowed: a unique value
        c1.jsonc:5:35: `peers[2].address` is not valid: "10.0.0.2:0"; allowed: "IP:PORT" with a numeric IP address, such as "10.0.0.1:7100", not port 0
        c1.jsonc:6:18: `relay[0]` is inconsistent: the instance has the role "control"; allowed: no relay with the role "control"
        c1.jsonc:6:24: `relay[1]` is inconsistent: no such peer; allowed: names of `peers`"#]].assert_eq(&message_with("\"cluster\"", peers));
}

#[test]
fn peer_address_that_cannot_be_dialed_needs_an_advertised_one() {
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:4:25: `listen.peers` is inconsistent: other instances cannot connect to port 0 or an unspecified IP address; allowed: a complete address, or `advertise.peers` with the address to connect to"#]].assert_eq(&message_with("127.0.0.1:7101", "0.0.0.0:7101"));
    let advertised = CONTROL.replace("127.0.0.1:7101", "0.0.0.0:7101").replace(
        "\"cluster\"",
        "\"advertise\": {\"peers\": \"10.0.0.1:7101\"}, \"cluster\"",
    );
    assert!(InstanceSettings::from_text(&advertised, "c1.jsonc").is_ok());
}

#[test]
fn inconsistent_timeouts_are_refused() {
    let groups = r#""timing": {"heartbeat_ms": 600}, "retry": {"backoff_min_ms": 501}, "cluster""#;
    expect![[r#"
        2 problems in settings c1.jsonc
        c1.jsonc:2:32: `timing.heartbeat_ms` is inconsistent: 600 with `timing.election_timeout_ms` 400; allowed: at most half of `timing.election_timeout_ms`
        c1.jsonc:2:47: `retry.backoff_max_ms` is inconsistent: 500 with `retry.backoff_min_ms` 501; allowed: at least `retry.backoff_min_ms`"#]].assert_eq(&message_with("\"cluster\"", groups));
}

#[test]
fn fencing_rule_for_every_server_and_shared_listener_are_refused() {
    let groups = r#""fencing": [{"checks_fencing": true}], "cluster""#;
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:2:17: `fencing[0]` is inconsistent: the rule matches every backend server; allowed: a `server_prefix`, a `data_centre` or both"#]].assert_eq(&message_with("\"cluster\"", groups));
    expect![[r#"
        1 problem in settings c1.jsonc
        c1.jsonc:4:55: `listen.platform` is inconsistent: 127.0.0.1:7101 is also `listen.peers`; allowed: a different address for each listener"#]].assert_eq(&message_with("127.0.0.1:0", "127.0.0.1:7101"));
}

#[test]
fn unreadable_file_and_invalid_file_have_different_error_kinds() {
    let path = std::path::Path::new("/nowhere/c1.jsonc");
    let error = InstanceSettings::from_file(path).unwrap_err();
    assert_eq!(error.kind(), SettingsErrorKind::Unreadable);
    assert!(error.to_string().contains("/nowhere/c1.jsonc"));
}
