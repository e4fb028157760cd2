//! Random sequences of starts, finishes and abandoned instances: no order runs twice.

use std::collections;

use galenahold_domain::amount;
use galenahold_domain::name;
use galenahold_domain::order;
use proptest::prelude::*;

use crate::fixture;

#[derive(Debug, Clone)]
enum LedgerStep {
    Start { key: u8, instance: u8, call: u8 },
    Finish { key: u8, attempt: u32, outcome: u8 },
    Abandon { instance: u8, before: u64 },
    Elapse { ms: u64 },
}

fn ledger_step() -> impl Strategy<Value = LedgerStep> {
    prop_oneof![
        6 => (0..6u8, 0..3u8, 0..4u8)
            .prop_map(|(key, instance, call)| LedgerStep::Start { key, instance, call }),
        4 => (0..6u8, 1..4u32, 0..3u8)
            .prop_map(|(key, attempt, outcome)| LedgerStep::Finish { key, attempt, outcome }),
        1 => (0..3u8, 0..3u64)
            .prop_map(|(instance, before)| LedgerStep::Abandon { instance, before }),
        2 => (0..80u64).prop_map(|ms| LedgerStep::Elapse { ms }),
    ]
}

fn outcome(number: u8) -> order::OrderOutcome {
    match number {
        0 => fixture::answered(b"cast"),
        1 => order::OrderOutcome::NotRun,
        _ => order::OrderOutcome::Unknown,
    }
}

/// The latest attempt that the ledger started for a key, and its outcome.
#[derive(Debug, Clone)]
struct SentAttempt {
    attempt: u32,
    owner: order::OrderOwner,
    end: Option<order::OrderOutcome>,
}

/// The latest attempt of each key, as an observer of all owners sees it.
#[derive(Debug, Default)]
struct SentAttempts {
    latest: collections::HashMap<u8, SentAttempt>,
}

impl SentAttempts {
    /// Records an attempt, and fails if the order might run a second time through it.
    fn begin(
        &mut self,
        key: u8,
        attempt: u32,
        owner: &order::OrderOwner,
    ) -> Result<(), TestCaseError> {
        if let Some(latest) = self.latest.get(&key) {
            let is_same = latest.attempt == attempt && latest.owner == *owner;
            let did_not_run = latest.end == Some(order::OrderOutcome::NotRun);
            prop_assert!(
                (is_same && latest.end.is_none()) || (did_not_run && attempt > latest.attempt),
                "attempt {attempt} of {owner:?} began although the latest attempt was {latest:?}"
            );
        }
        let sent = SentAttempt {
            attempt,
            owner: owner.clone(),
            end: None,
        };
        self.latest.insert(key, sent);
        Ok(())
    }

    /// Records the outcome that an owner reports; only the first one counts.
    fn finish(&mut self, key: u8, attempt: u32, outcome: order::OrderOutcome) {
        let Some(latest) = self.latest.get_mut(&key) else {
            return;
        };
        if latest.attempt == attempt && latest.end.is_none() {
            latest.end = Some(outcome);
        }
    }

    fn abandon(&mut self, instance: &name::InstanceName, before: amount::IncarnationNumber) {
        for latest in self.latest.values_mut() {
            let is_dead = latest.owner.instance == *instance && latest.owner.incarnation < before;
            if is_dead && latest.end.is_none() {
                latest.end = Some(order::OrderOutcome::Unknown);
            }
        }
    }
}

/// Runs the steps against a ledger, and checks its limits and all started attempts.
fn run_steps(limits: &order::OrderLimits, steps: &[LedgerStep]) -> Result<(), TestCaseError> {
    let mut ledger = order::OrderLedger::with_limits(limits.clone());
    let mut sent = SentAttempts::default();
    let mut now_ms = 0;
    for step in steps {
        match step {
            LedgerStep::Start {
                key,
                instance,
                call,
            } => {
                let owner = fixture::owner(&format!("entry-{instance}"), 1, u64::from(*call));
                let order_key = fixture::key("mkoani", &key.to_string());
                let start = ledger.start(&order_key, fixture::DIGEST, &owner, now_ms);
                if let order::OrderStart::Begun { attempt } = start {
                    sent.begin(*key, attempt, &owner)?;
                }
            }
            LedgerStep::Finish {
                key,
                attempt,
                outcome: number,
            } => {
                let order_key = fixture::key("mkoani", &key.to_string());
                ledger.finish(&order_key, *attempt, &outcome(*number), now_ms);
                sent.finish(*key, *attempt, outcome(*number));
            }
            LedgerStep::Abandon { instance, before } => {
                let instance = name::InstanceName::from(format!("entry-{instance}"));
                let before = amount::IncarnationNumber(*before);
                ledger.abandon(&instance, before, now_ms);
                sent.abandon(&instance, before);
            }
            LedgerStep::Elapse { ms } => now_ms += ms,
        }
        let usage = ledger.statistics().usage;
        prop_assert!(usage.bytes <= limits.total_bytes && usage.records <= limits.records);
        prop_assert!(ledger.statistics().remembered <= limits.remembered);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    #[test]
    fn next_attempt_begins_only_after_the_previous_one_did_not_run(
        steps in proptest::collection::vec(ledger_step(), 0..80)
    ) {
        let limits = order::OrderLimits {
            remembered_ms: u64::MAX,
            ..fixture::limits()
        };
        run_steps(&limits, &steps)?;
    }
}
