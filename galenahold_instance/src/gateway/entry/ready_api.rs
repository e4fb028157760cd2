//! Tells the balancer whether this instance takes callers.

use std::net;

use http::{Request, Response, StatusCode};
use hyper::body;

use crate::api;
use crate::configuration;
use crate::gateway;
use crate::platform;

/// Tells the balancer whether this instance takes callers.
#[derive(Debug, Clone)]
pub(crate) struct ReadyApi<Dialect> {
    /// The platform's words.
    pub(crate) dialect: Dialect,
    /// Whether a planned stop is under way.
    pub(crate) readiness: platform::ReadinessState,
    /// The configuration with its confirmation.
    pub(crate) cache: configuration::ConfigurationCache,
    /// The declaration in force.
    pub(crate) declarations: gateway::DeclarationCache<Dialect>,
}

impl<Dialect: gateway::FleetDialect> api::HttpHandler for ReadyApi<Dialect> {
    async fn handle(
        self,
        request: Request<body::Incoming>,
        _peer: net::SocketAddr,
    ) -> Response<api::AnswerBody> {
        if !self.dialect.asks_readiness(request.uri().path()) {
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
