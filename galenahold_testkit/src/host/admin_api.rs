//! The HTTP face of a stand-in for ledger and controls.

use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;

use crate::control;
use crate::http::{
    ConnectionReset, RequestHandler, empty_answer, error_answer, json_answer, read_json,
};
use crate::ledger;

/// Serves `GET /ledger` and `POST /control`.
#[derive(Debug)]
pub(crate) struct AdminApi {
    ledger: sync::Arc<ledger::ServerLedger>,
    controls: sync::Arc<control::ControlSwitches>,
}

impl AdminApi {
    /// Makes the face of a ledger and its switches.
    pub(crate) fn new(
        ledger: sync::Arc<ledger::ServerLedger>,
        controls: sync::Arc<control::ControlSwitches>,
    ) -> Self {
        Self { ledger, controls }
    }

    async fn control(&self, body: body::Incoming) -> http::Response<Full<Bytes>> {
        match read_json::<control::ServerControl>(body).await {
            Ok(control) if self.controls.apply(&control) => empty_answer(http::StatusCode::OK),
            Ok(_) => empty_answer(http::StatusCode::NOT_IMPLEMENTED),
            Err(reason) => error_answer(http::StatusCode::BAD_REQUEST, "invalid", &reason),
        }
    }
}

impl RequestHandler for AdminApi {
    type Body = Full<Bytes>;

    async fn handle(
        &self,
        request: http::Request<body::Incoming>,
    ) -> Result<http::Response<Self::Body>, ConnectionReset> {
        let (parts, body) = request.into_parts();
        let answer = match (parts.method.as_str(), parts.uri.path()) {
            ("GET", "/ledger") => json_answer(http::StatusCode::OK, &self.ledger.snapshot()),
            ("POST", "/control") => self.control(body).await,
            ("GET", "/health") => empty_answer(http::StatusCode::OK),
            _ => empty_answer(http::StatusCode::NOT_FOUND),
        };
        Ok(answer)
    }
}
