//! An operator of a fleet.

use std::net;
use std::thread;
use std::time;

use serde_json::{Value, json};

use super::{CallerAnswer, FleetCaller, InstanceFleet};
use crate::testkit_error::{OperatorSnafu, TestkitError};

/// Time that an operator's call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Time for which a change is tried while no leader answers.
const CHANGE_LIMIT: time::Duration = time::Duration::from_secs(40);

/// Pause between tries.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Operates a fleet: puts intents in force, gives and withdraws keys.
#[derive(Debug, Clone)]
pub struct FleetOperator {
    addresses: Vec<net::SocketAddr>,
    credential: String,
}

impl FleetOperator {
    /// Makes an operator who turns to each instance of the fleet in turn.
    #[must_use]
    pub fn new(fleet: &InstanceFleet) -> Self {
        Self::at(fleet.operators(), fleet.operator_credential())
    }

    /// Makes an operator who turns to these addresses in turn.
    #[must_use]
    pub fn at(addresses: Vec<net::SocketAddr>, credential: &str) -> Self {
        Self {
            addresses,
            credential: credential.to_owned(),
        }
    }

    /// Reads a page at one instance.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn get(&self, instance: usize, path: &str) -> Result<CallerAnswer, TestkitError> {
        self.caller(instance).get(path)
    }

    /// Sends a document to one instance.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn post(
        &self,
        instance: usize,
        path: &str,
        body: &Value,
    ) -> Result<CallerAnswer, TestkitError> {
        self.caller(instance).post(path, body)
    }

    /// Plans and confirms an intent; returns its revision.
    ///
    /// # Errors
    ///
    /// Fails when the intent is refused, or no leader answers in time.
    pub fn put_intent(&self, intent: &Value) -> Result<u64, TestkitError> {
        let plan = self.change("/v1/plans", &json!({ "intent": intent }))?;
        let confirm = json!({
            "request": unique_request(),
            "base": plan["base"],
            "digest": plan["digest"],
            "intent": intent,
        });
        let confirmed = self.change("/v1/plans/confirm", &confirm)?;
        Ok(confirmed["revision"].as_u64().unwrap_or_default())
    }

    /// Gives a key to a team and returns its text.
    ///
    /// # Errors
    ///
    /// Fails when the key is refused, or no leader answers in time.
    pub fn give_key(&self, team: &str) -> Result<String, TestkitError> {
        let request = json!({ "request": unique_request(), "team": team });
        let given = self.change("/v1/keys", &request)?;
        Ok(given["key"].as_str().unwrap_or_default().to_owned())
    }

    /// Withdraws a key, named by its whole text; returns the revision.
    ///
    /// # Errors
    ///
    /// Fails when there is no such key, or no leader answers in time.
    pub fn withdraw_key(&self, key: &str) -> Result<u64, TestkitError> {
        let id = key.split('_').nth(1).unwrap_or_default();
        let request = json!({ "request": unique_request(), "id": id });
        let withdrawn = self.change("/v1/keys/withdraw", &request)?;
        Ok(withdrawn["revision"].as_u64().unwrap_or_default())
    }

    /// Sends a change under one request number until an instance gives a final answer.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused, or no leader answers in time.
    pub fn change(&self, path: &str, body: &Value) -> Result<Value, TestkitError> {
        let deadline = time::Instant::now() + CHANGE_LIMIT;
        let mut turn = 0;
        loop {
            let answer = self.post(turn % self.addresses.len(), path, body);
            match answer {
                Ok(answer) if answer.status == 200 => return Ok(answer.json()),
                Ok(answer) if answer.status < 500 => {
                    return OperatorSnafu {
                        path,
                        answer: answer.body,
                    }
                    .fail();
                }
                Ok(_) | Err(_) if time::Instant::now() < deadline => turn += 1,
                Ok(answer) => {
                    return OperatorSnafu {
                        path,
                        answer: answer.body,
                    }
                    .fail();
                }
                Err(error) => return Err(error),
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn caller(&self, instance: usize) -> FleetCaller {
        FleetCaller::new(self.addresses[instance])
            .key(&self.credential)
            .timeout(CALL_TIMEOUT)
    }
}

/// Returns a request number that is not used again.
fn unique_request() -> String {
    format!("{:032x}", rand::random::<u128>())
}
