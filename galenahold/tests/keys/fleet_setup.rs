//! The fleet that the tests of keys use.

use std::thread;
use std::time;

use galenahold_testkit::{engine, harness, ledger, service};
use serde_json::json;

/// How long anything may take that no promise bounds.
pub(crate) const LIMIT: time::Duration = time::Duration::from_mins(1);
/// The bound within which a withdrawn key is dead everywhere, with slack for the harness.
pub(crate) const DEAD_LIMIT: time::Duration = time::Duration::from_secs(8);
/// The position of the instance that is an entry instance only.
pub(crate) const ENTRY: usize = 3;
/// Time between two tokens of the engine, so that streams outlast the test.
const TOKEN_TIME_US: u64 = 50_000;
/// Tokens of a stream.
const STREAM_TOKENS: u64 = 2_000;

/// A caller's stream under way.
pub(crate) type RunningStream = thread::JoinHandle<harness::CallerAnswer>;

/// A fleet with an engine, a plain service and a key.
pub(crate) struct KeyFleet {
    /// The instances.
    pub(crate) fleet: harness::InstanceFleet,
    /// Calls the operators' faces.
    pub(crate) probe: harness::FleetProbe,
    /// The engine.
    pub(crate) engine: engine::EngineProcess,
    /// The plain service.
    pub(crate) service: service::ServiceProcess,
    /// The key.
    pub(crate) key: harness::GivenKey,
    _permit: harness::FleetPermit,
}

impl KeyFleet {
    /// Starts the fleet and waits until every instance serves the key.
    pub(crate) fn start() -> Self {
        let permit = harness::FleetPermit::take(1);
        let fleet = harness::FleetBuilder::default()
            .control(ENTRY)
            .entries(1)
            .peer_route(harness::PeerRoute::Pairs)
            .settings(&json!({ "timing": { "notice_ms": 300 } }))
            .start_ready(LIMIT)
            .expect("the fleet starts");
        let timings = engine::EngineTimings {
            step_us: TOKEN_TIME_US,
            ..engine::EngineTimings::default()
        };
        let engine = engine::EngineBuilder::new("engine-1")
            .instances(&fleet.backends())
            .announce_interval_ms(200)
            .timings(timings)
            .model("alama-llm", "1", 1_000)
            .start()
            .expect("the engine starts");
        let service = service::ServiceBuilder::new("desk-1", "foundry-desk")
            .instances(&fleet.backends())
            .announce_interval_ms(200)
            .start()
            .expect("the service starts");
        let operator = fleet.operator();
        let intent = json!({
            "teams": [{
                "name": "councils", "rate_tokens_per_s": 100_000, "burst_tokens": 400_000,
            }],
            "models": [{ "name": "alama-llm", "version": "1", "bytes": 1_000, "max_replicas": 1 }],
            "services": [
                { "name": "drafts", "kind": "models", "models": ["alama-llm"], "teams": ["councils"] },
                {
                    "name": "foundry-desk", "kind": "plain", "path_prefix": "/foundry",
                    "teams": ["councils"],
                },
            ],
        });
        operator.state_intent(&intent).expect("the intent is valid");
        let key = operator.give_key("councils").expect("the team is known");
        let started = Self {
            probe: harness::FleetProbe::new(&fleet),
            fleet,
            engine,
            service,
            key,
            _permit: permit,
        };
        started.wait_served();
        started
    }

    /// Returns a caller with the key at an instance.
    pub(crate) fn caller(&self, instance: usize) -> harness::FleetCaller {
        harness::FleetCaller::new(self.fleet.callers()[instance]).key(&self.key.key)
    }

    /// Starts a long stream at each instance and waits until the engine runs all of them.
    pub(crate) fn start_streams(&self) -> Vec<RunningStream> {
        let streams: Vec<_> = (0..self.probe.instances())
            .map(|instance| {
                let caller = self.caller(instance).timeout(LIMIT);
                thread::spawn(move || {
                    let answer = caller.chat("alama-llm", "a long draft", STREAM_TOKENS, true);
                    answer.expect("an answer that is ended in order")
                })
            })
            .collect();
        harness::wait_within("the engine runs the streams", LIMIT, || {
            let running = |request: &&ledger::RequestRecord| {
                request.outcome == ledger::RequestOutcome::Running && request.output_tokens > 0
            };
            let seen = self.engine.ledger();
            seen.requests.iter().filter(running).count() == streams.len()
        });
        streams
    }

    /// Withdraws the key through one instance; tells the position of the leader that did it.
    pub(crate) fn withdraw(&self, instance: usize) {
        let body = json!({ "request": "withdraw", "id": self.key.id });
        let answer = self.probe.post(instance, "/v1/keys/withdraw", &body);
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Waits, within the bound, until one instance refuses the key.
    pub(crate) fn wait_dead(&self, instance: usize, since: time::Instant) {
        let left = DEAD_LIMIT.saturating_sub(since.elapsed());
        harness::wait_within("the key is dead", left, || {
            let answer = self.caller(instance).get("/foundry/records/late");
            answer.is_ok_and(|answer| [401, 503].contains(&answer.status))
        });
    }

    /// Makes sure that the key runs nothing at one instance.
    pub(crate) fn assert_dead(&self, instance: usize) {
        let record = format!("/foundry/records/dead-{instance}");
        let answer = self.caller(instance).get(&record).expect("an answer");
        assert!([401, 503].contains(&answer.status), "{answer:?}");
        assert_eq!(answer.verdict.as_deref(), Some("not-run"), "{answer:?}");
        let ran = self.service.ledger().requests;
        assert!(!ran.iter().any(|request| request.path.contains("dead-")));
    }

    /// Makes sure that streams ended with a typed error, and were cancelled at the engine.
    pub(crate) fn assert_cancelled(&self, streams: Vec<RunningStream>) {
        for stream in streams {
            let answer = stream.join().expect("the stream is ended in order");
            assert!(!answer.body.contains("[DONE]"), "a stream ran on");
            let tail = answer.body.trim_end().rsplit("\n\n").next();
            let tail = tail.expect("a last event").trim_start_matches("data: ");
            let event: serde_json::Value = serde_json::from_str(tail).expect("a document");
            let kind = event["error"]["type"].as_str().unwrap_or_default();
            assert!(
                ["key_withdrawn", "stale_configuration"].contains(&kind),
                "{tail}"
            );
        }
        harness::wait_within("the engine cancelled all", LIMIT, || {
            let seen = self.engine.ledger();
            seen.count(ledger::RequestOutcome::Running) == 0
        });
        let seen = self.engine.ledger();
        let cancelled = seen.count(ledger::RequestOutcome::Cancelled);
        assert_eq!(cancelled, self.probe.instances());
    }

    fn wait_served(&self) {
        for instance in 0..self.probe.instances() {
            harness::wait_within("an instance serves", LIMIT, || {
                let read = self.caller(instance).get("/foundry/records/warm");
                read.is_ok_and(|answer| answer.status == 200)
            });
            harness::wait_within("an instance reaches the model", LIMIT, || {
                let chat = self.caller(instance).chat("alama-llm", "warm", 1, false);
                chat.is_ok_and(|answer| answer.status == 200)
            });
        }
    }
}
