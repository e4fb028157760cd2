//! An intent, keys, and a control state that applies commands with consecutive log indexes.

use galenahold_domain::amount;
use galenahold_domain::control;
use galenahold_domain::intent;
use galenahold_domain::key;
use galenahold_domain::name;

/// Returns an intent with two teams, two models, two adapters, and services of both kinds.
pub(crate) fn intent() -> intent::FleetIntent {
    intent::FleetIntent::from_json(
        r#"{
            "teams": [
                {"name": "mkoani", "rate_tokens_per_s": 1000, "burst_tokens": 20000},
                {"name": "kibaha", "rate_tokens_per_s": 500, "burst_tokens": 10000, "weight": 2}
            ],
            "models": [
                {"name": "alama-llm", "version": "v1", "bytes": 1000, "max_replicas": 2,
                 "adapters": [{"name": "flood-marks", "bytes": 10}, {"name": "surveys", "bytes": 20}]},
                {"name": "small", "version": "v1", "bytes": 100, "max_request_tokens": 512}
            ],
            "services": [
                {"name": "drafts", "kind": "models", "models": ["alama-llm", "small"],
                 "teams": ["mkoani", "kibaha"]},
                {"name": "foundry-desk", "kind": "plain", "path_prefix": "/orders",
                 "idempotent_methods": ["PUT"], "teams": ["mkoani"]},
                {"name": "records", "kind": "plain", "path_prefix": "/orders/records", "open": true}
            ]
        }"#,
    )
    .expect("the document is a valid intent")
}

pub(crate) fn request(operator: &str, request: &str) -> control::OperatorRequest {
    control::OperatorRequest {
        operator: name::OperatorName::from(operator),
        request: name::RequestId::from(request),
    }
}

/// Returns a key whose random bytes all have this value.
pub(crate) fn caller_key(byte: u8) -> key::CallerKey {
    key::CallerKey::generate(&[byte; key::CallerKey::RANDOM_BYTES])
}

pub(crate) fn key_record(byte: u8, team: &str) -> key::KeyRecord {
    caller_key(byte).record(
        name::TeamName::from(team),
        &[byte; key::CallerKey::SALT_BYTES],
    )
}

/// Returns the record of a key whose public part contains this number.
pub(crate) fn numbered_record(number: usize, team: &str) -> key::KeyRecord {
    key::KeyRecord {
        id: name::KeyId::from(format!("key{number}")),
        team: name::TeamName::from(team),
        salt: "0".repeat(2 * key::CallerKey::SALT_BYTES),
        hash: "0".repeat(64),
    }
}

/// A control state with the index of the latest log entry.
pub(crate) struct LoggedState {
    pub(crate) state: control::ControlState,
    index: u64,
}

impl LoggedState {
    pub(crate) fn new() -> Self {
        Self {
            state: control::ControlState::new(),
            index: 0,
        }
    }

    /// Creates a state in which [`intent`] is in force as revision 1.
    pub(crate) fn with_intent() -> Self {
        let mut logged = Self::new();
        let outcome = logged.confirm("boot", "1", 0, &intent());
        assert_eq!(outcome, changed(1));
        logged
    }

    pub(crate) fn apply(&mut self, command: &control::ControlCommand) -> control::ControlOutcome {
        self.index += 1;
        let fence = amount::FencingNumber {
            term: 1,
            index: self.index,
        };
        self.state.apply(fence, command)
    }

    pub(crate) fn confirm(
        &mut self,
        operator: &str,
        id: &str,
        base: u64,
        wanted: &intent::FleetIntent,
    ) -> control::ControlOutcome {
        let base = amount::RevisionNumber(base);
        let current = self.state.view();
        let plan = intent::IntentPlan::between(base, &current.intent, wanted);
        self.apply(&control::ControlCommand::ConfirmPlan {
            request: request(operator, id),
            base,
            intent: wanted.clone(),
            digest: plan.digest,
            now_ms: 0,
        })
    }

    pub(crate) fn give(&mut self, id: &str, record: key::KeyRecord) -> control::ControlOutcome {
        let base = self.state.revision();
        self.give_against(id, base, record)
    }

    pub(crate) fn give_against(
        &mut self,
        id: &str,
        base: amount::RevisionNumber,
        record: key::KeyRecord,
    ) -> control::ControlOutcome {
        self.apply(&control::ControlCommand::GiveKey {
            request: request("amina", id),
            base,
            record,
            now_ms: 0,
        })
    }

    pub(crate) fn withdraw(&mut self, id: &str, key: &name::KeyId) -> control::ControlOutcome {
        self.apply(&control::ControlCommand::WithdrawKey {
            request: request("amina", id),
            id: key.clone(),
            now_ms: 0,
        })
    }
}

pub(crate) fn changed(revision: u64) -> control::ControlOutcome {
    control::ControlOutcome::Changed {
        revision: amount::RevisionNumber(revision),
    }
}
