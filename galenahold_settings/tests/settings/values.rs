//! Valid files are converted to typed values.

use std::fs;
use std::time;

use galenahold_domain::name;
use galenahold_settings::{InstanceSettings, ReplicaChoicePolicy};

const ENTRY: &str = r#"{
    "cluster": "pwani",
    "instance": {"name": "e1", "data_centre": "a", "region": "pwani", "roles": ["entry"]},
    "listen": {
        "callers": "127.0.0.1:0", "backends": "127.0.0.1:0",
        "peers": "[::1]:7100", "platform": "127.0.0.1:0",
    },
    "peers": [{"name": "c1", "address": "127.0.0.1:7101", "data_centre": "a", "control": true}],
    "timing": {"heartbeat_ms": 50}, // the others take their defaults
    "fencing": [
        {"server_prefix": "old-", "checks_fencing": false},
        {"data_centre": "a", "checks_fencing": true},
    ],
}"#;

fn entry() -> InstanceSettings {
    InstanceSettings::from_text(ENTRY, "e1.jsonc").unwrap()
}

#[test]
fn omitted_fields_take_their_defaults() {
    let settings = entry();
    assert_eq!(settings.timing.heartbeat(), time::Duration::from_millis(50));
    assert_eq!(
        settings.timing.key_freshness(),
        time::Duration::from_secs(3)
    );
    assert_eq!(settings.limits.max_head_bytes().0, 32_768);
    assert_eq!(
        settings.placement.replica_choice_policy(),
        ReplicaChoicePolicy::PrefixAffinity
    );
    assert_eq!(
        settings.placement.keep_alive(),
        time::Duration::from_mins(5)
    );
    assert!(settings.instance.is_entry());
    assert!(!settings.instance.is_control());
    assert_eq!(settings.data_folder, None);
    assert_eq!(settings.peer_address(), "[::1]:7100".parse().unwrap());
}

#[test]
fn first_matching_fencing_rule_overrides_announcement_and_default_is_unchecked() {
    let settings = entry();
    let checks = |server: &str, centre: &str, announced| {
        settings.checks_fencing(
            &name::ServerName::from(server),
            &name::DataCentreName::from(centre),
            announced,
        )
    };
    assert!(!checks("old-1", "a", Some(true)));
    assert!(checks("new-1", "a", Some(false)));
    assert!(checks("new-1", "b", Some(true)));
    assert!(!checks("new-1", "b", None));
}

#[test]
fn example_file_is_valid() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../docs/settings.example.jsonc"
    );
    let text = fs::read_to_string(path).unwrap();
    let settings = InstanceSettings::from_text(&text, path).unwrap();
    assert!(settings.instance.is_control());
    assert_eq!(settings.peers.len(), 3);
}
