//! An operator of a fleet.

use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use super::{GivenKey, OperatorAnswer};
use crate::load;
use crate::testkit_error::{HttpSnafu, OperatorSnafu, TestkitError};

/// Time that one call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time in which a call is tried again while no leader can be reached.
const RETRY_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Pause between tries.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Numbers the requests of all clients of this process.
static REQUESTS: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// Calls the operators' face of any instance that answers.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    addresses: Vec<net::SocketAddr>,
    credential: String,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Makes a client for instances that know the credential.
    #[must_use]
    pub fn new(addresses: Vec<net::SocketAddr>, credential: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT));
        Self {
            addresses,
            credential: credential.to_owned(),
            agent: config.build().into(),
        }
    }

    /// Sends one call to one instance; without a body it is a GET.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub fn call(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<OperatorAnswer, TestkitError> {
        let url = format!("http://{address}{path}");
        let credential = format!("Bearer {}", self.credential);
        let answer = if let Some(body) = body {
            let request = self.agent.post(url).header("authorization", credential);
            request.send_json(body)
        } else {
            let request = self.agent.get(url).header("authorization", credential);
            request.call()
        };
        let mut answer = answer.context(HttpSnafu { address })?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string();
        let text = text.context(HttpSnafu { address })?;
        Ok(OperatorAnswer {
            status,
            body: serde_json::from_str(&text).unwrap_or_default(),
        })
    }

    /// Sends a call to one instance after the other until one does it.
    ///
    /// # Errors
    ///
    /// Fails with the last answer when none does it in time, and at once when the call is wrong.
    pub fn call_any(&self, path: &str, body: Option<&Value>) -> Result<Value, TestkitError> {
        let deadline = time::Instant::now() + RETRY_LIMIT;
        for address in self.addresses.iter().cycle() {
            let last = match self.call(*address, path, body) {
                Ok(answer) if answer.is_done() => return Ok(answer.body),
                Ok(answer) => answer,
                Err(error) => OperatorAnswer::lost(&error),
            };
            if last.is_final() || time::Instant::now() >= deadline {
                return OperatorSnafu {
                    path,
                    status: last.status,
                    answer: last.body.to_string(),
                }
                .fail();
            }
            thread::sleep(RETRY_PAUSE);
        }
        OperatorSnafu {
            path,
            status: 0_u16,
            answer: "no address",
        }
        .fail()
    }

    /// Plans and confirms an intent and returns the revision in force.
    ///
    /// # Errors
    ///
    /// Fails when the intent is refused or no leader can be reached.
    pub fn state_intent(&self, intent: &Value) -> Result<u64, TestkitError> {
        let plan = self.call_any("/v1/plans", Some(&json!({"intent": intent})))?;
        let confirmation = json!({
            "request": next_request(),
            "base": plan["base"],
            "digest": plan["digest"],
            "intent": intent,
        });
        let done = self.call_any("/v1/plans/confirm", Some(&confirmation))?;
        done["revision"].as_u64().context(OperatorSnafu {
            path: "/v1/plans/confirm",
            status: 200_u16,
            answer: done.to_string(),
        })
    }

    /// Gives a team a key.
    ///
    /// # Errors
    ///
    /// Fails when the team is unknown or no leader can be reached.
    pub fn give_key(&self, team: &str) -> Result<GivenKey, TestkitError> {
        let revision = self.call_any("/v1/revision", None)?;
        let body = json!({
            "request": next_request(),
            "base": revision["revision"],
            "team": team,
        });
        let done = self.call_any("/v1/keys", Some(&body))?;
        let field = |name: &str| done[name].as_str().unwrap_or_default().to_owned();
        Ok(GivenKey {
            id: field("id"),
            key: field("key"),
        })
    }

    /// Gives each team a key.
    ///
    /// # Errors
    ///
    /// Fails when a team is unknown or no leader can be reached.
    pub fn give_keys<'a>(
        &self,
        teams: impl IntoIterator<Item = &'a str>,
    ) -> Result<load::TeamKeys, TestkitError> {
        let mut keys = load::TeamKeys::default();
        for team in teams {
            keys = keys.with(team, &self.give_key(team)?.key);
        }
        Ok(keys)
    }

    /// Withdraws a key by its public part.
    ///
    /// # Errors
    ///
    /// Fails when the key is unknown or no leader can be reached.
    pub fn withdraw_key(&self, id: &str) -> Result<(), TestkitError> {
        let body = json!({"request": next_request(), "id": id});
        self.call_any("/v1/keys/withdraw", Some(&body)).map(drop)
    }
}

/// Returns a request id that no other call of this process has.
fn next_request() -> String {
    let number = REQUESTS.fetch_add(1, atomic::Ordering::Relaxed);
    format!("testkit-{}-{number}", std::process::id())
}
