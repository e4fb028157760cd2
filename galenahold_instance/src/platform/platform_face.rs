//! The HTTP face of the platform.

use std::net;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body;

use crate::configuration;
use crate::face;
use crate::platform;

/// The content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The HTTP face of the platform: `/live`, `/ready` and `/metrics`.
#[derive(Debug, Clone)]
pub(crate) struct PlatformFace {
    metrics: platform::FleetMetrics,
    readiness: platform::ReadinessState,
    holder: configuration::ConfigurationHolder,
}

impl PlatformFace {
    /// Creates the face.
    pub(crate) fn new(
        metrics: platform::FleetMetrics,
        readiness: platform::ReadinessState,
        holder: configuration::ConfigurationHolder,
    ) -> Self {
        Self {
            metrics,
            readiness,
            holder,
        }
    }

    fn ready(&self) -> Response<face::AnswerBody> {
        match self.readiness.check(self.holder.is_fresh()) {
            Ok(()) => face::json_answer(StatusCode::OK, r#"{"ready":true}"#),
            Err(reason) => face::json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                format!(r#"{{"ready":false,"reason":"{}"}}"#, reason.as_str()),
            ),
        }
    }

    fn metrics(&self) -> Response<face::AnswerBody> {
        let mut answer = Response::new(face::AnswerBody::whole(self.metrics.encode()));
        answer
            .headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
        answer
    }
}

impl face::HttpHandler for PlatformFace {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<face::AnswerBody> {
        match request.uri().path() {
            "/live" => face::json_answer(StatusCode::OK, r#"{"live":true}"#),
            "/ready" => self.ready(),
            "/metrics" => self.metrics(),
            _ => face::RequestRefusal::not_run(
                face::RefusalKind::NotFound,
                "there are /live, /ready and /metrics",
            )
            .answer(),
        }
    }
}
