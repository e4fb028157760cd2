//! Serves probes and metrics over HTTP.

use std::net;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body;

use crate::api;
use crate::configuration;
use crate::platform;

/// The content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The HTTP API for the platform: `/live`, `/ready` and `/metrics`.
#[derive(Debug, Clone)]
pub(crate) struct PlatformApi {
    metrics: platform::FleetMetrics,
    readiness: platform::ReadinessState,
    cache: configuration::ConfigurationCache,
}

impl PlatformApi {
    /// Creates the API.
    pub(crate) fn new(
        metrics: platform::FleetMetrics,
        readiness: platform::ReadinessState,
        cache: configuration::ConfigurationCache,
    ) -> Self {
        Self {
            metrics,
            readiness,
            cache,
        }
    }

    fn ready(&self) -> Response<api::AnswerBody> {
        match self.readiness.check(self.cache.is_fresh()) {
            Ok(()) => api::json_answer(StatusCode::OK, r#"{"ready":true}"#),
            Err(reason) => api::json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                format!(r#"{{"ready":false,"reason":"{}"}}"#, reason.as_str()),
            ),
        }
    }

    fn metrics(&self) -> Response<api::AnswerBody> {
        let mut answer = Response::new(api::AnswerBody::whole(self.metrics.encode()));
        answer
            .headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
        answer
    }
}

impl api::HttpHandler for PlatformApi {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        match request.uri().path() {
            "/live" => api::json_answer(StatusCode::OK, r#"{"live":true}"#),
            "/ready" => self.ready(),
            "/metrics" => self.metrics(),
            _ => api::RequestRefusal::not_run(
                api::RefusalKind::NotFound,
                "there are /live, /ready and /metrics",
            )
            .answer(),
        }
    }
}
