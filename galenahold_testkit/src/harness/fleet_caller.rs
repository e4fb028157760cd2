//! A caller at one instance.

use std::net;
use std::time;

use serde_json::Value;
use snafu::ResultExt;

use super::CallerAnswer;
use crate::testkit_error::{CallSnafu, TestkitError};

/// Time that a call may take unless another is set.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Calls one instance, each time over a connection of its own.
#[derive(Debug, Clone)]
pub struct FleetCaller {
    address: net::SocketAddr,
    key: Option<String>,
    headers: Vec<(String, String)>,
    timeout: time::Duration,
}

impl FleetCaller {
    /// Makes a caller without a key.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            key: None,
            headers: Vec::new(),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Shows a key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends a further header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Gives up after this time.
    #[must_use]
    pub fn timeout(mut self, timeout: time::Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn get(&self, path: &str) -> Result<CallerAnswer, TestkitError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.agent().get(&url);
        for (name, value) in self.all_headers() {
            request = request.header(name, value);
        }
        let answer = request.call().and_then(CallerAnswer::read);
        answer.map_err(Box::new).context(CallSnafu { url })
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn post(&self, path: &str, body: &Value) -> Result<CallerAnswer, TestkitError> {
        self.post_text(path, &body.to_string())
    }

    /// Sends a POST request with any body.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn post_text(&self, path: &str, body: &str) -> Result<CallerAnswer, TestkitError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self
            .agent()
            .post(&url)
            .header("content-type", "application/json");
        for (name, value) in self.all_headers() {
            request = request.header(name, value);
        }
        let answer = request.send(body).and_then(CallerAnswer::read);
        answer.map_err(Box::new).context(CallSnafu { url })
    }

    /// Asks a model for an answer to one user message.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub fn chat(
        &self,
        model: &str,
        text: &str,
        max_tokens: u64,
        stream: bool,
    ) -> Result<CallerAnswer, TestkitError> {
        let body = serde_json::json!({
            "model": model,
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        });
        self.post("/v1/chat/completions", &body)
    }

    fn agent(&self) -> ureq::Agent {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(self.timeout))
            .http_status_as_error(false)
            .max_idle_connections(0);
        config.build().into()
    }

    fn all_headers(&self) -> Vec<(String, String)> {
        let mut headers = self.headers.clone();
        if let Some(key) = &self.key {
            headers.push(("authorization".to_owned(), format!("Bearer {key}")));
        }
        headers
    }
}
