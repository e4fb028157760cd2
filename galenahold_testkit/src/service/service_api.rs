//! The HTTP face of a plain service.

use std::sync;
use std::time;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::body;

use super::service_core::ServiceCore;
use crate::http::{ConnectionReset, REQUEST_ID_HEADER, RequestHandler, error_answer, json_answer};
use crate::ledger;

/// Header that names an order without a body field.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Runs orders, and answers lookups.
#[derive(Debug)]
pub(crate) struct ServiceApi {
    core: sync::Arc<ServiceCore>,
}

impl ServiceApi {
    /// Makes the face of a service.
    pub(crate) fn new(core: sync::Arc<ServiceCore>) -> Self {
        Self { core }
    }

    /// Reads the body, unless the connection is to be reset before its end.
    async fn read_body(&self, mut body: body::Incoming) -> Result<Bytes, ConnectionReset> {
        if self.core.controls.take_reset_during_body() {
            // One piece is enough: the rest is never asked for.
            let _ = body.frame().await;
            return Err(ConnectionReset);
        }
        let collected = body.collect().await.map_err(|_| ConnectionReset)?;
        if self.core.controls.take_reset_after_body() {
            return Err(ConnectionReset);
        }
        Ok(collected.to_bytes())
    }

    /// Runs one call whose body is there.
    async fn run_call(
        &self,
        parts: &http::request::Parts,
        body: &Bytes,
        key: ledger::RequestKey,
    ) -> Result<http::Response<Full<Bytes>>, ConnectionReset> {
        let controls = &self.core.controls;
        controls.wait_unpaused().await;
        tokio::time::sleep(controls.delay()).await;
        let wanted_pause = controls.wanted_pause();
        if controls.take_refusal() || wanted_pause.is_some() {
            self.core.ledger.ended(key, ledger::RequestOutcome::Refused);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut answer = error_answer(status, "busy", "the service takes no calls now");
            if let Some(seconds) = wanted_pause {
                let value = http::HeaderValue::from(seconds);
                let headers = answer.headers_mut();
                headers.insert(http::header::RETRY_AFTER, value);
            }
            return Ok(answer);
        }
        tokio::time::sleep(time::Duration::from_micros(self.core.settings.call_us)).await;
        let is_lookup = parts.method == http::Method::GET || parts.method == http::Method::HEAD;
        let order = if is_lookup {
            last_segment(parts)
        } else {
            order_name(parts, body)
        };
        if let (Some(order), false) = (&order, is_lookup) {
            self.core.ledger.order_ran(order);
        }
        if controls.take_run_then_reset() {
            self.core
                .ledger
                .ended(key, ledger::RequestOutcome::Unanswered);
            return Err(ConnectionReset);
        }
        if controls.take_run_without_answer() {
            self.core
                .ledger
                .ended(key, ledger::RequestOutcome::Unanswered);
            std::future::pending::<()>().await;
        }
        self.core
            .ledger
            .ended(key, ledger::RequestOutcome::Finished);
        let runs = order.as_ref().map(|order| self.core.ledger.runs(order));
        let answer = serde_json::json!({
            "service": self.core.settings.service,
            "path": parts.uri.path(),
            "order": order,
            "runs": runs,
        });
        Ok(json_answer(StatusCode::OK, &answer))
    }
}

impl RequestHandler for ServiceApi {
    type Body = Full<Bytes>;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<http::Response<Self::Body>, ConnectionReset> {
        let (parts, body) = request.into_parts();
        let record = ledger::RequestRecord::arrived(&parts, ledger::unix_micros());
        let request_id = record.request_id.clone();
        let key = self.core.ledger.arrived(record);
        let guard = CallGuard {
            core: &self.core,
            key,
        };
        if self.core.controls.take_reset_before_body() {
            return Err(guard.refuse());
        }
        let body = match self.read_body(body).await {
            Ok(body) => body,
            Err(ConnectionReset) => return Err(guard.refuse()),
        };
        let mut answer = self.run_call(&parts, &body, key).await?;
        let echoed = if self.core.controls.take_wrong_request_id() {
            format!("wrong-{request_id}")
        } else {
            request_id
        };
        if self.core.controls.says_leaving() {
            let value = http::HeaderValue::from_static("1");
            answer.headers_mut().insert("x-server-leaving", value);
        }
        if let Ok(value) = http::HeaderValue::from_str(&echoed) {
            answer.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(answer)
    }
}

/// Records a call as cancelled when its caller goes before it ends.
struct CallGuard<'a> {
    core: &'a ServiceCore,
    key: ledger::RequestKey,
}

impl CallGuard<'_> {
    /// Records that nothing ran.
    fn refuse(&self) -> ConnectionReset {
        self.core
            .ledger
            .ended(self.key, ledger::RequestOutcome::Refused);
        ConnectionReset
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        // Has no effect on a call that ended before.
        self.core
            .ledger
            .ended(self.key, ledger::RequestOutcome::Cancelled);
    }
}

/// Returns the order's own name: the body field `order`, else the idempotency key.
fn order_name(parts: &http::request::Parts, body: &Bytes) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    if let Some(order) = value.get("order").and_then(serde_json::Value::as_str) {
        return Some(order.to_owned());
    }
    let header = parts.headers.get(IDEMPOTENCY_KEY_HEADER)?;
    header.to_str().ok().map(str::to_owned)
}

/// Returns the last segment of the path, which a lookup names its order by.
fn last_segment(parts: &http::request::Parts) -> Option<String> {
    let (_, segment) = parts.uri.path().rsplit_once('/')?;
    Some(segment.to_owned())
}
