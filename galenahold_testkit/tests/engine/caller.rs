//! A blocking caller of an engine.

use std::io::{self, BufRead};
use std::net;
use std::thread;
use std::time;

/// Limit on every wait for a condition.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

/// What an engine answered.
#[derive(Debug)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: serde_json::Value,
}

impl CallerAnswer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    pub(crate) fn text(&self) -> &str {
        self.body["choices"][0]["text"].as_str().unwrap_or_default()
    }
}

/// Posts JSON with headers.
pub(crate) fn post(
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &serde_json::Value,
) -> CallerAnswer {
    let mut answer = send(address, path, headers, body);
    let text = answer.body_mut().read_to_string().expect("a whole body");
    CallerAnswer {
        status: answer.status().as_u16(),
        headers: answer.headers().clone(),
        body: serde_json::from_str(&text).unwrap_or_default(),
    }
}

/// Posts JSON and gives the answer with its body unread.
pub(crate) fn send(
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &serde_json::Value,
) -> http::Response<ureq::Body> {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let mut request = agent.post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.send_json(body).expect("an answer")
}

/// Posts a streamed completion and gives the data of its events as they come.
pub(crate) fn stream(
    address: net::SocketAddr,
    headers: &[(&str, &str)],
    body: &serde_json::Value,
) -> impl Iterator<Item = io::Result<String>> {
    let answer = send(address, "/v1/completions", headers, body);
    let reader = io::BufReader::new(answer.into_body().into_reader());
    reader.lines().filter_map(|line| match line {
        Ok(line) => line.strip_prefix("data: ").map(|data| Ok(data.to_owned())),
        Err(error) => Some(Err(error)),
    })
}

/// Loads a model and gives the status.
pub(crate) fn load(address: net::SocketAddr, model: &str, bytes: u64, fencing: &str) -> u16 {
    let body = serde_json::json!({"parameters": {"version": "1", "bytes": bytes, "order": 7}});
    let path = format!("/v2/repository/models/{model}/load");
    post(address, &path, &[("x-fencing-number", fencing)], &body).status
}

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(time::Instant::now() < deadline, "no sign of: {what}");
        thread::sleep(time::Duration::from_millis(5));
    }
}
