//! Keys, owners, answers and small limits for the order ledger.

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::order;

pub(crate) const DIGEST: &str = "7d1a";

pub(crate) fn key(team: &str, key: &str) -> order::OrderKey {
    order::OrderKey {
        team: name::TeamName::from(team),
        service: name::ServiceName::from("foundry-desk"),
        key: key.to_owned(),
    }
}

pub(crate) fn owner(instance: &str, incarnation: u64, call: u64) -> order::OrderOwner {
    order::OrderOwner {
        instance: name::InstanceName::from(instance),
        incarnation: amount::IncarnationNumber(incarnation),
        call,
    }
}

pub(crate) fn answer(body: &[u8]) -> order::OrderAnswer {
    order::OrderAnswer {
        status: 201,
        content_type: None,
        body: body.to_vec(),
        truncated: false,
    }
}

pub(crate) fn answered(body: &[u8]) -> order::OrderOutcome {
    order::OrderOutcome::Answered(answer(body))
}

/// Returns limits that are small enough to reach in a test.
pub(crate) fn limits() -> order::OrderLimits {
    order::OrderLimits {
        window_ms: 100,
        remembered_ms: 1_000,
        records: 8,
        answer_bytes: 16,
        total_bytes: 40,
        remembered: 4,
    }
}

pub(crate) fn begun(attempt: u32) -> order::OrderStart {
    order::OrderStart::Begun { attempt }
}
