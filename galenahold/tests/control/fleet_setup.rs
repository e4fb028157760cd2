//! The fleet that the tests of the control group use.

use std::time;

use galenahold_testkit::harness;
use galenahold_testkit::service;
use serde_json::{Value, json};

/// How long anything that is waited for may take.
pub(crate) const LIMIT: time::Duration = time::Duration::from_mins(1);
/// Control instances of a fleet; they come first.
pub(crate) const CONTROL: usize = 3;
/// The position of the instance that is an entry instance only.
pub(crate) const ENTRY: usize = CONTROL;

/// Three control instances and one entry instance, with a fault link for each pair.
pub(crate) struct ControlFleet {
    /// The instances.
    pub(crate) fleet: harness::InstanceFleet,
    /// Calls the operators' faces.
    pub(crate) probe: harness::FleetProbe,
    _permit: Option<harness::FleetPermit>,
}

/// A key that was given and the answer that acknowledged it.
pub(crate) struct AcknowledgedKey {
    /// The public part.
    pub(crate) id: String,
    /// The key that callers show.
    pub(crate) key: String,
    /// The revision that gave it.
    pub(crate) revision: u64,
}

impl ControlFleet {
    /// Starts a fleet with its intent in force.
    pub(crate) fn start() -> Self {
        Self::start_cluster("testkit", Some(harness::FleetPermit::take(1)))
    }

    /// Starts two fleets of different clusters.
    pub(crate) fn start_two() -> (Self, Self) {
        let permit = harness::FleetPermit::take(2);
        // The leave lasts until the second is dropped, which is the first to go.
        let first = Self::start_cluster("ours", None);
        (first, Self::start_cluster("theirs", Some(permit)))
    }

    fn start_cluster(cluster: &str, permit: Option<harness::FleetPermit>) -> Self {
        let fleet = harness::FleetBuilder::default()
            .control(CONTROL)
            .entries(1)
            .peer_route(harness::PeerRoute::Pairs)
            .settings(&json!({ "cluster": cluster, "timing": { "notice_ms": 300 } }))
            .start_ready(LIMIT)
            .expect("the fleet starts");
        let started = Self {
            probe: harness::FleetProbe::new(&fleet),
            fleet,
            _permit: permit,
        };
        let operator = started.fleet.operator();
        let revision = operator.state_intent(&intent(1));
        started.wait_revision(revision.expect("the intent is valid"));
        started
    }

    /// Starts the plain service that the intent names.
    pub(crate) fn start_service(&self) -> service::ServiceProcess {
        service::ServiceBuilder::new("desk-1", "foundry-desk")
            .instances(&self.fleet.backends())
            .announce_interval_ms(200)
            .start()
            .expect("the service starts")
    }

    /// Returns the position of the leader.
    pub(crate) fn leader(&self) -> usize {
        let mut leader = None;
        harness::wait_within("there is a leader", LIMIT, || {
            leader = self.probe.leader(ENTRY);
            leader.is_some()
        });
        leader.expect("it was waited for")
    }

    /// Returns the position of a control instance that does not lead.
    pub(crate) fn follower(&self) -> usize {
        (self.leader() + 1) % CONTROL
    }

    /// Gives a key through one instance, again and again until it is acknowledged.
    pub(crate) fn give_key(&self, instance: usize, request: &str) -> AcknowledgedKey {
        give_key(&self.probe, instance, request)
    }

    /// Gives keys through one instance, with requests that begin with `prefix`.
    pub(crate) fn give_keys(
        &self,
        instance: usize,
        prefix: &str,
        count: usize,
    ) -> Vec<AcknowledgedKey> {
        (0..count)
            .map(|number| self.give_key(instance, &format!("{prefix}-{number}")))
            .collect()
    }

    /// Lists the public parts of the keys in force, as the leader gives them to one instance.
    pub(crate) fn key_ids(&self, instance: usize) -> Vec<String> {
        let mut document = Value::Null;
        harness::wait_within("the intent is shown", LIMIT, || {
            let answer = self.probe.get(instance, "/v1/intent");
            answer.is_ok_and(|answer| {
                document = answer.json();
                answer.status == 200
            })
        });
        let keys = document["keys"].as_array().cloned().unwrap_or_default();
        let ids = keys.iter().filter_map(|key| key["id"].as_str());
        ids.map(str::to_owned).collect()
    }

    /// Makes sure that each key is in force exactly once.
    pub(crate) fn assert_in_force(&self, instance: usize, keys: &[AcknowledgedKey]) {
        let ids = self.key_ids(instance);
        for key in keys {
            let found = ids.iter().filter(|id| **id == key.id).count();
            assert_eq!(found, 1, "key {} of revision {}", key.id, key.revision);
        }
    }

    /// Returns the answer of the plain service to a read through one instance.
    pub(crate) fn read(
        &self,
        instance: usize,
        key: &str,
        record: &str,
    ) -> Option<harness::CallerAnswer> {
        let caller = harness::FleetCaller::new(self.fleet.callers()[instance]).key(key);
        caller.get(&format!("/foundry/records/{record}")).ok()
    }

    /// Waits until a key is served at one instance.
    pub(crate) fn wait_served(&self, instance: usize, key: &str) {
        harness::wait_within("the key is served", LIMIT, || {
            let answer = self.read(instance, key, "warm");
            answer.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Waits until all instances have at least a revision in force.
    pub(crate) fn wait_revision(&self, revision: u64) {
        for instance in 0..self.probe.instances() {
            harness::wait_within("an instance follows", LIMIT, || {
                let look = self.probe.revision(instance);
                look.is_some_and(|look| look.fresh && look.revision >= revision)
            });
        }
    }
}

/// Gives a key through one instance, again and again until it is acknowledged.
pub(crate) fn give_key(
    probe: &harness::FleetProbe,
    instance: usize,
    request: &str,
) -> AcknowledgedKey {
    let mut turn = instance;
    let base = loop {
        if let Some(look) = probe.revision(turn).filter(|look| look.fresh) {
            break look.revision;
        }
        turn = (turn + 1) % probe.instances();
    };
    let body = json!({ "request": request, "team": "councils", "base": base });
    let document = acknowledged(probe, instance, "/v1/keys", &body);
    let text = |name: &str| document[name].as_str().expect("a text").to_owned();
    AcknowledgedKey {
        id: text("id"),
        key: text("key"),
        revision: document["revision"].as_u64().expect("a revision"),
    }
}

/// Sends one call under one request id through one instance after the other until it is acknowledged.
pub(crate) fn acknowledged(
    probe: &harness::FleetProbe,
    instance: usize,
    path: &str,
    body: &Value,
) -> Value {
    let deadline = time::Instant::now() + LIMIT;
    let mut turn = instance;
    loop {
        let answer = probe.post(turn, path, body);
        if let Ok(answer) = &answer {
            if answer.status == 200 {
                return answer.json();
            }
            assert!(answer.status >= 500, "{path}: {}", answer.body);
        }
        assert!(time::Instant::now() < deadline, "{path}: {answer:?}");
        turn = (turn + 1) % probe.instances();
    }
}

/// Returns an intent with one team, whose rate is its only variable part, and one plain service.
pub(crate) fn intent(rate_tokens_per_s: u64) -> Value {
    json!({
        "teams": [{
            "name": "councils", "rate_tokens_per_s": rate_tokens_per_s, "burst_tokens": 400_000,
        }],
        "services": [{
            "name": "foundry-desk", "kind": "plain", "path_prefix": "/foundry",
            "teams": ["councils"],
        }],
    })
}
