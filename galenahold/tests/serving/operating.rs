//! Operators' commands against a real instance.

use crate::running_instance::RunningInstance;

const FLEET: &str = r#"{
    // One team may use one model.
    "teams": [{"name": "councils", "rate_tokens_per_s": 100, "burst_tokens": 10000}],
    "models": [{"name": "alama", "version": "1", "bytes": 1000}],
    "services": [{"name": "drafts", "kind": "models", "models": ["alama"], "teams": ["councils"]}],
}"#;

#[test]
fn plan_changes_nothing_until_confirmed_and_a_second_confirm_conflicts() {
    let instance = RunningInstance::start();
    instance.write("fleet.jsonc", FLEET);
    let (exit, plan) = instance.command(&["plan", "--intent", "fleet.jsonc"]);
    assert_eq!(exit, 0, "{plan}");
    let (_, before) = instance.command(&["show", "intent"]);
    assert_eq!(before["intent"]["teams"], serde_json::json!([]));
    let (base, digest) = (plan["base"].to_string(), plan["digest"].as_str().unwrap());
    let mut confirm = vec!["confirm", "--intent", "fleet.jsonc"];
    confirm.extend(["--base", &base, "--digest", digest]);
    let (exit, confirmed) = instance.command(&[&confirm[..], &["--request", "r1"]].concat());
    assert_eq!(exit, 0, "{confirmed}");
    let (exit, repeated) = instance.command(&[&confirm[..], &["--request", "r1"]].concat());
    assert_eq!((exit, &repeated["revision"]), (0, &confirmed["revision"]));
    let (exit, conflict) = instance.command(&[&confirm[..], &["--request", "r2"]].concat());
    assert_eq!(
        (exit, conflict["error"]["kind"].as_str()),
        (3, Some("conflict"))
    );
    let (_, after) = instance.command(&["show", "intent"]);
    assert_eq!(after["intent"]["teams"][0]["name"], "councils");
}

#[test]
fn repeated_request_gets_the_same_key_and_withdrawn_keys_are_gone() {
    let instance = RunningInstance::start();
    instance.write("fleet.jsonc", FLEET);
    let (_, plan) = instance.command(&["plan", "--intent", "fleet.jsonc"]);
    let (base, digest) = (plan["base"].to_string(), plan["digest"].as_str().unwrap());
    let confirm = ["confirm", "--intent", "fleet.jsonc", "--base", &base];
    let (exit, confirmed) = instance.command(&[&confirm[..], &["--digest", digest]].concat());
    assert_eq!(exit, 0, "{confirmed}");
    let base = confirmed["revision"].to_string();
    let give = ["keys", "give", "--team", "councils"];
    let repeat = [&give[..], &["--request", "k1", "--base", &base]].concat();
    let (exit, first) = instance.command(&repeat);
    assert_eq!(exit, 0, "{first}");
    assert_eq!(instance.command(&repeat).1["key"], first["key"]);
    assert_ne!(instance.command(&give).1["key"], first["key"]);
    let id = first["id"].as_str().unwrap();
    assert_eq!(instance.command(&["keys", "withdraw", id]).0, 0);
    let (_, keys) = instance.command(&["keys", "list"]);
    assert_eq!(keys.as_array().unwrap().len(), 1);
    assert_ne!(keys[0]["id"], first["id"]);
}

#[test]
fn each_view_of_a_fresh_instance_is_answered() {
    let instance = RunningInstance::start();
    for view in [
        &["status"][..],
        &["members", "list"],
        &["show", "servers"],
        &["show", "replicas"],
        &["show", "revision"],
        &["show", "orders"],
        &["report", "burn"],
    ] {
        let (exit, answer) = instance.command(view);
        assert_eq!(exit, 0, "{view:?}: {answer}");
    }
}

#[test]
fn planned_stop_exits_with_status_0() {
    let instance = RunningInstance::start();
    assert_eq!(instance.stop(), Some(0));
}
