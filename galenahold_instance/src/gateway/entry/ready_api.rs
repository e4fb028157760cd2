//! HTTP API for the load balancer's readiness checks.

use std::net;

use http::{Request, Response, StatusCode};
use hyper::body;

use crate::api;
use crate::configuration;
use crate::gateway;
use crate::platform;

/// Tells the load balancer whether this instance accepts callers.
#[derive(Debug, Clone)]
pub(crate) struct ReadyApi<Dialect> {
    /// Translates between the platform's messages and the gateway's types.
    pub(crate) dialect: Dialect,
    /// Whether a planned stop is in progress.
    pub(crate) readiness: platform::ReadinessState,
    /// The configuration and the age of its confirmation.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The active declaration.
    pub(crate) declarations: gateway::DeclarationCache<Dialect>,
}

impl<Dialect: gateway::FleetDialect> api::HttpHandler for ReadyApi<Dialect> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        if !self.dialect.is_readiness_path(request.uri().path()) {
            return api::json_answer(StatusCode::NOT_FOUND, "{}");
        }
        let configured = self.cache.is_fresh() && self.declarations.index().is_some();
        match self.readiness.check(configured) {
            Ok(()) => api::json_answer(StatusCode::OK, r#"{"ready":true}"#),
            Err(reason) => api::json_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                format!(r#"{{"ready":false,"reason":"{}"}}"#, reason.as_str()),
            ),
        }
    }
}
