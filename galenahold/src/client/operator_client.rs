//! Calls the operators' face of whichever instance answers.

use std::io;
use std::net;
use std::thread;
use std::time;

use crate::client;
use crate::document;

const MAX_ROUNDS: u32 = 8;
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;
/// The part of the time limit that one attempt may take, so that a silent instance leaves time for others.
const ATTEMPT_SHARE: u32 = 3;
/// The part of an attempt's time limit that connecting may take, so that a dead address is told from a lost answer.
const CONNECT_SHARE: u32 = 2;
const STATUS_CONFLICT: u16 = 409;
const STATUS_NOT_VALID: u16 = 422;
const STATUS_TOO_MANY: u16 = 429;

/// Calls the operators' face of whichever instance answers.
///
/// A call goes to the next address where an attempt provably changed nothing. Where an answer was
/// lost, it is sent again only as its rule allows.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    agent: ureq::Agent,
    addresses: Vec<net::SocketAddr>,
    authorization: String,
    time_limit: time::Duration,
}

impl OperatorClient {
    /// Creates a client of these addresses; `time_limit` bounds a call with all its attempts.
    pub(crate) fn new(
        addresses: Vec<net::SocketAddr>,
        credential: &str,
        time_limit: time::Duration,
    ) -> Self {
        let attempt_limit = time_limit / ATTEMPT_SHARE;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_idle_connections(0)
            .proxy(None)
            .timeout_connect(Some(attempt_limit / CONNECT_SHARE))
            .timeout_global(Some(attempt_limit))
            .user_agent(concat!("galenahold/", env!("CARGO_PKG_VERSION")))
            .build();
        Self {
            agent: config.new_agent(),
            addresses,
            authorization: format!("Bearer {credential}"),
            time_limit,
        }
    }

    /// Makes a call and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails where the call is refused, where no control group can be reached, and where it may
    /// have been applied and no answer came.
    pub(crate) fn call(
        &self,
        call: &client::OperatorCall,
    ) -> Result<serde_json::Value, client::CallError> {
        let deadline = time::Instant::now() + self.time_limit;
        let mut history = client::CallHistory::default();
        let mut pause = client::RetryPause::new();
        let mut random = rand::rng();
        for _ in 0..MAX_ROUNDS {
            for address in &self.addresses {
                if let Some(result) = self.attempt(*address, call, &mut history) {
                    return result;
                }
                let given_up =
                    call.repeat == client::RepeatRule::NotApplied && history.may_be_applied();
                if given_up || time::Instant::now() >= deadline {
                    return Err(history.into_error(call));
                }
            }
            let left = deadline.saturating_duration_since(time::Instant::now());
            thread::sleep(pause.next(&mut random).min(left));
        }
        Err(history.into_error(call))
    }

    /// Makes one attempt; nothing where another may follow.
    fn attempt(
        &self,
        address: net::SocketAddr,
        call: &client::OperatorCall,
        history: &mut client::CallHistory,
    ) -> Option<Result<serde_json::Value, client::CallError>> {
        match self.send(address, call) {
            client::AttemptOutcome::Answered(answer) => Some(Ok(answer)),
            client::AttemptOutcome::Refused(status, document) => {
                let about_first = call.repeat == client::RepeatRule::Read
                    || matches!(status, STATUS_CONFLICT | STATUS_NOT_VALID);
                if history.may_be_applied() && !about_first {
                    let reason = format!("status {status}, {}", document.kind());
                    history.note_lost(address, &reason);
                    return None;
                }
                Some(Err(client::CallError::Refused {
                    path: call.path,
                    status,
                    document,
                }))
            }
            client::AttemptOutcome::NotApplied(reason) => {
                history.note_not_applied(address, &reason);
                None
            }
            client::AttemptOutcome::Lost(reason) => {
                history.note_lost(address, &reason);
                None
            }
        }
    }

    fn send(
        &self,
        address: net::SocketAddr,
        call: &client::OperatorCall,
    ) -> client::AttemptOutcome {
        let url = format!("http://{address}{}", call.path);
        let authorization = &self.authorization;
        let result = match &call.body {
            None => self
                .agent
                .get(&url)
                .header("authorization", authorization)
                .call(),
            Some(body) => self
                .agent
                .post(&url)
                .header("authorization", authorization)
                .content_type("application/json")
                .send(body.as_slice()),
        };
        match result {
            Ok(answer) => read_answer(answer),
            Err(failure) if never_connected(&failure) => {
                client::AttemptOutcome::NotApplied(failure.to_string())
            }
            Err(failure) => client::AttemptOutcome::Lost(failure.to_string()),
        }
    }
}

/// Tells whether a call failed before a connection stood, so that no byte of it was sent.
fn never_connected(failure: &ureq::Error) -> bool {
    match failure {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        _ => false,
    }
}

fn read_answer(mut answer: ureq::http::Response<ureq::Body>) -> client::AttemptOutcome {
    let status = answer.status();
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    let body = match body {
        Ok(body) => body,
        Err(failure) => return client::AttemptOutcome::Lost(failure.to_string()),
    };
    if status.is_success() {
        return match serde_json::from_slice(&body) {
            Ok(document) => client::AttemptOutcome::Answered(document),
            Err(failure) => {
                client::AttemptOutcome::Lost(format!("the answer is not JSON: {failure}"))
            }
        };
    }
    let document: document::RefusalDocument = serde_json::from_slice(&body).unwrap_or_default();
    let reason = format!("status {}, {}", status.as_u16(), document.kind());
    if document.says_not_applied() && status.is_server_error() || status.as_u16() == STATUS_TOO_MANY
    {
        client::AttemptOutcome::NotApplied(reason)
    } else if status.is_server_error() && !document.says_refused() {
        client::AttemptOutcome::Lost(reason)
    } else {
        client::AttemptOutcome::Refused(status.as_u16(), Box::new(document))
    }
}
